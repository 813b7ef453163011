/**
 * Splits rejections into rightful and wrongful ones.
 *
 * An account's requests are summed over all instances in 10 s windows. In each
 * window, up to (rate x 10 s + remaining burst - admitted requests) rejections
 * are wrongful and the others rightful. The remaining burst carries over between
 * windows like the tokens of a bucket. If every window started with a full
 * burst, an account that constantly exceeds its rate would get one burst of
 * rejections classified as wrongful in each window.
 */
import * as ResultCodes from "../result_codes.ts";
import * as Columns from "../table/columns.ts";
import type * as Types from "../types.ts";
import * as Windows from "../metrics/windows.ts";
import type * as Merge from "./merge.ts";

/** Limit of an account for a service over all instances. */
export interface Limit {
  /** Requests per second; Infinity for open routes, which have no limit. */
  readonly rate: number;
  /** Requests. */
  readonly burst: number;
}

/** Classified request counts, of one window or of several. */
export interface Verdict {
  /** Requests with a complete response. */
  readonly good: number;
  /** Requests that were wrongly rejected, whose outcome is unknown, or that ran without a complete response. */
  readonly bad: number;
  readonly rightful: number;
  readonly wrongful: number;
  /** Rejections caused by the request itself, for example by a malformed path. */
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

/** Returns an account's limit, summed over the service's rows; undefined when the table lacks the service or account. */
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
 * Classifies the requests of an account's windows, which must be sorted by time.
 * Without a limit all rejections count as rightful.
 */
export function classifyWindows(
  windows: readonly Merge.MergedWindow[],
  limit: Limit | undefined,
): readonly Verdict[] {
  const { rate, burst } = limit ?? { rate: 0, burst: 0 };
  const refill = rate * Windows.WINDOW_MS / 1000;
  let tokens = burst;
  let expectedNumber = windows[0]?.number ?? 0;
  return windows.map((window) => {
    // Windows without requests are not in the list; the bucket refills during them.
    const idleCount = window.number - expectedNumber;
    if (idleCount > 0) tokens = Math.min(burst, tokens + refill * idleCount);
    expectedNumber = window.number + 1;
    const admitted = window.answered + window.ran + window.unknown +
      window.cancelled;
    const available = Math.max(0, tokens + refill - admitted);
    const verdict = classifyWindow(window, Math.floor(available));
    tokens = Math.min(burst, Math.max(0, available - verdict.wrongful));
    return verdict;
  });
}

function classifyWindow(
  window: Merge.MergedWindow,
  available: number,
): Verdict {
  let callerFaults = 0;
  let rejected = 0;
  for (const [code, count] of window.refused) {
    if (CALLER_FAULT_CODES.has(code)) callerFaults += count;
    else rejected += count;
  }
  const wrongful = Math.min(rejected, available);
  return {
    good: window.answered,
    bad: wrongful + window.unknown + window.ran,
    rightful: rejected - wrongful,
    wrongful,
    callerFaults,
  };
}
