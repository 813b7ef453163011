/**
 * Recent acquisitions of one key, and whether local or borrowed tokens covered them.
 *
 * Guarantee: a refund returns a token to its source, and each acquisition is
 * refunded at most once. A borrowed token returns to its loan only before the
 * loan expires and before it was reported to the lender as spent; otherwise it
 * is lost. Acquisitions are identified by time alone: a refund that names the
 * time right after its acquisition finds that acquisition or one between the
 * two, which changes the count of no window.
 */
import * as Borrowed from "./borrowed.ts";
import type * as Allocations from "./allocations.ts";

/**
 * Most acquisitions kept. Refunds of older ones are lost at an instance that
 * has spent borrowed tokens.
 */
const MAX_LISTED = 512;
/** Acquisitions dropped at once when there are too many. */
const DROP_BATCH = 128;

/** One acquisition that may still be refunded. */
export interface Acquisition {
  /** Monotonic ms. */
  readonly atMs: number;
  /** Tokens of the local bucket that were not refunded. */
  local: number;
  /** Borrowed tokens that were not refunded, by loan. */
  readonly borrowedByLoan: Borrowed.BorrowedTokens[];
}

/**
 * Acquires tokens from loans first, then from the local bucket; false when both
 * together have too few.
 */
export function tryAcquire(
  state: Allocations.KeyState,
  tokens: number,
  nowMs: number,
): boolean {
  const borrowedTokens = Math.min(tokens, Borrowed.sumBorrowed(state, nowMs));
  const local = tokens - borrowedTokens;
  if (local > 0 && !state.bucket.tryAcquire(local, nowMs)) return false;
  const borrowedByLoan = borrowedTokens > 0
    ? Borrowed.spendBorrowed(state, borrowedTokens)
    : [];
  if (borrowedByLoan.length > 0) state.hasSpentBorrowed = true;
  state.acquired.push({ atMs: nowMs, local, borrowedByLoan });
  if (state.acquired.length > MAX_LISTED) state.acquired.splice(0, DROP_BATCH);
  return true;
}

/** Refunds tokens of an acquisition; `acquiredAtMs` is a monotonic time read right after it. */
export function refund(
  state: Allocations.KeyState,
  tokens: number,
  nowMs: number,
  acquiredAtMs?: number,
): void {
  if (acquiredAtMs === undefined) return refundNewest(state, tokens, nowMs);
  const match = state.acquired.findLast((candidate) =>
    candidate.atMs <= acquiredAtMs && getRefundable(candidate) > 0
  );
  if (match !== undefined) return refundListed(state, match, tokens, nowMs);
  // The acquisition is no longer listed. Its tokens were local if no borrowed
  // token was ever spent.
  if (state.hasSpentBorrowed) return;
  state.bucket.refund(tokens, nowMs, acquiredAtMs);
}

function getRefundable(acquisition: Acquisition): number {
  return acquisition.borrowedByLoan.reduce(
    (sum, { tokens }) => sum + tokens,
    acquisition.local,
  );
}

function refundListed(
  state: Allocations.KeyState,
  acquisition: Acquisition,
  tokens: number,
  nowMs: number,
): void {
  const remaining = deductBorrowed(acquisition, tokens, (borrowed) => {
    Borrowed.refundBorrowed(state, borrowed, nowMs);
  });
  const local = Math.min(remaining, acquisition.local);
  acquisition.local -= local;
  if (local > 0) state.bucket.refund(local, nowMs, acquisition.atMs);
}

/**
 * Refunds without the time of the acquisition: borrowed tokens are lost, local
 * ones count as the oldest.
 */
function refundNewest(
  state: Allocations.KeyState,
  tokens: number,
  nowMs: number,
): void {
  let remaining = tokens;
  let local = 0;
  for (let i = state.acquired.length - 1; i >= 0 && remaining > 0; i--) {
    const acquisition = state.acquired[i]!;
    remaining = deductBorrowed(acquisition, remaining, () => {});
    const amount = Math.min(remaining, acquisition.local);
    acquisition.local -= amount;
    local += amount;
    remaining -= amount;
  }
  if (local > 0) state.bucket.refund(local, nowMs);
}

/**
 * Deducts up to `tokens` from the borrowed tokens of an acquisition; returns
 * the amount not deducted.
 */
function deductBorrowed(
  acquisition: Acquisition,
  tokens: number,
  onDeducted: (borrowed: Borrowed.BorrowedTokens) => void,
): number {
  let remaining = tokens;
  for (const borrowed of acquisition.borrowedByLoan) {
    const amount = Math.min(remaining, borrowed.tokens);
    if (amount <= 0) continue;
    borrowed.tokens -= amount;
    remaining -= amount;
    onDeducted({ tokens: amount, loan: borrowed.loan });
  }
  return remaining;
}
