/** Names and value ranges of the table's columns, and the parser of the header row. */
import type * as Errors from "./errors.ts";
import type * as Types from "../types.ts";

/** Pattern of service, region, domain and account names; the settings use the same pattern. */
export const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
/** Describes `NAME_PATTERN` in error messages. */
export const NAME_RULE =
  "lower-case letters, digits and '-', at most 63, not starting with '-'";
/** Account name that requests on open routes are counted under; no client account may use it. */
export const PUBLIC_ACCOUNT = "public";

/** Columns that every table must have, in the order in which `encodeTable` writes them. */
export const FIXED_COLUMNS = [
  "service",
  "region",
  "domains",
  "weight",
  "cap_rps",
  "shift_pct_per_s",
  "link_mbps",
  "once",
  "open",
  "deadline_ms",
] as const;
/** Name of a column that every table must have. */
export type FixedColumn = typeof FIXED_COLUMNS[number];

const FIXED_COLUMN_NAMES: ReadonlySet<string> = new Set(FIXED_COLUMNS);

/** Allowed values of a numeric column. */
export interface Range {
  readonly min: number;
  readonly max: number;
  readonly isInteger: boolean;
}

// The minimum is above 0 because a traffic shift of 0 percentage points per second would never end.
const MIN_SHIFT_PCT_PER_S = 0.01;
const MAX_RATE = 1_000_000;
const MAX_DEADLINE_MS = 600_000;

/** Allowed values of the numeric columns; `account` applies to all rate and burst columns. */
export const RANGES = {
  weight: { min: 0, max: 100, isInteger: false },
  cap_rps: { min: 0, max: MAX_RATE, isInteger: false },
  shift_pct_per_s: { min: MIN_SHIFT_PCT_PER_S, max: 100, isInteger: false },
  link_mbps: { min: 0, max: MAX_RATE, isInteger: false },
  deadline_ms: { min: 10, max: MAX_DEADLINE_MS, isInteger: true },
  account: { min: 0, max: MAX_RATE, isInteger: false },
} as const satisfies Readonly<Record<string, Range>>;

/** Position of each column in a row; cell indexes start at 0, and -1 marks a missing column. */
export interface Header {
  readonly fixedColumns: ReadonlyMap<FixedColumn, number>;
  readonly accountColumns: ReadonlyMap<
    Types.Account,
    { readonly rate: number; readonly burst: number }
  >;
  /** Number of columns up to the last one that has a name. */
  readonly width: number;
}

/** Parses the header row; adds an error for each missing, unknown or duplicate column. */
export function readHeader(
  cells: readonly string[],
  addError: Errors.AddError,
): Header {
  const columnIndexes = new Map<string, number>();
  cells.forEach((cell, index) => {
    const name = cell.trim();
    if (name === "") return;
    const isFirst = !columnIndexes.has(name);
    if (isFirst) columnIndexes.set(name, index);
    if (!isFirst) addError("tableColumn", 1, name, name, "each column once");
  });
  return {
    fixedColumns: readFixedColumns(columnIndexes, addError),
    accountColumns: readAccountColumns(columnIndexes, addError),
    // Math.max(...indexes) would throw: a malformed header can have more columns than a call accepts arguments.
    width: [...columnIndexes.values()].reduce((a, b) => Math.max(a, b), 0) + 1,
  };
}

function readFixedColumns(
  columnIndexes: ReadonlyMap<string, number>,
  addError: Errors.AddError,
): ReadonlyMap<FixedColumn, number> {
  const fixedColumns = new Map<FixedColumn, number>();
  for (const name of FIXED_COLUMNS) {
    const index = columnIndexes.get(name);
    if (index !== undefined) fixedColumns.set(name, index);
    else addError("tableColumn", 1, name, "", "this column in the header row");
  }
  return fixedColumns;
}

function readAccountColumns(
  columnIndexes: ReadonlyMap<string, number>,
  addError: Errors.AddError,
): Header["accountColumns"] {
  const accounts = new Map<string, { rate: number; burst: number }>();
  for (const name of columnIndexes.keys()) {
    if (FIXED_COLUMN_NAMES.has(name)) continue;
    const match = /^(rate|burst):(.*)$/s.exec(name);
    const account = match?.[2] ?? "";
    if (match === null) {
      const allowed = `${
        FIXED_COLUMNS.join(", ")
      }, rate:ACCOUNT, burst:ACCOUNT`;
      addError("tableColumn", 1, name, name, allowed);
    } else if (!NAME_PATTERN.test(account)) {
      addError("tableColumn", 1, name, account, NAME_RULE);
    } else if (account === PUBLIC_ACCOUNT) {
      const allowed = `any account name but ${PUBLIC_ACCOUNT}`;
      addError("tableColumn", 1, name, account, allowed);
    } else {
      addAccountColumns(accounts, account, columnIndexes, addError);
    }
  }
  return accounts;
}

function addAccountColumns(
  accounts: Map<string, { rate: number; burst: number }>,
  account: string,
  columnIndexes: ReadonlyMap<string, number>,
  addError: Errors.AddError,
): void {
  if (accounts.has(account)) return;
  const rate = columnIndexes.get(`rate:${account}`);
  const burst = columnIndexes.get(`burst:${account}`);
  if (rate === undefined || burst === undefined) {
    const missing = `${rate === undefined ? "rate" : "burst"}:${account}`;
    addError("tableColumn", 1, missing, "", "rate and burst of each account");
  }
  accounts.set(account, { rate: rate ?? -1, burst: burst ?? -1 });
}
