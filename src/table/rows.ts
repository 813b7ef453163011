/** Parses the rows of the table; `consistency.ts` compares them with each other. */
import * as Cells from "./cells.ts";
import * as Columns from "./columns.ts";
import type * as Errors from "./errors.ts";
import type * as Types from "../types.ts";

/** A parsed row. `once`, `open` and `deadlineMs` must be equal in all rows of a service. */
export interface ParsedRow {
  readonly number: number;
  readonly row: Types.Row;
  readonly once: readonly Types.RoutePattern[];
  readonly open: readonly string[];
  readonly deadlineMs: number;
}

/** Parses one row; adds an error for each invalid cell and uses a placeholder as its value. */
export function readRow(
  header: Columns.Header,
  raw: Cells.RawRow,
  addError: Errors.AddError,
): ParsedRow {
  const getCell = (column: Columns.FixedColumn) =>
    Cells.getCell(raw, header.fixedColumns.get(column));
  const readNumber = (
    column: keyof typeof Columns.RANGES & Columns.FixedColumn,
  ) =>
    header.fixedColumns.has(column)
      ? Cells.tryReadNumber(
        raw,
        column,
        getCell(column),
        Columns.RANGES[column],
        addError,
      ) ?? 0
      : 0;
  const readName = (column: Columns.FixedColumn) =>
    Cells.tryReadName(raw, column, getCell(column), addError) ?? "";
  checkExtraCells(header, raw, addError);
  return {
    number: raw.number,
    row: {
      service: readName("service"),
      region: readName("region"),
      domains: Cells.readDomains(raw, getCell("domains"), addError),
      weight: readNumber("weight"),
      capRps: readNumber("cap_rps"),
      shiftPctPerS: readNumber("shift_pct_per_s"),
      linkMbps: readNumber("link_mbps"),
      accounts: readAccountCells(header, raw, addError),
    },
    once: Cells.readOncePatterns(raw, getCell("once"), addError),
    open: Cells.readOpenPrefixes(raw, getCell("open"), addError),
    deadlineMs: readNumber("deadline_ms"),
  };
}

function checkExtraCells(
  header: Columns.Header,
  raw: Cells.RawRow,
  addError: Errors.AddError,
): void {
  raw.cells.slice(header.width).forEach((cell, index) => {
    if (cell.trim() === "") return;
    const column = `number ${header.width + index + 1}`;
    addError("tableCell", raw.number, column, cell, "no cell past the header");
  });
}

function readAccountCells(
  header: Columns.Header,
  raw: Cells.RawRow,
  addError: Errors.AddError,
): ReadonlyMap<Types.Account, Types.AccountCell> {
  const accounts = new Map<Types.Account, Types.AccountCell>();
  for (const [account, columns] of header.accountColumns) {
    const rateCell = Cells.getCell(raw, columns.rate);
    const burstCell = Cells.getCell(raw, columns.burst);
    // Two empty cells mean that the account has no rate and burst in this region.
    if (rateCell === "" && burstCell === "") continue;
    const readNumber = (kind: string, cell: string) =>
      Cells.tryReadNumber(
        raw,
        `${kind}:${account}`,
        cell === "" ? "0" : cell,
        Columns.RANGES.account,
        addError,
      ) ?? 0;
    accounts.set(account, {
      rate: readNumber("rate", rateCell),
      burst: readNumber("burst", burstCell),
    });
  }
  return accounts;
}

/** Groups rows by service, in the order of the file. */
export function groupByService(
  rows: readonly ParsedRow[],
): ReadonlyMap<Types.Service, readonly ParsedRow[]> {
  const groups = new Map<Types.Service, ParsedRow[]>();
  for (const parsedRow of rows) {
    const group = groups.get(parsedRow.row.service);
    if (group === undefined) groups.set(parsedRow.row.service, [parsedRow]);
    else group.push(parsedRow);
  }
  return groups;
}
