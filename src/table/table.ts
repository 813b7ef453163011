/** Parses, checks and encodes the operators' table, which is a CSV file. */
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

/** Maximum size of a table in bytes of UTF-8; the store accepts values of at most 1 MB. */
export const MAX_TABLE_BYTES = 1_000_000;
const DELIMITERS = [",", ";", "\t"] as const;

/** A valid table, or the errors of an invalid one (at least one). */
export type CheckResult =
  | { readonly kind: "good"; readonly table: Types.Table }
  | { readonly kind: "bad"; readonly errors: readonly Errors.TableError[] };

/**
 * Parses and checks a table. A failure has the code of the first error, and its
 * detail lists the errors, one per line.
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

/** Parses and checks a table like `parseTable`, but returns the errors as data, in the order of their rows. */
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
  const { addError } = list;
  const bytes = Buffer.byteLength(csv);
  if (bytes > MAX_TABLE_BYTES) {
    const allowed = `at most ${MAX_TABLE_BYTES} bytes`;
    addError("valueTooLarge", 1, "all", `${bytes} bytes`, allowed);
    return undefined;
  }
  const raw = parseCsv(csv, addError);
  if (raw === undefined) return undefined;
  const header = Columns.readHeader(raw.rows[0]?.cells ?? [], addError);
  if (header.fixedColumns.size === 0) return undefined;
  const rows: Rows.ParsedRow[] = [];
  const hasDecimalComma = raw.delimiter === ";";
  for (const row of raw.rows.slice(1)) {
    if (list.isFull()) break;
    rows.push(Rows.readRow(header, { ...row, hasDecimalComma }, addError));
  }
  if (rows.length === 0) {
    addError(
      "tableSyntax",
      2,
      "service",
      "",
      "at least one row after the header",
    );
    return undefined;
  }
  Consistency.checkConsistency(rows, header.accountColumns.keys(), list);
  return buildTable(revision, rows, [...header.accountColumns.keys()]);
}

interface RawTable {
  readonly delimiter: string;
  readonly rows: readonly {
    readonly number: number;
    readonly cells: readonly string[];
  }[];
}

function parseCsv(
  csv: string,
  addError: Errors.AddError,
): RawTable | undefined {
  const normalizedCsv = csv.replace(/^\uFEFF/, "").replace(/\r\n?/g, "\n");
  const delimiter = detectDelimiter(normalizedCsv);
  const parsed = Papa.parse<string[]>(normalizedCsv, {
    delimiter,
    newline: "\n",
  });
  for (const err of parsed.errors) {
    const row = (err.row ?? 0) + 1;
    addError("tableSyntax", row, "all", err.message, "well-formed CSV");
  }
  if (parsed.errors.length > 0) return undefined;
  const rows = parsed.data
    .map((cells, index) => ({ number: index + 1, cells }))
    // Spreadsheets append rows of empty cells.
    .filter(({ cells }) => cells.some((cell) => cell.trim() !== ""));
  if (rows.length > 0 && rows[0]?.number === 1) return { delimiter, rows };
  addError("tableSyntax", 1, "all", "", "the header in the first row");
  return undefined;
}

/** Returns the delimiter that occurs most often in the header row; column names contain no delimiter. */
function detectDelimiter(normalizedCsv: string): string {
  const headerLine = normalizedCsv.slice(
    0,
    normalizedCsv.indexOf("\n") + 1 || undefined,
  );
  const countColumns = (delimiter: string) =>
    headerLine.split(delimiter).length;
  return DELIMITERS.reduce((a, b) => countColumns(b) > countColumns(a) ? b : a);
}

function buildTable(
  revision: number,
  rows: readonly Rows.ParsedRow[],
  accounts: readonly Types.Account[],
): Types.Table {
  const services = new Map<Types.Service, Types.ServiceRules>();
  const domains = new Map<Types.Domain, Types.Region>();
  for (const [service, parsedRows] of Rows.groupByService(rows)) {
    const { once, open, deadlineMs } = parsedRows[0]!;
    const serviceRows = parsedRows.map((parsedRow) => parsedRow.row);
    services.set(service, {
      service,
      once,
      open,
      deadlineMs,
      rows: serviceRows,
    });
  }
  for (const { row } of rows) {
    for (const domain of row.domains) domains.set(domain, row.region);
  }
  return { revision, services, accounts, domains };
}

/** Encodes a table as CSV; `parseTable` decodes the CSV to an equal table. */
export function encodeTable(table: Types.Table): string {
  const header = [
    ...Columns.FIXED_COLUMNS,
    ...table.accounts.flatMap((
      account,
    ) => [`rate:${account}`, `burst:${account}`]),
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
  const once = rules.once.map((pattern) =>
    `${pattern.method} ${pattern.pathPrefix}`
  );
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
