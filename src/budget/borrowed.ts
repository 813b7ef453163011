/**
 * Borrowed tokens of one key at the borrower. They are spent before own ones,
 * because they expire, and never outlive their loan.
 */
import type * as Types from "../types.ts";
import type * as Holdings from "./holdings.ts";
import type * as Messages from "./messages.ts";

/** Spent parts remembered for refunds; older ones have expired. */
const MAX_SPENT = 256;
/** Reports in one request; a steady flow has fewer loans from one lender. */
const MAX_REPORTS = 16;

/** A loan at its borrower. */
export interface Loan {
  readonly id: string;
  readonly lender: Types.InstanceId;
  /** Monotonic ms. */
  readonly expiresAtMs: number;
  /** Tokens spent of it. */
  spent: number;
  /** Tokens of `spent` that the lender may have heard of. */
  reported: number;
  /** Tokens of `spent` that the lender has confirmed to have heard of. */
  confirmed: number;
}

/** Borrowed tokens, spendable before their loan expires. */
export interface BorrowedTokens {
  tokens: number;
  readonly loan: Loan;
}

/** Drops what expired and sums the rest. */
export function sumBorrowed(state: Holdings.KeyState, nowMs: number): number {
  const { borrowed } = state;
  if (borrowed.length === 0) return 0;
  while (borrowed.length > 0 && borrowed[0]!.loan.expiresAtMs <= nowMs) {
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
    spentBorrowed.push({ tokens: part, loan: first.loan });
    first.loan.spent += part;
    first.tokens -= part;
    left -= part;
    if (first.tokens <= 0) borrowed.shift();
  }
  if (spentBorrowed.length > MAX_SPENT) spentBorrowed.splice(0, MAX_SPENT / 2);
}

/** Adds tokens of a loan. */
export function addBorrowed(
  state: Holdings.KeyState,
  tokens: number,
  loan: Loan,
): void {
  state.borrowed.push({ tokens, loan });
  state.borrowed.sort((a, b) => a.loan.expiresAtMs - b.loan.expiresAtMs);
}

/**
 * Takes the reports due to a lender. What a report covers is not refunded to
 * its loan any more, because the lender lets its bucket refill for it.
 */
export function takeReports(
  state: Holdings.KeyState,
  lender: Types.InstanceId,
  nowMs: number,
): readonly Loan[] {
  const due = new Set<Loan>();
  for (const { loan } of state.spentBorrowed) {
    const isDue = loan.lender === lender && loan.expiresAtMs > nowMs &&
      loan.spent > loan.confirmed;
    if (isDue && due.size < MAX_REPORTS) due.add(loan);
  }
  for (const loan of due) loan.reported = loan.spent;
  return [...due];
}

/** The wire form of reports. */
export function formatReports(
  loans: readonly Loan[],
): readonly Messages.SpentReport[] {
  return loans.map(({ id, reported }) => ({ loanId: id, tokens: reported }));
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
    const { loan } = spent;
    const unreported = Math.min(part, loan.spent - loan.reported);
    if (isCertain && loan.expiresAtMs > nowMs && unreported > 0) {
      loan.spent -= unreported;
      addBorrowed(state, unreported, loan);
    }
    spent.tokens -= part;
    left -= part;
    if (spent.tokens <= 0) spentBorrowed.pop();
  }
  return left;
}
