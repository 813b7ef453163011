/** Implements `table pull`, `table check` and `table plan`. */
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import * as Table from "../table/table.ts";
import type * as Types from "../types.ts";
import * as BaseFile from "./base_file.ts";
import * as Context from "./context.ts";
import * as PlanText from "./plan_text.ts";
import * as StoreRecords from "./store_records.ts";

/** Reads and checks a table file; prints nothing. Fails with `toolFile`. */
export function readTableFile(
  ctx: Context.Context,
  path: string,
): Result<
  { readonly csv: string; readonly checked: Table.CheckResult },
  ResultCodes.Failure
> {
  return ctx.deps.files.read(path).map((csv) => ({
    csv,
    checked: Table.checkTable(csv, 0),
  }));
}

/** Prints the errors of a table and returns their exit code. */
export function printErrors(
  ctx: Context.Context,
  path: string,
  errors: readonly Table.TableError[],
): Context.ExitCode {
  const noun = errors.length === 1 ? "error" : "errors";
  ctx.out.line(`${path}: ${errors.length} ${noun}`);
  ctx.out.line(Table.formatErrors(errors));
  const encoded = errors.map(({ code, ...fields }) => ({
    code: code.number,
    ...fields,
  }));
  ctx.out.json({ isGood: false, errors: encoded });
  return Context.EXIT.table;
}

async function readStoredTable(ctx: Context.Context) {
  const platform = Context.getPlatform(ctx);
  if (platform.isErr()) return platform;
  return await StoreRecords.readTable(platform.value);
}

/** Writes the stored table to a file, and the base file next to it. */
export async function pull(
  ctx: Context.Context,
  path: string,
  opts: { readonly force?: boolean },
): Context.CommandResult {
  const stored = await readStoredTable(ctx);
  if (stored.isErr()) return stored;
  const { revision, record } = stored.value;
  if (record === undefined) {
    const detail = "the store has no table yet; write one and apply it with " +
      "--revision 0";
    return ResultCodes.fail("storeError", detail);
  }
  const edited = opts.force === true ? Ok(false) : isEdited(ctx, path);
  if (edited.isErr()) return edited;
  if (edited.value) {
    const detail = `${path} was edited since it was pulled; apply it, ` +
      `pull to another file, or give --force to lose the edit`;
    return ResultCodes.fail("toolUsage", detail);
  }
  const { files } = ctx.deps;
  const written = files.write(path, record.csv)
    .andThen(() =>
      BaseFile.writeBase(files, path, { revision, csv: record.csv })
    );
  if (written.isErr()) return written;
  ctx.out.line(`${path}: revision ${revision}, written by ${record.by}`);
  ctx.out.json({ path, revision, by: record.by });
  return Ok(Context.EXIT.ok);
}

/** Returns true when the file differs from its base, so that a pull would lose an edit. */
function isEdited(
  ctx: Context.Context,
  path: string,
): Result<boolean, ResultCodes.Failure> {
  const { files } = ctx.deps;
  if (!files.exists(path)) return Ok(false);
  return BaseFile.readBase(files, path).andThen((base) =>
    files.read(path).map((csv) => csv !== base?.csv)
  );
}

/** Checks a table file without any connection. */
export function check(
  ctx: Context.Context,
  path: string,
): Result<Context.ExitCode, ResultCodes.Failure> {
  const file = readTableFile(ctx, path);
  if (file.isErr()) return file;
  const { checked } = file.value;
  if (checked.kind === "bad") {
    return Ok(printErrors(ctx, path, checked.errors));
  }
  const { services, accounts, domains } = checked.table;
  const names = [...services.keys()].join(", ");
  ctx.out.line(
    `${path}: good: services ${names}; ${domains.size} domains; ` +
      `${accounts.length} accounts`,
  );
  ctx.out.json({ isGood: true, errors: [] });
  return Ok(Context.EXIT.ok);
}

/** Prints what applying a table file would change in the store, or since the base when the store is unreachable. */
export async function plan(
  ctx: Context.Context,
  path: string,
): Context.CommandResult {
  const file = readTableFile(ctx, path);
  if (file.isErr()) return file;
  const { checked } = file.value;
  if (checked.kind === "bad") {
    return Ok(printErrors(ctx, path, checked.errors));
  }
  const base = BaseFile.readBase(ctx.deps.files, path);
  if (base.isErr()) return base;
  const comparison = await getComparison(ctx, base.value);
  if (comparison.isErr()) return comparison;
  const { revision, csv, notice } = comparison.value;
  const steps = PlanText.planCsv(csv, checked.table);
  if (notice !== undefined) ctx.out.notice(notice);
  ctx.out.line(`changes from revision ${revision} to ${path}:`);
  PlanText.formatPlan(steps).forEach((line) => ctx.out.line(`  ${line}`));
  ctx.out.json({ revision, steps });
  return Ok(Context.EXIT.ok);
}

interface Comparison {
  readonly revision: number;
  readonly csv: string | undefined;
  readonly notice: string | undefined;
}

async function getComparison(
  ctx: Context.Context,
  base: BaseFile.Base | undefined,
): Promise<Result<Comparison, ResultCodes.Failure>> {
  const platform = Context.getPlatform(ctx);
  const stored = platform.isErr()
    ? platform
    : await StoreRecords.readTable(platform.value);
  if (stored.isErr()) {
    if (base === undefined) return stored;
    const notice =
      `compared with the pulled revision, as the store cannot be ` +
      `read: ${ResultCodes.formatFailure(stored.error)}`;
    return Ok({ ...base, notice });
  }
  const { revision, record } = stored.value;
  const hasStoreChanged = base !== undefined && base.revision !== revision;
  const notice = hasStoreChanged
    ? `the store is at revision ${revision}, the file was pulled at ` +
      `${base.revision}: apply will refuse`
    : undefined;
  return Ok({ revision, csv: record?.csv, notice });
}

/** Reads and parses the stored table; fails when there is none or when it is invalid. */
export async function loadTable(
  ctx: Context.Context,
): Promise<Result<Types.Table, ResultCodes.Failure>> {
  const stored = await readStoredTable(ctx);
  if (stored.isErr()) return stored;
  const { revision, record } = stored.value;
  if (record === undefined) {
    return ResultCodes.fail("storeError", "the store has no table yet");
  }
  return Table.parseTable(record.csv, revision);
}
