/** Names and ranges of the table's columns, and the header row. */
import type * as Errors from "./errors.ts";
import type * as Types from "../types.ts";

/** Names of services, regions, domains and accounts, as in the settings. */
export const NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;
/** What `NAME` allows, for messages. */
export const NAME_ALLOWED =
  "lower-case letters, digits and '-', at most 63, not starting with '-'";
/** Account name of requests on open routes; no client account may have it. */
export const PUBLIC_ACCOUNT = "public";

/** Columns that every table has, in the order in which they are written. */
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
/** Name of a column that every table has. */
export type FixedColumn = typeof FIXED_COLUMNS[number];

const FIXED_NAMES: ReadonlySet<string> = new Set(FIXED_COLUMNS);

/** Allowed values of a numeric column. */
export interface Range {
  readonly min: number;
  readonly max: number;
  readonly isInteger: boolean;
}

// A shift of 0 points per second would never end, so the least rate is above 0.
const MIN_SHIFT_PCT_PER_S = 0.01;
const MAX_RATE = 1_000_000;
const MAX_DEADLINE_MS = 600_000;

/** Ranges of the numeric columns. */
export const RANGES = {
  weight: { min: 0, max: 100, isInteger: false },
  cap_rps: { min: 0, max: MAX_RATE, isInteger: false },
  shift_pct_per_s: { min: MIN_SHIFT_PCT_PER_S, max: 100, isInteger: false },
  link_mbps: { min: 0, max: MAX_RATE, isInteger: false },
  deadline_ms: { min: 10, max: MAX_DEADLINE_MS, isInteger: true },
  account: { min: 0, max: MAX_RATE, isInteger: false },
} as const satisfies Readonly<Record<string, Range>>;

/** Where each column is; cell indexes count from 0. */
export interface Header {
  readonly fixed: ReadonlyMap<FixedColumn, number>;
  readonly accounts: ReadonlyMap<
    Types.Account,
    { readonly rate: number; readonly burst: number }
  >;
  /** Number of columns up to the last named one. */
  readonly width: number;
}

/** Reads the header row and notes missing, unknown and doubled columns. */
export function readHeader(
  cells: readonly string[],
  note: Errors.Note,
): Header {
  const at = new Map<string, number>();
  cells.forEach((cell, index) => {
    const name = cell.trim();
    if (name === "") return;
    const isFirst = !at.has(name);
    if (isFirst) at.set(name, index);
    if (!isFirst) note("tableColumn", 1, name, name, "each column once");
  });
  return {
    fixed: readFixed(at, note),
    accounts: readAccounts(at, note),
    // Not Math.max(...): a garbled header can have more columns than a call takes arguments.
    width: [...at.values()].reduce((a, b) => Math.max(a, b), 0) + 1,
  };
}

function readFixed(
  at: ReadonlyMap<string, number>,
  note: Errors.Note,
): ReadonlyMap<FixedColumn, number> {
  const fixed = new Map<FixedColumn, number>();
  for (const name of FIXED_COLUMNS) {
    const index = at.get(name);
    if (index !== undefined) fixed.set(name, index);
    else note("tableColumn", 1, name, "", "this column in the header row");
  }
  return fixed;
}

function readAccounts(
  at: ReadonlyMap<string, number>,
  note: Errors.Note,
): Header["accounts"] {
  const accounts = new Map<string, { rate: number; burst: number }>();
  for (const name of at.keys()) {
    if (FIXED_NAMES.has(name)) continue;
    const match = /^(rate|burst):(.*)$/s.exec(name);
    const account = match?.[2] ?? "";
    if (match === null) {
      const allowed = `${
        FIXED_COLUMNS.join(", ")
      }, rate:ACCOUNT, burst:ACCOUNT`;
      note("tableColumn", 1, name, name, allowed);
    } else if (!NAME.test(account)) {
      note("tableColumn", 1, name, account, NAME_ALLOWED);
    } else if (account === PUBLIC_ACCOUNT) {
      const allowed = `any account name but ${PUBLIC_ACCOUNT}`;
      note("tableColumn", 1, name, account, allowed);
    } else {
      addAccount(accounts, account, at, note);
    }
  }
  return accounts;
}

function addAccount(
  accounts: Map<string, { rate: number; burst: number }>,
  account: string,
  at: ReadonlyMap<string, number>,
  note: Errors.Note,
): void {
  if (accounts.has(account)) return;
  const rate = at.get(`rate:${account}`);
  const burst = at.get(`burst:${account}`);
  if (rate === undefined || burst === undefined) {
    const missing = `${rate === undefined ? "rate" : "burst"}:${account}`;
    note("tableColumn", 1, missing, "", "rate and burst of each account");
  }
  accounts.set(account, { rate: rate ?? -1, burst: burst ?? -1 });
}
