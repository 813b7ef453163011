/** Reads the rows of the table, each for itself. */
import * as Cells from "./cells.ts";
import * as Columns from "./columns.ts";
import type * as Errors from "./errors.ts";
import type * as Types from "../types.ts";

/** A row with the columns that all rows of its service have in common. */
export interface ReadRow {
  readonly number: number;
  readonly row: Types.Row;
  readonly once: readonly Types.RoutePattern[];
  readonly open: readonly string[];
  readonly deadlineMs: number;
}

/** Reads one row; every wrong cell is noted and replaced by a placeholder. */
export function readRow(
  header: Columns.Header,
  raw: Cells.RawRow,
  note: Errors.Note,
): ReadRow {
  const text = (column: Columns.FixedColumn) =>
    Cells.getText(raw, header.fixed.get(column));
  const number = (column: keyof typeof Columns.RANGES & Columns.FixedColumn) =>
    header.fixed.has(column)
      ? Cells.tryReadNumber(
        raw,
        column,
        text(column),
        Columns.RANGES[column],
        note,
      ) ?? 0
      : 0;
  const name = (column: Columns.FixedColumn) =>
    Cells.tryReadName(raw, column, text(column), note) ?? "";
  noteExtraCells(header, raw, note);
  return {
    number: raw.number,
    row: {
      service: name("service"),
      region: name("region"),
      domains: Cells.readDomains(raw, text("domains"), note),
      weight: number("weight"),
      capRps: number("cap_rps"),
      shiftPctPerS: number("shift_pct_per_s"),
      linkMbps: number("link_mbps"),
      accounts: readAccounts(header, raw, note),
    },
    once: Cells.readOnce(raw, text("once"), note),
    open: Cells.readOpen(raw, text("open"), note),
    deadlineMs: number("deadline_ms"),
  };
}

function noteExtraCells(
  header: Columns.Header,
  raw: Cells.RawRow,
  note: Errors.Note,
): void {
  raw.cells.slice(header.width).forEach((cell, index) => {
    if (cell.trim() === "") return;
    const column = `number ${header.width + index + 1}`;
    note("tableCell", raw.number, column, cell, "no cell past the header");
  });
}

function readAccounts(
  header: Columns.Header,
  raw: Cells.RawRow,
  note: Errors.Note,
): ReadonlyMap<Types.Account, Types.AccountCell> {
  const accounts = new Map<Types.Account, Types.AccountCell>();
  for (const [account, at] of header.accounts) {
    const rateText = Cells.getText(raw, at.rate);
    const burstText = Cells.getText(raw, at.burst);
    // Two empty cells mean that the account has no share in this region.
    if (rateText === "" && burstText === "") continue;
    const read = (kind: string, text: string) =>
      Cells.tryReadNumber(
        raw,
        `${kind}:${account}`,
        text === "" ? "0" : text,
        Columns.RANGES.account,
        note,
      ) ?? 0;
    accounts.set(account, {
      rate: read("rate", rateText),
      burst: read("burst", burstText),
    });
  }
  return accounts;
}

/** The rows of each service, in the order of the file. */
export function groupByService(
  rows: readonly ReadRow[],
): ReadonlyMap<Types.Service, readonly ReadRow[]> {
  const groups = new Map<Types.Service, ReadRow[]>();
  for (const read of rows) {
    const group = groups.get(read.row.service);
    if (group === undefined) groups.set(read.row.service, [read]);
    else group.push(read);
  }
  return groups;
}
