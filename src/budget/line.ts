/** Requests of one key that wait for tokens, in order of arrival. */
import type { Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Borrowed from "./borrowed.ts";
import type * as Allocations from "./allocations.ts";

/** Outcome of a take. */
export type TakeResult = Result<void, ResultCodes.Failure>;

/** One waiting request. */
export interface Waiter {
  readonly tokens: number;
  readonly deadlineMs: number;
  readonly resolve: (result: TakeResult) => void;
}

/** Waiters of one key and the state of borrowing for them; times are monotonic. */
export interface Line {
  readonly state: Allocations.KeyState;
  waiters: Waiter[];
  isBorrowing: boolean;
  backoffMs: number;
  scarceUntilMs: number;
  /** Tokens borrowed since start. */
  borrowedTokens: number;
  borrowAfterMs: number;
  wakeAtMs: number;
}

/** Creates a line without waiters. */
export function createLine(state: Allocations.KeyState): Line {
  return {
    state,
    waiters: [],
    isBorrowing: false,
    backoffMs: 0,
    scarceUntilMs: 0,
    borrowedTokens: 0,
    borrowAfterMs: 0,
    wakeAtMs: Infinity,
  };
}

/** The refusal that belongs to a kind of key. */
export function refuse(key: Contracts.BudgetKey): TakeResult {
  if (key.startsWith("cap/")) return ResultCodes.fail("regionCap", key);
  if (key.startsWith("link/")) return ResultCodes.fail("linkCap", key);
  return ResultCodes.fail("accountLimit", key);
}

/** Own and borrowed tokens at hand. */
export function getHeld(state: Allocations.KeyState, nowMs: number): number {
  return Borrowed.sumBorrowed(state, nowMs) + state.bucket.getLevel(nowMs);
}

/** Tokens that the waiters need beyond those at hand; at most 0 when none. */
export function getMissing(line: Line, nowMs: number): number {
  let sum = 0;
  for (const waiter of line.waiters) sum += waiter.tokens;
  return sum - getHeld(line.state, nowMs);
}

/** Monotonic ms at which own tokens cover `sum`; Infinity when never. */
export function getRefillAtMs(line: Line, sum: number, nowMs: number): number {
  const { rate } = line.state.bucket.getLimits();
  const short = sum - getHeld(line.state, nowMs);
  if (short <= 0) return nowMs;
  return rate > 0 ? nowMs + (short / rate) * 1000 : Infinity;
}

/** Refuses at once who can't be served in time, so that nobody waits for nothing. */
export function refuseHopeless(line: Line, nowMs: number): void {
  let sum = 0;
  const kept: Waiter[] = [];
  for (const waiter of line.waiters) {
    const { deadlineMs, tokens, resolve } = waiter;
    const mayBorrow = line.isBorrowing || line.borrowAfterMs <= deadlineMs;
    const isInTime = deadlineMs > nowMs &&
      (mayBorrow || getRefillAtMs(line, sum + tokens, nowMs) <= deadlineMs);
    if (isInTime) {
      sum += tokens;
      kept.push(waiter);
    } else {
      resolve(refuse(line.state.key));
    }
  }
  line.waiters = kept;
}
