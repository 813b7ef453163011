/** Checks that the rows of the table agree with each other. */
import type * as Errors from "./errors.ts";
import * as Rows from "./rows.ts";
import type * as Types from "../types.ts";

/** Notes rows that contradict each other. */
export function checkConsistency(
  rows: readonly Rows.ReadRow[],
  accounts: Iterable<Types.Account>,
  list: Errors.ErrorList,
): void {
  const { note, hasError } = list;
  checkPairs(rows, note);
  checkDomains(rows, note, hasError);
  checkServices(rows, note, hasError);
  const services = Rows.groupByService(rows);
  for (const account of accounts) {
    // Without one of its two columns, the account's header error says enough.
    const isWhole = !hasError(1, `rate:${account}`) &&
      !hasError(1, `burst:${account}`);
    if (isWhole) checkBursts(services, account, note);
  }
}

function checkPairs(rows: readonly Rows.ReadRow[], note: Errors.Note): void {
  const first = new Map<string, number>();
  for (const { number, row } of rows) {
    if (row.service === "" || row.region === "") continue;
    const pair = `${row.service} ${row.region}`;
    const before = first.get(pair);
    if (before === undefined) first.set(pair, number);
    else {
      const allowed = `one row per service and region; row ${before} has it`;
      note("tableRow", number, "service, region", pair, allowed);
    }
  }
}

function checkDomains(
  rows: readonly Rows.ReadRow[],
  note: Errors.Note,
  hasError: Errors.HasError,
): void {
  const ofRegion = new Map<string, { number: number; text: string }>();
  const ofDomain = new Map<string, string>();
  for (const { number, row } of rows) {
    if (row.region === "" || hasError(number, "domains")) continue;
    const text = [...row.domains].sort().join(" ");
    const first = ofRegion.get(row.region);
    if (first === undefined) ofRegion.set(row.region, { number, text });
    else if (first.text !== text) {
      const allowed = `the same as in row ${first.number}: ${first.text}`;
      note("tableConsistency", number, "domains", text, allowed);
    }
    for (const domain of row.domains) {
      const region = ofDomain.get(domain);
      if (region === undefined) ofDomain.set(domain, row.region);
      else if (region !== row.region) {
        const allowed = `a domain of one region only; it is in ${region}`;
        note("tableConsistency", number, "domains", domain, allowed);
      }
    }
  }
}

function formatShared(
  read: Rows.ReadRow,
): readonly (readonly [string, string])[] {
  const once = read.once.map((one) => `${one.method} ${one.pathPrefix}`);
  return [
    ["once", once.sort().join(" ")],
    ["open", [...read.open].sort().join(" ")],
    ["deadline_ms", String(read.deadlineMs)],
  ];
}

function checkServices(
  rows: readonly Rows.ReadRow[],
  note: Errors.Note,
  hasError: Errors.HasError,
): void {
  const first = new Map<string, Rows.ReadRow>();
  for (const read of rows) {
    const before = first.get(read.row.service);
    if (before === undefined) {
      first.set(read.row.service, read);
      continue;
    }
    const expected = formatShared(before);
    formatShared(read).forEach(([column, value], index) => {
      const wanted = expected[index]?.[1] ?? "";
      if (value === wanted) return;
      const isRead = !hasError(before.number, column) &&
        !hasError(read.number, column);
      if (!isRead) return;
      const allowed = `the same as in row ${before.number}: ` +
        (wanted === "" ? "empty" : wanted);
      note("tableConsistency", read.number, column, value, allowed);
    });
  }
}

/** A bucket that never holds one whole token would refuse every request. */
function checkBursts(
  services: ReturnType<typeof Rows.groupByService>,
  account: Types.Account,
  note: Errors.Note,
): void {
  for (const [service, reads] of services) {
    const cells = reads.flatMap((read) => {
      const cell = read.row.accounts.get(account);
      return cell === undefined ? [] : [{ number: read.number, cell }];
    });
    const rated = cells.find(({ cell }) => cell.rate > 0);
    if (rated === undefined) continue;
    if (cells.some(({ cell }) => cell.burst >= 1)) continue;
    const allowed = `at least 1 in one row of ${service}, ` +
      `as the account has a rate there`;
    const value = String(rated.cell.burst);
    const column = `burst:${account}`;
    note("tableConsistency", rated.number, column, value, allowed);
  }
}
