/** Errors of a table: where, what, and what is allowed. */
import * as ResultCodes from "../result_codes.ts";

/** One wrong place in a table. */
export interface TableError {
  readonly code: ResultCodes.CodeInfo;
  /** Row number as a spreadsheet shows it: the header is row 1. */
  readonly row: number;
  readonly column: string;
  readonly value: string;
  readonly allowed: string;
}

/** Codes that a table's errors have. */
export type TableCode = Extract<
  ResultCodes.CodeName,
  | "tableSyntax"
  | "tableColumn"
  | "tableCell"
  | "tableRow"
  | "tableConsistency"
  | "valueTooLarge"
>;

/** Notes one error. */
export type Note = (
  code: TableCode,
  row: number,
  column: string,
  value: string,
  allowed: string,
) => void;

/** True when a cell already has an error, so that checks against other rows skip it. */
export type HasError = (row: number, column: string) => boolean;

const MAX_SHOWN_CHARS = 60;
// Instances parse tables too; a garbled 1 MB file must not grow into a message of many MB.
const MAX_LISTED_ERRORS = 500;
/**
 * Reading stops after this many errors: 400,000 bad rows took 8 s, in which an
 * instance would do nothing else.
 */
export const MAX_ERRORS = 5_000;

/** Errors in the order in which they are found. */
export interface ErrorList {
  readonly note: Note;
  readonly hasError: HasError;
  /** True when no further error is taken. */
  readonly isFull: () => boolean;
  readonly errors: readonly TableError[];
}

/** Creates an empty list. */
export function createErrorList(): ErrorList {
  const errors: TableError[] = [];
  const cells = new Set<string>();
  const note: Note = (code, row, column, value, allowed) => {
    if (errors.length >= MAX_ERRORS) return;
    cells.add(`${row} ${column}`);
    errors.push({
      code: ResultCodes.codes[code],
      row,
      column,
      value,
      allowed,
    });
  };
  const hasError: HasError = (row, column) => cells.has(`${row} ${column}`);
  const isFull = () => errors.length >= MAX_ERRORS;
  return { note, hasError, isFull, errors };
}

function shorten(text: string): string {
  const chars = [...text];
  if (chars.length <= MAX_SHOWN_CHARS) return JSON.stringify(text);
  return JSON.stringify(chars.slice(0, MAX_SHOWN_CHARS).join("") + "…");
}

/** One line: `row 3, column weight: "120" is not allowed; allowed: a number from 0 to 100 (E403)`. */
export function formatError(err: TableError): string {
  const value = err.value === ""
    ? "is empty or missing"
    : `${shorten(err.value)} is not allowed`;
  const column = shorten(err.column).slice(1, -1);
  return `row ${err.row}, column ${column}: ${value}; ` +
    `allowed: ${err.allowed} (E${err.code.number})`;
}

/** All errors, one per line. */
export function formatErrors(errors: readonly TableError[]): string {
  const lines = errors.slice(0, MAX_LISTED_ERRORS).map(formatError);
  const more = errors.length - lines.length;
  const least = errors.length >= MAX_ERRORS ? "at least " : "";
  if (more > 0) lines.push(`and ${least}${more} more errors`);
  return lines.join("\n");
}
