/** Checks that the rows of the table do not contradict each other. */
import type * as Errors from "./errors.ts";
import * as Rows from "./rows.ts";
import type * as Types from "../types.ts";

/** Adds an error for each row that contradicts another one. */
export function checkConsistency(
  rows: readonly Rows.ParsedRow[],
  accounts: Iterable<Types.Account>,
  list: Errors.ErrorList,
): void {
  const { addError, hasError } = list;
  checkUniqueRows(rows, addError);
  checkDomains(rows, addError, hasError);
  checkServiceColumns(rows, addError, hasError);
  const services = Rows.groupByService(rows);
  for (const account of accounts) {
    // An account that lacks one of its two columns already has an error in the header row.
    const hasBothColumns = !hasError(1, `rate:${account}`) &&
      !hasError(1, `burst:${account}`);
    if (hasBothColumns) checkBursts(services, account, addError);
  }
}

function checkUniqueRows(
  rows: readonly Rows.ParsedRow[],
  addError: Errors.AddError,
): void {
  const rowNumberByPair = new Map<string, number>();
  for (const { number, row } of rows) {
    if (row.service === "" || row.region === "") continue;
    const pair = `${row.service} ${row.region}`;
    const firstRowNumber = rowNumberByPair.get(pair);
    if (firstRowNumber === undefined) rowNumberByPair.set(pair, number);
    else {
      const allowed =
        `one row per service and region; row ${firstRowNumber} has it`;
      addError("tableRow", number, "service, region", pair, allowed);
    }
  }
}

function checkDomains(
  rows: readonly Rows.ParsedRow[],
  addError: Errors.AddError,
  hasError: Errors.HasError,
): void {
  const firstRows = new Map<string, { number: number; domains: string }>();
  const regionByDomain = new Map<string, string>();
  for (const { number, row } of rows) {
    if (row.region === "" || hasError(number, "domains")) continue;
    const domains = [...row.domains].sort().join(" ");
    const firstRow = firstRows.get(row.region);
    if (firstRow === undefined) firstRows.set(row.region, { number, domains });
    else if (firstRow.domains !== domains) {
      const allowed =
        `the same as in row ${firstRow.number}: ${firstRow.domains}`;
      addError("tableConsistency", number, "domains", domains, allowed);
    }
    for (const domain of row.domains) {
      const region = regionByDomain.get(domain);
      if (region === undefined) regionByDomain.set(domain, row.region);
      else if (region !== row.region) {
        const allowed = `a domain of one region only; it is in ${region}`;
        addError("tableConsistency", number, "domains", domain, allowed);
      }
    }
  }
}

function formatServiceColumns(
  parsedRow: Rows.ParsedRow,
): readonly (readonly [string, string])[] {
  const once = parsedRow.once.map((pattern) =>
    `${pattern.method} ${pattern.pathPrefix}`
  );
  return [
    ["once", once.sort().join(" ")],
    ["open", [...parsedRow.open].sort().join(" ")],
    ["deadline_ms", String(parsedRow.deadlineMs)],
  ];
}

function checkServiceColumns(
  rows: readonly Rows.ParsedRow[],
  addError: Errors.AddError,
  hasError: Errors.HasError,
): void {
  const firstRowByService = new Map<string, Rows.ParsedRow>();
  for (const parsedRow of rows) {
    const firstRow = firstRowByService.get(parsedRow.row.service);
    if (firstRow === undefined) {
      firstRowByService.set(parsedRow.row.service, parsedRow);
      continue;
    }
    const expected = formatServiceColumns(firstRow);
    formatServiceColumns(parsedRow).forEach(([column, value], index) => {
      const expectedValue = expected[index]?.[1] ?? "";
      if (value === expectedValue) return;
      const areBothValid = !hasError(firstRow.number, column) &&
        !hasError(parsedRow.number, column);
      if (!areBothValid) return;
      const allowed = `the same as in row ${firstRow.number}: ` +
        (expectedValue === "" ? "empty" : expectedValue);
      addError("tableConsistency", parsedRow.number, column, value, allowed);
    });
  }
}

/** Checks the burst of accounts that have a rate: a bucket that never holds one whole token rejects every request. */
function checkBursts(
  services: ReturnType<typeof Rows.groupByService>,
  account: Types.Account,
  addError: Errors.AddError,
): void {
  for (const [service, parsedRows] of services) {
    const cells = parsedRows.flatMap((parsedRow) => {
      const cell = parsedRow.row.accounts.get(account);
      return cell === undefined ? [] : [{ number: parsedRow.number, cell }];
    });
    const cellWithRate = cells.find(({ cell }) => cell.rate > 0);
    if (cellWithRate === undefined) continue;
    if (cells.some(({ cell }) => cell.burst >= 1)) continue;
    const allowed = `at least 1 in one row of ${service}, ` +
      `as the account has a rate there`;
    const value = String(cellWithRate.cell.burst);
    const column = `burst:${account}`;
    addError("tableConsistency", cellWithRate.number, column, value, allowed);
  }
}
