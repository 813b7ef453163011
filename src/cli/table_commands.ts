/** `table pull`, `table check` and `table plan`. */
import { Ok, type Result } from "ts-results-es";
import * as ResultCodes from "../result_codes.ts";
import * as Table from "../table/table.ts";
import type * as Types from "../types.ts";
import * as BaseFile from "./base_file.ts";
import * as Context from "./context.ts";
import * as PlanText from "./plan_text.ts";
import * as StoreRecords from "./store_records.ts";

/** Reads a table file and checks it; prints nothing. */
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

/** Prints the errors of a table and returns the exit code for them. */
export function reportErrors(
  ctx: Context.Context,
  path: string,
  errors: readonly Table.TableError[],
): Context.ExitCode {
  const what = errors.length === 1 ? "error" : "errors";
  ctx.out.line(`${path}: ${errors.length} ${what}`);
  ctx.out.line(Table.formatErrors(errors));
  const encoded = errors.map(({ code, ...rest }) => ({
    code: code.number,
    ...rest,
  }));
  ctx.out.json({ isGood: false, errors: encoded });
  return Context.EXIT.table;
}

async function readStored(ctx: Context.Context) {
  const platform = Context.getPlatform(ctx);
  if (platform.isErr()) return platform;
  return await StoreRecords.readTable(platform.value);
}

/** Writes the store's table to FILE, and its base next to it. */
export async function pull(
  ctx: Context.Context,
  path: string,
  opts: { readonly force?: boolean },
): Context.Outcome {
  const stored = await readStored(ctx);
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

/** True when FILE holds something that a pull would lose. */
function isEdited(
  ctx: Context.Context,
  path: string,
): Result<boolean, ResultCodes.Failure> {
  const { files } = ctx.deps;
  if (!files.exists(path)) return Ok(false);
  return BaseFile.readBase(files, path).andThen((base) =>
    files.read(path).map((text) => text !== base?.csv)
  );
}

/** Checks FILE without any connection. */
export function check(
  ctx: Context.Context,
  path: string,
): Result<Context.ExitCode, ResultCodes.Failure> {
  const file = readTableFile(ctx, path);
  if (file.isErr()) return file;
  const { checked } = file.value;
  if (checked.kind === "bad") {
    return Ok(reportErrors(ctx, path, checked.errors));
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

/** Shows what applying FILE would change: against the store, or its base when the store is silent. */
export async function plan(
  ctx: Context.Context,
  path: string,
): Context.Outcome {
  const file = readTableFile(ctx, path);
  if (file.isErr()) return file;
  const { checked } = file.value;
  if (checked.kind === "bad") {
    return Ok(reportErrors(ctx, path, checked.errors));
  }
  const base = BaseFile.readBase(ctx.deps.files, path);
  if (base.isErr()) return base;
  const against = await findAgainst(ctx, base.value);
  if (against.isErr()) return against;
  const { revision, csv, note } = against.value;
  const steps = PlanText.planTexts(csv, checked.table);
  if (note !== undefined) ctx.out.note(note);
  ctx.out.line(`changes from revision ${revision} to ${path}:`);
  PlanText.formatPlan(steps).forEach((line) => ctx.out.line(`  ${line}`));
  ctx.out.json({ revision, steps });
  return Ok(Context.EXIT.ok);
}

interface Against {
  readonly revision: number;
  readonly csv: string | undefined;
  readonly note: string | undefined;
}

async function findAgainst(
  ctx: Context.Context,
  base: BaseFile.Base | undefined,
): Promise<Result<Against, ResultCodes.Failure>> {
  const platform = Context.getPlatform(ctx);
  const stored = platform.isErr()
    ? platform
    : await StoreRecords.readTable(platform.value);
  if (stored.isErr()) {
    if (base === undefined) return stored;
    const note = `compared with the pulled revision, as the store cannot be ` +
      `read: ${ResultCodes.formatFailure(stored.error)}`;
    return Ok({ ...base, note });
  }
  const { revision, record } = stored.value;
  const hasMoved = base !== undefined && base.revision !== revision;
  const note = hasMoved
    ? `the store is at revision ${revision}, the file was pulled at ` +
      `${base.revision}: apply will refuse`
    : undefined;
  return Ok({ revision, csv: record?.csv, note });
}

/** The rules of a stored table; fails when the store has none or it is not readable. */
export async function loadTable(
  ctx: Context.Context,
): Promise<Result<Types.Table, ResultCodes.Failure>> {
  const stored = await readStored(ctx);
  if (stored.isErr()) return stored;
  const { revision, record } = stored.value;
  if (record === undefined) {
    return ResultCodes.fail("storeError", "the store has no table yet");
  }
  return Table.parseTable(record.csv, revision);
}
