/** Implements `table apply`: stores a table unless the stored one has changed, and waits until all instances use it. */
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
  /** Revision that the edit is based on, instead of the base file's; 0 for the first table. */
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

/** Checks and stores the table file; prints both changes and stores nothing on a conflict. */
export async function apply(
  ctx: Context.Context,
  path: string,
  opts: ApplyOptions,
): Context.CommandResult {
  const file = TableCommands.readTableFile(ctx, path);
  if (file.isErr()) return file;
  const { csv, checked } = file.value;
  if (checked.kind === "bad") {
    return Ok(TableCommands.printErrors(ctx, path, checked.errors));
  }
  const base = getBase(ctx, path, opts);
  if (base.isErr()) return base;
  const edit: Edit = { path, csv, table: checked.table, base: base.value };
  const platform = Context.getPlatform(ctx);
  if (platform.isErr()) return platform;
  const stored = await StoreRecords.readTable(platform.value);
  if (stored.isErr()) return stored;
  const { revision, record } = stored.value;
  if (record?.csv === csv) {
    // An earlier apply may have stored the table although its response was lost.
    ctx.out.line(`${path}: already stored as revision ${revision}`);
    return rollOutTable(ctx, edit, { revision, record, steps: [] }, opts);
  }
  if (revision !== edit.base.revision) {
    return Ok(printConflict(ctx, edit, stored.value));
  }
  return writeTable(ctx, platform.value, edit, stored.value, opts);
}

function getBase(
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

async function writeTable(
  ctx: Context.Context,
  platform: Contracts.PlatformClient,
  edit: Edit,
  stored: Stored,
  opts: ApplyOptions,
): Context.CommandResult {
  const steps = PlanText.planCsv(stored.record?.csv, edit.table);
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
  if (written.isErr()) return reportFailure(ctx, platform, edit, written.error);
  const revision = written.value;
  ctx.out.line(`stored as revision ${revision}`);
  return rollOutTable(ctx, edit, { revision, record, steps }, opts);
}

/** Writes the new base file, pushes the stored table and waits until all instances use it. */
async function rollOutTable(
  ctx: Context.Context,
  edit: Edit,
  stored: {
    readonly revision: number;
    readonly record: Types.TableRecord;
    readonly steps: ReturnType<typeof PlanText.planCsv>;
  },
  opts: ApplyOptions,
): Context.CommandResult {
  const { revision, record, steps } = stored;
  const storedAtMs = ctx.deps.clock.nowMs();
  const base = { revision, csv: edit.csv };
  const saved = BaseFile.writeBase(ctx.deps.files, edit.path, base);
  // The table is already stored, so a failure to write the base file causes only a notice.
  if (saved.isErr()) ctx.out.notice(ResultCodes.formatFailure(saved.error));
  const activations = await Rollout.rollOut(ctx, {
    push: { key: "table", revision, record },
    revisionField: "tableRevision",
    revision,
    storedAtMs,
    waitMs: opts.waitS * 1000,
  });
  ctx.out.json({ revision, steps, instances: activations });
  return Ok(Rollout.getExitCode(activations));
}

async function reportFailure(
  ctx: Context.Context,
  platform: Contracts.PlatformClient,
  edit: Edit,
  err: ResultCodes.Failure,
): Context.CommandResult {
  if (err.code !== ResultCodes.codes.storeConflict) return Err(err);
  const stored = await StoreRecords.readTable(platform);
  if (stored.isErr()) return ResultCodes.fail("toolRace", err.detail);
  return Ok(printConflict(ctx, edit, stored.value));
}

/** Prints the changes in the store and the changes in the file since the base; applies nothing. */
function printConflict(
  ctx: Context.Context,
  edit: Edit,
  stored: Stored,
): Context.ExitCode {
  const { base } = edit;
  const storedBy = stored.record?.by ?? "nobody";
  const localSteps = PlanText.planCsv(
    base.csv ?? stored.record?.csv,
    edit.table,
  );
  const storedPlan = planStored(base.csv, stored);
  const { out } = ctx;
  const printSection = (title: string, lines: readonly string[]) => {
    out.line(title);
    lines.forEach((line) => out.line(`  ${line}`));
  };
  out.line(
    `conflict: the store is at revision ${stored.revision} by ${storedBy}, ` +
      `${edit.path} is based on revision ${base.revision}; nothing was applied`,
  );
  if (base.csv === undefined) {
    printSection(
      `from revision ${stored.revision} to ${edit.path}:`,
      PlanText.formatPlan(localSteps),
    );
  } else {
    printSection(
      `their changes since revision ${base.revision}:`,
      storedPlan.lines,
    );
    printSection(
      `your changes since revision ${base.revision}:`,
      PlanText.formatPlan(localSteps),
    );
  }
  out.line("pull again to another file, merge the changes, and apply that");
  out.json({
    isConflict: true,
    baseRevision: base.revision,
    storeRevision: stored.revision,
    storeBy: storedBy,
    theirs: storedPlan.steps,
    yours: localSteps,
  });
  return Context.EXIT.conflict;
}

function planStored(baseCsv: string | undefined, stored: Stored): {
  readonly steps: ReturnType<typeof PlanText.planCsv>;
  readonly lines: readonly string[];
} {
  const table = PlanText.tryParseTable(stored.record?.csv);
  if (table === undefined) {
    return { steps: [], lines: ["the stored table is not readable"] };
  }
  const steps = PlanText.planCsv(baseCsv, table);
  return { steps, lines: PlanText.formatPlan(steps) };
}
