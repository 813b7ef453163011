/** Implements `report burn` and `settings check`. */
import { Ok, type Result } from "ts-results-es";
import * as Html from "../burn/html.ts";
import * as Report from "../burn/report.ts";
import * as Snapshot from "../burn/snapshot.ts";
import * as Text from "../burn/text.ts";
import type * as Metrics from "../metrics/metrics.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Settings from "../settings/settings.ts";
import * as Table from "../table/table.ts";
import type * as Types from "../types.ts";
import * as Context from "./context.ts";
import * as Fleet from "./fleet.ts";
import * as TableCommands from "./table_commands.ts";

/** Options of `report burn`. */
export interface BurnOptions {
  readonly html?: string;
  /** Table file to use while the store is unreachable. */
  readonly table?: string;
  readonly answered: number;
  readonly p99Ms?: number;
}

/** Prints the burn report; with `--html`, also writes it as a page. */
export async function burn(
  ctx: Context.Context,
  opts: BurnOptions,
): Context.CommandResult {
  const table = await getTable(ctx, opts);
  if (table.isErr()) return table;
  const fleet = await Fleet.discover(ctx);
  if (fleet.isErr()) return fleet;
  const responses = await Fleet.callAll<unknown>(
    ctx,
    fleet.value,
    "report.burn",
    {},
  );
  const snapshots: Metrics.BurnSnapshot[] = [];
  const missing: Report.BurnReport["missing"][number][] = [];
  for (const { instance, result } of responses) {
    const snapshot = result.isOk()
      ? Snapshot.tryReadSnapshot(result.value)
      : undefined;
    if (snapshot !== undefined) snapshots.push(snapshot);
    else {
      const reason = result.isErr()
        ? ResultCodes.formatFailure(result.error)
        : "the answer has another shape: compare versions";
      missing.push({ instance: instance.id, reason });
    }
  }
  const report = Report.createReport({
    table: table.value,
    objectives: { answeredPct: opts.answered, p99Ms: opts.p99Ms },
    snapshots,
    missing,
    nowWallMs: ctx.deps.clock.wallMs(),
  });
  return printReport(ctx, report, opts);
}

function printReport(
  ctx: Context.Context,
  report: Report.BurnReport,
  opts: BurnOptions,
): Result<Context.ExitCode, ResultCodes.Failure> {
  if (opts.html !== undefined) {
    const written = ctx.deps.files.write(opts.html, Html.formatHtml(report));
    if (written.isErr()) return written;
    ctx.out.notice(`wrote ${opts.html}`);
  }
  ctx.out.line(Text.formatText(report).trimEnd());
  ctx.out.json(JSON.parse(Text.formatJson(report)));
  const isPartial = report.missing.length > 0;
  return Ok(isPartial ? Context.EXIT.partial : Context.EXIT.ok);
}

function getTable(
  ctx: Context.Context,
  opts: BurnOptions,
):
  | Promise<Result<Types.Table, ResultCodes.Failure>>
  | Result<Types.Table, ResultCodes.Failure> {
  if (opts.table === undefined) return TableCommands.loadTable(ctx);
  return ctx.deps.files.read(opts.table)
    .andThen((csv) => Table.parseTable(csv, 0));
}

/** Checks a settings file of an instance. */
export function checkSettings(
  ctx: Context.Context,
  path: string,
): Result<Context.ExitCode, ResultCodes.Failure> {
  const toml = ctx.deps.files.read(path);
  if (toml.isErr()) return toml;
  const settings = Settings.parseSettings(toml.value);
  if (settings.isErr()) return settings;
  const { id, domain, region } = settings.value.instance;
  ctx.out.line(`${path}: good: instance ${id} in ${domain} (${region})`);
  ctx.out.json({ isGood: true, instance: { id, domain, region } });
  return Ok(Context.EXIT.ok);
}
