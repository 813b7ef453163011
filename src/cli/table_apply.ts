/** `table apply`: stores a table unless another operator came first, and follows it to every instance. */
import * as Crypto from "node:crypto";
import { Err, Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as BaseFile from "./base_file.ts";
import * as Context from "./context.ts";
import * as PlanText from "./plan_text.ts";
import * as Rollout from "./rollout.ts";
import * as StoreRecords from "./store_records.ts";
import * as TableCommands from "./table_commands.ts";

/** Options of `table apply`. */
export interface ApplyOptions {
  /** Base revision when there is no base file; 0 for the first table. */
  readonly revision?: number;
  readonly waitS: number;
}

interface Edit {
  readonly path: string;
  readonly csv: string;
  readonly table: Types.Table;
  readonly base: {
    readonly revision: number;
    readonly csv: string | undefined;
  };
}

type Stored = StoreRecords.Versioned<Types.TableRecord>;

/** Applies FILE. */
export async function apply(
  ctx: Context.Context,
  path: string,
  opts: ApplyOptions,
): Context.Outcome {
  const file = TableCommands.readTableFile(ctx, path);
  if (file.isErr()) return file;
  const { csv, checked } = file.value;
  if (checked.kind === "bad") {
    return Ok(TableCommands.reportErrors(ctx, path, checked.errors));
  }
  const base = findBase(ctx, path, opts);
  if (base.isErr()) return base;
  const edit: Edit = { path, csv, table: checked.table, base: base.value };
  const platform = Context.getPlatform(ctx);
  if (platform.isErr()) return platform;
  const stored = await StoreRecords.readTable(platform.value);
  if (stored.isErr()) return stored;
  const { revision, record } = stored.value;
  if (record?.csv === csv) {
    // Also the way on after an apply whose answer was lost.
    ctx.out.line(`${path}: already stored as revision ${revision}`);
    return follow(ctx, edit, { revision, record, steps: [] }, opts);
  }
  if (revision !== edit.base.revision) {
    return Ok(reportConflict(ctx, edit, stored.value));
  }
  return write(ctx, platform.value, edit, stored.value, opts);
}

function findBase(
  ctx: Context.Context,
  path: string,
  opts: ApplyOptions,
): Result<Edit["base"], ResultCodes.Failure> {
  if (opts.revision !== undefined) {
    return Ok({ revision: opts.revision, csv: undefined });
  }
  return BaseFile.readBase(ctx.deps.files, path).andThen((base) => {
    if (base !== undefined) return Ok(base);
    return ResultCodes.fail(
      "toolUsage",
      `${BaseFile.getBasePath(path)} is missing: pull first, or give the ` +
        `revision that the file is based on (--revision 0 for a first table)`,
    );
  });
}

async function write(
  ctx: Context.Context,
  platform: Contracts.PlatformClient,
  edit: Edit,
  stored: Stored,
  opts: ApplyOptions,
): Context.Outcome {
  const steps = PlanText.planTexts(stored.record?.csv, edit.table);
  PlanText.formatPlan(steps).forEach((line) => ctx.out.line(`  ${line}`));
  const record: Types.TableRecord = {
    writeId: Crypto.randomUUID(),
    by: ctx.settings.by,
    csv: edit.csv,
  };
  const written = await StoreRecords.writeRecord(
    platform,
    "table",
    stored.revision,
    record,
  );
  if (written.isErr()) return afterFailure(ctx, platform, edit, written.error);
  const revision = written.value;
  ctx.out.line(`stored as revision ${revision}`);
  return follow(ctx, edit, { revision, record, steps }, opts);
}

/** Saves the new base and follows the stored table to every instance. */
async function follow(
  ctx: Context.Context,
  edit: Edit,
  stored: {
    readonly revision: number;
    readonly record: Types.TableRecord;
    readonly steps: ReturnType<typeof PlanText.planTexts>;
  },
  opts: ApplyOptions,
): Context.Outcome {
  const { revision, record, steps } = stored;
  const storedAtMs = ctx.deps.clock.nowMs();
  const base = { revision, csv: edit.csv };
  const saved = BaseFile.writeBase(ctx.deps.files, edit.path, base);
  // The table is stored either way, so a base that cannot be written must not hide it.
  if (saved.isErr()) ctx.out.note(ResultCodes.formatFailure(saved.error));
  const arrivals = await Rollout.rollOut(ctx, {
    push: { key: "table", revision, record },
    field: "tableRevision",
    revision,
    storedAtMs,
    waitMs: opts.waitS * 1000,
  });
  ctx.out.json({ revision, steps, instances: arrivals });
  return Ok(Rollout.getExit(arrivals));
}

async function afterFailure(
  ctx: Context.Context,
  platform: Contracts.PlatformClient,
  edit: Edit,
  err: ResultCodes.Failure,
): Context.Outcome {
  if (err.code !== ResultCodes.codes.storeConflict) return Err(err);
  const stored = await StoreRecords.readTable(platform);
  if (stored.isErr()) return ResultCodes.fail("toolRace", err.detail);
  return Ok(reportConflict(ctx, edit, stored.value));
}

/** Shows both changes; nothing is applied. */
function reportConflict(
  ctx: Context.Context,
  edit: Edit,
  stored: Stored,
): Context.ExitCode {
  const { base } = edit;
  const by = stored.record?.by ?? "nobody";
  const mine = PlanText.planTexts(base.csv ?? stored.record?.csv, edit.table);
  const theirs = planStored(base.csv, stored);
  const { out } = ctx;
  const show = (title: string, lines: readonly string[]) => {
    out.line(title);
    lines.forEach((line) => out.line(`  ${line}`));
  };
  out.line(
    `conflict: the store is at revision ${stored.revision} by ${by}, ` +
      `${edit.path} is based on revision ${base.revision}; nothing was applied`,
  );
  if (base.csv === undefined) {
    show(
      `from revision ${stored.revision} to ${edit.path}:`,
      PlanText.formatPlan(mine),
    );
  } else {
    show(`their changes since revision ${base.revision}:`, theirs.lines);
    show(
      `your changes since revision ${base.revision}:`,
      PlanText.formatPlan(mine),
    );
  }
  out.line("pull again to another file, merge the changes, and apply that");
  out.json({
    isConflict: true,
    baseRevision: base.revision,
    storeRevision: stored.revision,
    storeBy: by,
    theirs: theirs.steps,
    yours: mine,
  });
  return Context.EXIT.conflict;
}

function planStored(baseCsv: string | undefined, stored: Stored): {
  readonly steps: ReturnType<typeof PlanText.planTexts>;
  readonly lines: readonly string[];
} {
  const table = PlanText.tryParse(stored.record?.csv);
  if (table === undefined) {
    return { steps: [], lines: ["the stored table is not readable"] };
  }
  const steps = PlanText.planTexts(baseCsv, table);
  return { steps, lines: PlanText.formatPlan(steps) };
}
