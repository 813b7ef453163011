/**
 * How much to borrow ahead and for how long. A lent token keeps its lender from
 * refilling for the loan's whole time: with 2 s for every loan, 1.7% of the
 * requests at half the rate were refused over 8 instances, against 0.1% now.
 */
import * as Allocations from "./allocations.ts";
import type * as Lenders from "./lenders.ts";

/** A loan outlives the expected answer by this factor, and is this long at least. */
const LOAN_RTTS = 4;
const LOAN_MIN_MS = 200;
/**
 * Least time of a loan that is only a part of the need, so that parts of
 * several lenders live until the last one arrives.
 */
const PART_LOAN_MIN_MS = 400;
/** Part of the peers' bursts that a steady flow borrows ahead. */
const PREFETCH_FRACTION = 0.1;
/** What a flow borrows ahead when tokens are scarce, in time. */
const SCARCE_PREFETCH_MS = 150;

/** Tokens to borrow beyond the need, and the loan time that they need. */
export interface Prefetch {
  readonly tokens: number;
  readonly loanMs: number;
}

/** Plans for a flow of `shortRate` tokens per second beyond the own rate. */
export function planPrefetch(
  shortRate: number,
  isScarce: boolean,
  peersBurst: number,
): Prefetch {
  if (shortRate <= 0) return { tokens: 0, loanMs: 0 };
  if (isScarce) {
    const tokens = Math.floor((shortRate * SCARCE_PREFETCH_MS) / 1_000);
    return { tokens, loanMs: 0 };
  }
  // A loan of twice the time in which the flow uses its tokens.
  const most = PREFETCH_FRACTION * peersBurst;
  const loanMs = Math.min(Allocations.LOAN_MS, (most / shortRate) * 2_000);
  return { tokens: Math.floor((shortRate * loanMs) / 2_000), loanMs };
}

/** Time of the loans of one wave; `leastMs` grows with failures. */
export function getLoanMs(
  need: number,
  wave: readonly Lenders.Ask[],
  leastMs: number,
): number {
  const isWhole = wave.some((ask) => ask.expected >= need);
  const rttMs = Math.max(0, ...wave.map((ask) => ask.rttMs));
  const loanMs = Math.max(
    isWhole ? LOAN_MIN_MS : PART_LOAN_MIN_MS,
    rttMs * LOAN_RTTS,
    leastMs,
  );
  return Math.min(Allocations.LOAN_MS, loanMs);
}
