/** Requests of one key that wait for tokens, in order of arrival. */
import type { Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Borrowed from "./borrowed.ts";
import type * as Allocations from "./allocations.ts";

/** Outcome of acquiring tokens. */
export type AcquireResult = Result<void, ResultCodes.Failure>;

/** One waiting request. */
export interface Waiter {
  readonly tokens: number;
  readonly deadlineAtMs: number;
  readonly resolve: (result: AcquireResult) => void;
}

/** Waiters of one key and the state of borrowing for them; times are monotonic ms. */
export interface WaitQueue {
  readonly state: Allocations.KeyState;
  waiters: Waiter[];
  isBorrowing: boolean;
  backoffMs: number;
  /** Until this time, tokens count as scarce at the peers. */
  scarceUntilMs: number;
  /** Tokens borrowed since the start. */
  borrowedTokens: number;
  nextBorrowAtMs: number;
  /** Time of the next wake-up; Infinity when none is set. */
  wakeAtMs: number;
}

/** Creates a queue without waiters. */
export function createWaitQueue(state: Allocations.KeyState): WaitQueue {
  return {
    state,
    waiters: [],
    isBorrowing: false,
    backoffMs: 0,
    scarceUntilMs: 0,
    borrowedTokens: 0,
    nextBorrowAtMs: 0,
    wakeAtMs: Infinity,
  };
}

/** Returns the rejection for the kind of key. */
export function reject(key: Contracts.BudgetKey): AcquireResult {
  if (key.startsWith("cap/")) return ResultCodes.fail("regionCap", key);
  if (key.startsWith("link/")) return ResultCodes.fail("linkCap", key);
  return ResultCodes.fail("accountLimit", key);
}

/** Returns the local and borrowed tokens available now. */
export function getAvailable(
  state: Allocations.KeyState,
  nowMs: number,
): number {
  return Borrowed.sumBorrowed(state, nowMs) + state.bucket.getLevel(nowMs);
}

/**
 * Returns the tokens that the waiters need beyond the available ones; 0 or less
 * when they suffice.
 */
export function getShortfall(queue: WaitQueue, nowMs: number): number {
  let sum = 0;
  for (const waiter of queue.waiters) sum += waiter.tokens;
  return sum - getAvailable(queue.state, nowMs);
}

/**
 * Returns the monotonic ms at which local refill brings the available tokens to
 * `tokens`; Infinity when never.
 */
export function getRefillAtMs(
  queue: WaitQueue,
  tokens: number,
  nowMs: number,
): number {
  const { rate } = queue.state.bucket.getLimits();
  const shortfall = tokens - getAvailable(queue.state, nowMs);
  if (shortfall <= 0) return nowMs;
  return rate > 0 ? nowMs + (shortfall / rate) * 1000 : Infinity;
}

/**
 * Rejects the waiters that can't be admitted before their deadlines, now rather
 * than at the deadlines.
 */
export function rejectUnservable(queue: WaitQueue, nowMs: number): void {
  let sum = 0;
  const servable: Waiter[] = [];
  for (const waiter of queue.waiters) {
    const { deadlineAtMs, tokens, resolve } = waiter;
    const canBorrow = queue.isBorrowing || queue.nextBorrowAtMs <= deadlineAtMs;
    const isServable = deadlineAtMs > nowMs &&
      (canBorrow || getRefillAtMs(queue, sum + tokens, nowMs) <= deadlineAtMs);
    if (isServable) {
      sum += tokens;
      servable.push(waiter);
    } else {
      resolve(reject(queue.state.key));
    }
  }
  queue.waiters = servable;
}
