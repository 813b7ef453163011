/** The operators' table: CSV text to a checked table and back. */
import Papa from "papaparse";
import { Err, Ok, type Result } from "ts-results-es";
import type * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Columns from "./columns.ts";
import * as Consistency from "./consistency.ts";
import * as Errors from "./errors.ts";
import * as Rows from "./rows.ts";

export { formatError, formatErrors, type TableError } from "./errors.ts";
export { planTable } from "./plan.ts";
export type { PlanStep } from "./plan_step.ts";
export { findRoute, type RouteKind } from "./route.ts";

/** Largest table in bytes of UTF-8; the store takes values up to 1 MB. */
export const MAX_TABLE_BYTES = 1_000_000;
const DELIMITERS = [",", ";", "\t"] as const;

/** A table, or everything that is wrong with it. */
export type CheckResult =
  | { readonly kind: "good"; readonly table: Types.Table }
  | { readonly kind: "bad"; readonly errors: readonly Errors.TableError[] };

/**
 * Parses and checks a table. The failure has the code of the first error, and
 * its detail names every error, one per line.
 */
export function parseTable(
  csv: string,
  revision: number,
): Result<Types.Table, ResultCodes.Failure> {
  const checked = checkTable(csv, revision);
  if (checked.kind === "good") return Ok(checked.table);
  const code = checked.errors[0]!.code;
  return Err({ code, detail: Errors.formatErrors(checked.errors) });
}

/** Like `parseTable`, with the errors as data. There is at least one in a bad result. */
export function checkTable(csv: string, revision: number): CheckResult {
  const list = Errors.createErrorList();
  const table = readTable(csv, revision, list);
  const { errors } = list;
  return errors.length > 0 || table === undefined
    ? { kind: "bad", errors: [...errors].sort((a, b) => a.row - b.row) }
    : { kind: "good", table };
}

function readTable(
  csv: string,
  revision: number,
  list: Errors.ErrorList,
): Types.Table | undefined {
  const { note } = list;
  const bytes = Buffer.byteLength(csv);
  if (bytes > MAX_TABLE_BYTES) {
    const allowed = `at most ${MAX_TABLE_BYTES} bytes`;
    note("valueTooLarge", 1, "all", `${bytes} bytes`, allowed);
    return undefined;
  }
  const raw = readCells(csv, note);
  if (raw === undefined) return undefined;
  const header = Columns.readHeader(raw.rows[0]?.cells ?? [], note);
  if (header.fixed.size === 0) return undefined;
  const rows: Rows.ReadRow[] = [];
  const hasDecimalComma = raw.delimiter === ";";
  for (const row of raw.rows.slice(1)) {
    if (list.isFull()) break;
    rows.push(Rows.readRow(header, { ...row, hasDecimalComma }, note));
  }
  if (rows.length === 0) {
    note("tableSyntax", 2, "service", "", "at least one row after the header");
    return undefined;
  }
  Consistency.checkConsistency(rows, header.accounts.keys(), list);
  return buildTable(revision, rows, [...header.accounts.keys()]);
}

interface RawTable {
  readonly delimiter: string;
  readonly rows: readonly {
    readonly number: number;
    readonly cells: readonly string[];
  }[];
}

function readCells(csv: string, note: Errors.Note): RawTable | undefined {
  const text = csv.replace(/^\uFEFF/, "").replace(/\r\n?/g, "\n");
  const delimiter = findDelimiter(text);
  const parsed = Papa.parse<string[]>(text, { delimiter, newline: "\n" });
  for (const err of parsed.errors) {
    const row = (err.row ?? 0) + 1;
    note("tableSyntax", row, "all", err.message, "well-formed CSV");
  }
  if (parsed.errors.length > 0) return undefined;
  const rows = parsed.data
    .map((cells, index) => ({ number: index + 1, cells }))
    // Spreadsheets write rows of empty cells after the last one.
    .filter(({ cells }) => cells.some((cell) => cell.trim() !== ""));
  if (rows.length > 0 && rows[0]?.number === 1) return { delimiter, rows };
  note("tableSyntax", 1, "all", "", "the header in the first row");
  return undefined;
}

/** The delimiter that the header row has most of; no column name contains one. */
function findDelimiter(text: string): string {
  const head = text.slice(0, text.indexOf("\n") + 1 || undefined);
  const count = (delimiter: string) => head.split(delimiter).length;
  return DELIMITERS.reduce((a, b) => count(b) > count(a) ? b : a);
}

function buildTable(
  revision: number,
  rows: readonly Rows.ReadRow[],
  accounts: readonly Types.Account[],
): Types.Table {
  const services = new Map<Types.Service, Types.ServiceRules>();
  const domains = new Map<Types.Domain, Types.Region>();
  for (const [service, reads] of Rows.groupByService(rows)) {
    const { once, open, deadlineMs } = reads[0]!;
    const ownRows = reads.map((read) => read.row);
    services.set(service, { service, once, open, deadlineMs, rows: ownRows });
  }
  for (const { row } of rows) {
    for (const domain of row.domains) domains.set(domain, row.region);
  }
  return { revision, services, accounts, domains };
}

/** Writes a table as CSV that `parseTable` reads back to an equal one. */
export function encodeTable(table: Types.Table): string {
  const header = [
    ...Columns.FIXED_COLUMNS,
    ...table.accounts.flatMap((one) => [`rate:${one}`, `burst:${one}`]),
  ];
  const lines: (readonly (string | number)[])[] = [header];
  for (const rules of table.services.values()) {
    for (const row of rules.rows) {
      lines.push(encodeRow(rules, row, table.accounts));
    }
  }
  return Papa.unparse(lines as (string | number)[][], { newline: "\n" }) + "\n";
}

function encodeRow(
  rules: Types.ServiceRules,
  row: Types.Row,
  accounts: readonly Types.Account[],
): readonly (string | number)[] {
  const once = rules.once.map((one) => `${one.method} ${one.pathPrefix}`);
  return [
    row.service,
    row.region,
    row.domains.join(" "),
    row.weight,
    row.capRps,
    row.shiftPctPerS,
    row.linkMbps,
    once.join(" "),
    rules.open.join(" "),
    rules.deadlineMs,
    ...accounts.flatMap<string | number>((account) => {
      const cell = row.accounts.get(account);
      return cell === undefined ? ["", ""] : [cell.rate, cell.burst];
    }),
  ];
}
