/** Parses and checks single cells of the table. */
import * as Columns from "./columns.ts";
import type * as Errors from "./errors.ts";
import type * as Types from "../types.ts";

/** One unparsed row of the CSV file, with its number for error messages. */
export interface RawRow {
  /** Row number as a spreadsheet shows it: the header is row 1. */
  readonly number: number;
  readonly cells: readonly string[];
  /** True when numbers in the file may have a decimal comma. */
  readonly hasDecimalComma: boolean;
}

const NUMBER_PATTERN = /^-?\d+(\.\d+)?([eE][+-]?\d+)?$/;
// Rejects three digits after the comma: "1,500" means 1.5 in some locales and 1500 in others.
const DECIMAL_COMMA_PATTERN = /^-?\d+,(\d{1,2}|\d{4,})$/;
const METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
// Allows only characters that need no percent-encoding, so that each path has exactly one spelling.
const PATH_PREFIX_PATTERN = /^\/$|^(\/[A-Za-z0-9._~-]+)+$/;
const PATH_PREFIX_RULE =
  "paths that start with '/', of letters, digits and ._~- , without '.' or " +
  "'..' segments and without '/' at the end";

/** Returns a cell's content without surrounding white space; empty when the row is too short. */
export function getCell(row: RawRow, index: number | undefined): string {
  return (index === undefined ? undefined : row.cells[index])?.trim() ?? "";
}

/** Describes the allowed values of a numeric column for error messages. */
export function formatRange(range: Columns.Range): string {
  const kind = range.isInteger ? "an integer" : "a number";
  return `${kind} from ${range.min} to ${range.max}`;
}

/** Parses a number; adds an error and returns undefined when the value is not allowed. */
export function tryReadNumber(
  row: RawRow,
  column: string,
  cell: string,
  range: Columns.Range,
  addError: Errors.AddError,
): number | undefined {
  const isDecimalComma = row.hasDecimalComma &&
    DECIMAL_COMMA_PATTERN.test(cell);
  const normalized = isDecimalComma ? cell.replace(",", ".") : cell;
  const value = NUMBER_PATTERN.test(normalized) ? Number(normalized) : NaN;
  const isValid = Number.isFinite(value) && value >= range.min &&
    value <= range.max && (!range.isInteger || Number.isInteger(value));
  // Adding 0 turns -0 into 0: both are encoded as "0", which must parse to an equal value.
  if (isValid) return value + 0;
  addError("tableCell", row.number, column, cell, formatRange(range));
  return undefined;
}

/** Checks a name; adds an error and returns undefined when the name is not allowed. */
export function tryReadName(
  row: RawRow,
  column: string,
  cell: string,
  addError: Errors.AddError,
): string | undefined {
  if (Columns.NAME_PATTERN.test(cell)) return cell;
  addError("tableCell", row.number, column, cell, Columns.NAME_RULE);
  return undefined;
}

/** Splits at white space, including the non-breaking spaces that spreadsheets write. */
function splitWords(cell: string): readonly string[] {
  return cell.split(/\s+/).filter((word) => word !== "");
}

/** Parses the `domains` cell; adds an error for each invalid or repeated domain. */
export function readDomains(
  row: RawRow,
  cell: string,
  addError: Errors.AddError,
): readonly Types.Domain[] {
  const domains: string[] = [];
  for (const word of splitWords(cell)) {
    const isValid = Columns.NAME_PATTERN.test(word) && !domains.includes(word);
    if (isValid) domains.push(word);
    else {
      const allowed = `each domain once; ${Columns.NAME_RULE}`;
      addError("tableCell", row.number, "domains", word, allowed);
    }
  }
  if (cell === "") {
    const allowed = "at least one domain, separated by spaces";
    addError("tableCell", row.number, "domains", "", allowed);
  }
  return domains;
}

function isPathPrefix(path: string): boolean {
  const segments = path.split("/");
  return PATH_PREFIX_PATTERN.test(path) && !segments.includes(".") &&
    !segments.includes("..");
}

/** Parses the path prefixes of the `open` cell; adds an error for each invalid one. */
export function readOpenPrefixes(
  row: RawRow,
  cell: string,
  addError: Errors.AddError,
): readonly string[] {
  const prefixes = splitWords(cell);
  for (const prefix of prefixes) {
    if (isPathPrefix(prefix)) continue;
    addError("tableCell", row.number, "open", prefix, PATH_PREFIX_RULE);
  }
  return [...new Set(prefixes)];
}

/** Parses the `METHOD /path-prefix` pairs of the `once` cell; adds an error for each invalid pair. */
export function readOncePatterns(
  row: RawRow,
  cell: string,
  addError: Errors.AddError,
): readonly Types.RoutePattern[] {
  const words = splitWords(cell);
  const patterns = new Map<string, Types.RoutePattern>();
  for (let i = 0; i < words.length; i += 2) {
    const method = words[i] ?? "";
    const pathPrefix = words[i + 1] ?? "";
    const pair = `${method} ${pathPrefix}`;
    const isValid = METHODS.includes(method) && isPathPrefix(pathPrefix);
    if (isValid) patterns.set(pair, { method, pathPrefix });
    else {
      const allowed = `pairs METHOD /path-prefix separated by spaces; METHOD ` +
        `one of ${METHODS.join(" ")}; ${PATH_PREFIX_RULE}`;
      addError("tableCell", row.number, "once", pair, allowed);
    }
  }
  return [...patterns.values()];
}
