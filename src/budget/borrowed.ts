/**
 * Borrowed tokens of one key at the borrower. They are spent before own ones,
 * because they expire, and never outlive their loan.
 */
import type * as Holdings from "./holdings.ts";

/** Spent parts remembered for refunds; older ones have expired. */
const MAX_SPENT = 256;

/** Drops what expired and sums the rest. */
export function sumBorrowed(state: Holdings.KeyState, nowMs: number): number {
  const { borrowed } = state;
  if (borrowed.length === 0) return 0;
  while (borrowed.length > 0 && borrowed[0]!.expiresAtMs <= nowMs) {
    borrowed.shift();
  }
  let sum = 0;
  for (const part of borrowed) sum += part.tokens;
  return sum;
}

/** Spends unexpired tokens, the soonest to expire first. */
export function spendBorrowed(state: Holdings.KeyState, tokens: number): void {
  const { borrowed, spentBorrowed } = state;
  let left = tokens;
  while (left > 0 && borrowed.length > 0) {
    const first = borrowed[0]!;
    const part = Math.min(left, first.tokens);
    spentBorrowed.push({ tokens: part, expiresAtMs: first.expiresAtMs });
    first.tokens -= part;
    left -= part;
    if (first.tokens <= 0) borrowed.shift();
  }
  if (spentBorrowed.length > MAX_SPENT) spentBorrowed.splice(0, MAX_SPENT / 2);
}

/** Adds a loan. */
export function addBorrowed(
  state: Holdings.KeyState,
  tokens: number,
  expiresAtMs: number,
): void {
  state.borrowed.push({ tokens, expiresAtMs });
  state.borrowed.sort((a, b) => a.expiresAtMs - b.expiresAtMs);
}

/**
 * Refunds borrowed tokens to their loan, and only when it is certain that they
 * were the ones taken; otherwise they count as lost. Gives what is left to
 * refund to the own bucket.
 */
export function refundBorrowed(
  state: Holdings.KeyState,
  tokens: number,
  nowMs: number,
): number {
  const { spentBorrowed } = state;
  const isCertain = !state.bucket.hasRecentTakes(nowMs);
  let left = tokens;
  while (left > 0 && spentBorrowed.length > 0) {
    const spent = spentBorrowed[spentBorrowed.length - 1]!;
    const part = Math.min(left, spent.tokens);
    if (isCertain && spent.expiresAtMs > nowMs) {
      addBorrowed(state, part, spent.expiresAtMs);
    }
    spent.tokens -= part;
    left -= part;
    if (spent.tokens <= 0) spentBorrowed.pop();
  }
  return left;
}
