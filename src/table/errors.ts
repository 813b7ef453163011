/** Collects and formats the errors of a table: the cell, its value, and the allowed values. */
import * as ResultCodes from "../result_codes.ts";

/** One error in a table. */
export interface TableError {
  readonly code: ResultCodes.CodeInfo;
  /** Row number as a spreadsheet shows it: the header is row 1. */
  readonly row: number;
  readonly column: string;
  readonly value: string;
  readonly allowed: string;
}

/** Names of the result codes that table errors use. */
export type TableCodeName = Extract<
  ResultCodes.CodeName,
  | "tableSyntax"
  | "tableColumn"
  | "tableCell"
  | "tableRow"
  | "tableConsistency"
  | "valueTooLarge"
>;

/** Adds one error to the list; `allowed` describes the allowed values. */
export type AddError = (
  code: TableCodeName,
  row: number,
  column: string,
  value: string,
  allowed: string,
) => void;

/** Returns true when a cell already has an error; checks against other rows then skip the cell. */
export type HasError = (row: number, column: string) => boolean;

const MAX_SHOWN_CHARS = 60;
// Instances parse tables too, and a malformed 1 MB file must not produce an error message of many MB.
const MAX_LISTED_ERRORS = 500;
/**
 * Parsing stops after this many errors. Parsing 400,000 invalid rows took 8 s,
 * during which an instance would serve no requests.
 */
export const MAX_ERRORS = 5_000;

/** List of errors in the order in which they are found. */
export interface ErrorList {
  readonly addError: AddError;
  readonly hasError: HasError;
  /** Returns true when the list has `MAX_ERRORS` errors and ignores further ones. */
  readonly isFull: () => boolean;
  readonly errors: readonly TableError[];
}

/** Creates an empty error list. */
export function createErrorList(): ErrorList {
  const errors: TableError[] = [];
  const cells = new Set<string>();
  const addError: AddError = (code, row, column, value, allowed) => {
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
  return { addError, hasError, isFull, errors };
}

function quoteShortened(text: string): string {
  const chars = [...text];
  if (chars.length <= MAX_SHOWN_CHARS) return JSON.stringify(text);
  return JSON.stringify(chars.slice(0, MAX_SHOWN_CHARS).join("") + "…");
}

/** Formats one error: `row 3, column weight: "120" is not allowed; allowed: a number from 0 to 100 (E403)`. */
export function formatError(err: TableError): string {
  const value = err.value === ""
    ? "is empty or missing"
    : `${quoteShortened(err.value)} is not allowed`;
  const column = quoteShortened(err.column).slice(1, -1);
  return `row ${err.row}, column ${column}: ${value}; ` +
    `allowed: ${err.allowed} (E${err.code.number})`;
}

/** Formats errors, one per line; lists at most 500 and counts the others in a last line. */
export function formatErrors(errors: readonly TableError[]): string {
  const lines = errors.slice(0, MAX_LISTED_ERRORS).map(formatError);
  const omittedCount = errors.length - lines.length;
  const atLeast = errors.length >= MAX_ERRORS ? "at least " : "";
  if (omittedCount > 0) lines.push(`and ${atLeast}${omittedCount} more errors`);
  return lines.join("\n");
}
