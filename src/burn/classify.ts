/**
 * Splits refusals into rightful and wrongful ones.
 *
 * In each 10 s window of an account over all instances, refusals that would
 * have fitted within rate x 10 s + burst less what was admitted are wrongful.
 * The burst counts as far as earlier windows left it: with a full burst in
 * every window, an account that keeps sending over its rate would have one
 * burst of refusals called wrongful in each of them.
 */
import * as ResultCodes from "../result_codes.ts";
import * as Columns from "../table/columns.ts";
import type * as Types from "../types.ts";
import * as Windows from "../metrics/windows.ts";
import type * as Merge from "./merge.ts";

/** Fleet-wide limit of an account for a service. */
export interface Limit {
  /** Requests per second; Infinity on open routes, which have no limit. */
  readonly rate: number;
  /** Requests. */
  readonly burst: number;
}

/** How one window's requests count. */
export interface Verdict {
  /** Answered, with the whole answer. */
  readonly good: number;
  /** Wrongly refused, unknown, or ran without its answer. */
  readonly bad: number;
  readonly rightful: number;
  readonly wrongful: number;
  /** Refused for what the request itself was, for example a malformed path. */
  readonly callerFaults: number;
}

const TOO_MANY_REQUESTS = 429;

const CALLER_FAULT_CODES: ReadonlySet<number> = new Set(
  Object.values(ResultCodes.codes)
    .filter(({ status }) =>
      status >= 400 && status < 500 && status !== TOO_MANY_REQUESTS
    )
    .map((info) => info.number),
);

/** The limit by the table: the sum over the service's rows; undefined for an account that the table does not have. */
export function tryGetLimit(
  table: Types.Table,
  service: Types.Service,
  account: Types.Account,
): Limit | undefined {
  if (account === Columns.PUBLIC_ACCOUNT) {
    return { rate: Infinity, burst: Infinity };
  }
  const rules = table.services.get(service);
  if (rules === undefined || !table.accounts.includes(account)) return;
  let rate = 0;
  let burst = 0;
  for (const row of rules.rows) {
    const cell = row.accounts.get(account);
    rate += cell?.rate ?? 0;
    burst += cell?.burst ?? 0;
  }
  return { rate, burst };
}

/**
 * Judges an account's windows, which must be in order of time. Without a limit
 * the split is not possible, and all refusals count as rightful.
 */
export function judgeWindows(
  windows: readonly Merge.MergedWindow[],
  limit: Limit | undefined,
): readonly Verdict[] {
  const { rate, burst } = limit ?? { rate: 0, burst: 0 };
  const refill = rate * Windows.WINDOW_MS / 1000;
  let level = burst;
  let next = windows[0]?.number ?? 0;
  return windows.map((window) => {
    // Windows without any request are not in the list; the bucket fills in them.
    const idle = window.number - next;
    if (idle > 0) level = Math.min(burst, level + refill * idle);
    next = window.number + 1;
    const admitted = window.answered + window.ran + window.unknown +
      window.cancelled;
    const room = Math.max(0, level + refill - admitted);
    const verdict = judgeWindow(window, Math.floor(room));
    level = Math.min(burst, Math.max(0, room - verdict.wrongful));
    return verdict;
  });
}

function judgeWindow(window: Merge.MergedWindow, room: number): Verdict {
  let callerFaults = 0;
  let refused = 0;
  for (const [code, count] of window.refused) {
    if (CALLER_FAULT_CODES.has(code)) callerFaults += count;
    else refused += count;
  }
  const wrongful = Math.min(refused, room);
  return {
    good: window.answered,
    bad: wrongful + window.unknown + window.ran,
    rightful: refused - wrongful,
    wrongful,
    callerFaults,
  };
}
