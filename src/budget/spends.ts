/**
 * What recent takes of one key were paid with: own tokens or borrowed ones.
 *
 * Promise: a refund goes back to where its token came from, and each take is
 * refunded at most once. A borrowed token returns to its loan only while the
 * loan lasts and its lender was not told that it is spent; otherwise it is
 * lost. Takes are told apart by their time only: a refund that names the time
 * right after its take finds that take, or one between the two, which makes no
 * difference to any window.
 */
import * as Borrowed from "./borrowed.ts";
import type * as Allocations from "./allocations.ts";

/** A refund of an older take is lost at an instance that has spent loans. */
const MAX_SPENDS = 512;
const DROPPED_AT_ONCE = 128;

/** One take that may still be refunded. */
export interface Spend {
  /** Monotonic ms. */
  readonly atMs: number;
  own: number;
  readonly parts: Borrowed.BorrowedTokens[];
}

/** Takes from loans first, then from the own bucket; false when both are short. */
export function trySpend(
  state: Allocations.KeyState,
  tokens: number,
  nowMs: number,
): boolean {
  const borrowed = Math.min(tokens, Borrowed.sumBorrowed(state, nowMs));
  const own = tokens - borrowed;
  if (own > 0 && !state.bucket.tryTake(own, nowMs)) return false;
  const parts = borrowed > 0 ? Borrowed.spendBorrowed(state, borrowed) : [];
  if (parts.length > 0) state.hasSpentLoans = true;
  state.spends.push({ atMs: nowMs, own, parts });
  if (state.spends.length > MAX_SPENDS) state.spends.splice(0, DROPPED_AT_ONCE);
  return true;
}

/** Returns tokens of a take; `takenAtMs` was read right after it. */
export function refund(
  state: Allocations.KeyState,
  tokens: number,
  nowMs: number,
  takenAtMs?: number,
): void {
  if (takenAtMs === undefined) return refundNewest(state, tokens, nowMs);
  const spend = state.spends.findLast((one) =>
    one.atMs <= takenAtMs && getAmount(one) > 0
  );
  if (spend !== undefined) return refundOne(state, spend, tokens, nowMs);
  // No longer listed; it was paid from the own bucket if no loan was ever spent.
  if (state.hasSpentLoans) return;
  state.bucket.giveBack(tokens, nowMs, takenAtMs);
}

function getAmount(spend: Spend): number {
  return spend.parts.reduce((sum, { tokens }) => sum + tokens, spend.own);
}

function refundOne(
  state: Allocations.KeyState,
  spend: Spend,
  tokens: number,
  nowMs: number,
): void {
  const left = takeParts(spend, tokens, (part) => {
    Borrowed.returnTokens(state, part, nowMs);
  });
  const own = Math.min(left, spend.own);
  spend.own -= own;
  if (own > 0) state.bucket.giveBack(own, nowMs, spend.atMs);
}

/** Without the time of the take borrowed tokens are lost, and own ones count as the oldest. */
function refundNewest(
  state: Allocations.KeyState,
  tokens: number,
  nowMs: number,
): void {
  let left = tokens;
  let own = 0;
  for (let i = state.spends.length - 1; i >= 0 && left > 0; i--) {
    const spend = state.spends[i]!;
    left = takeParts(spend, left, () => {});
    const part = Math.min(left, spend.own);
    spend.own -= part;
    own += part;
    left -= part;
  }
  if (own > 0) state.bucket.giveBack(own, nowMs);
}

/** Takes up to `tokens` of the borrowed parts; gives what is left to take. */
function takeParts(
  spend: Spend,
  tokens: number,
  onPart: (part: Borrowed.BorrowedTokens) => void,
): number {
  let left = tokens;
  for (const part of spend.parts) {
    const taken = Math.min(left, part.tokens);
    if (taken <= 0) continue;
    part.tokens -= taken;
    left -= taken;
    onPart({ tokens: taken, loan: part.loan });
  }
  return left;
}
