/** Reads single cells of the table. */
import * as Columns from "./columns.ts";
import type * as Errors from "./errors.ts";
import type * as Types from "../types.ts";

/** One row of the file and where to report what is wrong with it. */
export interface RawRow {
  /** Row number as a spreadsheet shows it. */
  readonly number: number;
  readonly cells: readonly string[];
  /** True when the file's numbers may have a decimal comma. */
  readonly hasDecimalComma: boolean;
}

const NUMBER = /^-?\d+(\.\d+)?([eE][+-]?\d+)?$/;
// "1,500" can be 1.5 or 1500 depending on who typed it, so it is refused.
const DECIMAL_COMMA = /^-?\d+,(\d{1,2}|\d{4,})$/;
const METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
// Only characters that need no escaping, so that a pattern has one spelling.
const PATH_PREFIX = /^\/$|^(\/[A-Za-z0-9._~-]+)+$/;
const PATH_ALLOWED =
  "paths that start with '/', of letters, digits and ._~- , without '.' or " +
  "'..' segments and without '/' at the end";

/** Text of a cell without surrounding blanks; empty when the row is too short. */
export function getText(row: RawRow, index: number | undefined): string {
  return (index === undefined ? undefined : row.cells[index])?.trim() ?? "";
}

/** What a range allows, for messages. */
export function formatRange(range: Columns.Range): string {
  const kind = range.isInteger ? "an integer" : "a number";
  return `${kind} from ${range.min} to ${range.max}`;
}

/** Reads a number; notes an error and returns undefined when it is not allowed. */
export function tryReadNumber(
  row: RawRow,
  column: string,
  text: string,
  range: Columns.Range,
  note: Errors.Note,
): number | undefined {
  const isComma = row.hasDecimalComma && DECIMAL_COMMA.test(text);
  const plain = isComma ? text.replace(",", ".") : text;
  const value = NUMBER.test(plain) ? Number(plain) : NaN;
  const isGood = Number.isFinite(value) && value >= range.min &&
    value <= range.max && (!range.isInteger || Number.isInteger(value));
  // Adding 0 turns -0 into 0, which is written back as it was read.
  if (isGood) return value + 0;
  note("tableCell", row.number, column, text, formatRange(range));
  return undefined;
}

/** Reads a name; notes an error and returns undefined when it is not allowed. */
export function tryReadName(
  row: RawRow,
  column: string,
  text: string,
  note: Errors.Note,
): string | undefined {
  if (Columns.NAME.test(text)) return text;
  note("tableCell", row.number, column, text, Columns.NAME_ALLOWED);
  return undefined;
}

/** Splits at blanks, of which spreadsheets also write the non-breaking kind. */
function splitWords(text: string): readonly string[] {
  return text.split(/\s+/).filter((word) => word !== "");
}

/** Reads the list of a region's domains. */
export function readDomains(
  row: RawRow,
  text: string,
  note: Errors.Note,
): readonly Types.Domain[] {
  const domains: string[] = [];
  for (const word of splitWords(text)) {
    const isGood = Columns.NAME.test(word) && !domains.includes(word);
    if (isGood) domains.push(word);
    else {
      const allowed = `each domain once; ${Columns.NAME_ALLOWED}`;
      note("tableCell", row.number, "domains", word, allowed);
    }
  }
  if (text === "") {
    const allowed = "at least one domain, separated by spaces";
    note("tableCell", row.number, "domains", "", allowed);
  }
  return domains;
}

function isPathPrefix(text: string): boolean {
  const segments = text.split("/");
  return PATH_PREFIX.test(text) && !segments.includes(".") &&
    !segments.includes("..");
}

/** Reads the path prefixes of `open`. */
export function readOpen(
  row: RawRow,
  text: string,
  note: Errors.Note,
): readonly string[] {
  const words = splitWords(text);
  for (const word of words) {
    if (isPathPrefix(word)) continue;
    note("tableCell", row.number, "open", word, PATH_ALLOWED);
  }
  return [...new Set(words)];
}

/** Reads the `METHOD /path-prefix` pairs of `once`. */
export function readOnce(
  row: RawRow,
  text: string,
  note: Errors.Note,
): readonly Types.RoutePattern[] {
  const words = splitWords(text);
  const patterns = new Map<string, Types.RoutePattern>();
  for (let i = 0; i < words.length; i += 2) {
    const method = words[i] ?? "";
    const pathPrefix = words[i + 1] ?? "";
    const pair = `${method} ${pathPrefix}`;
    const isGood = METHODS.includes(method) && isPathPrefix(pathPrefix);
    if (isGood) patterns.set(pair, { method, pathPrefix });
    else {
      const allowed = `pairs METHOD /path-prefix separated by spaces; METHOD ` +
        `one of ${METHODS.join(" ")}; ${PATH_ALLOWED}`;
      note("tableCell", row.number, "once", pair, allowed);
    }
  }
  return [...patterns.values()];
}
