/**
 * Borrowed tokens of one key at the borrower. They are spent before local
 * tokens, because they expire, and are never spent after their loan expires.
 */
import type * as Types from "../types.ts";
import type * as Allocations from "./allocations.ts";
import type * as Messages from "./messages.ts";

/** Most reports in one request; a steady flow has fewer loans from one lender. */
const MAX_REPORTS = 16;

/** A loan at its borrower. */
export interface Loan {
  readonly id: string;
  readonly lender: Types.InstanceId;
  /** Monotonic ms. */
  readonly expiresAtMs: number;
  /** Tokens of the loan that were spent. */
  spent: number;
  /** Tokens of `spent` that were reported to the lender, which may not have received the report. */
  reported: number;
  /** Tokens of `spent` whose report the lender has acknowledged. */
  confirmed: number;
}

/** Borrowed tokens, spendable before their loan expires. */
export interface BorrowedTokens {
  tokens: number;
  readonly loan: Loan;
}

/** Drops expired tokens and returns the sum of the remaining ones. */
export function sumBorrowed(
  state: Allocations.KeyState,
  nowMs: number,
): number {
  const { borrowed } = state;
  if (borrowed.length === 0) return 0;
  while (borrowed.length > 0 && borrowed[0]!.loan.expiresAtMs <= nowMs) {
    borrowed.shift();
  }
  let sum = 0;
  for (const entry of borrowed) sum += entry.tokens;
  return sum;
}

/** Spends unexpired tokens, the soonest to expire first; returns the spent tokens by loan. */
export function spendBorrowed(
  state: Allocations.KeyState,
  tokens: number,
): BorrowedTokens[] {
  const { borrowed } = state;
  const spentByLoan: BorrowedTokens[] = [];
  let remaining = tokens;
  while (remaining > 0 && borrowed.length > 0) {
    const soonest = borrowed[0]!;
    const amount = Math.min(remaining, soonest.tokens);
    spentByLoan.push({ tokens: amount, loan: soonest.loan });
    soonest.loan.spent += amount;
    soonest.tokens -= amount;
    remaining -= amount;
    if (soonest.tokens <= 0) borrowed.shift();
  }
  return spentByLoan;
}

/** Adds tokens of a loan. */
export function addBorrowed(
  state: Allocations.KeyState,
  tokens: number,
  loan: Loan,
): void {
  state.borrowed.push({ tokens, loan });
  state.borrowed.sort((a, b) => a.loan.expiresAtMs - b.loan.expiresAtMs);
}

/**
 * Collects the loans whose spent tokens are due to be reported to a lender.
 * Reported tokens are no longer refunded to their loan, because the lender
 * lets its bucket refill for them.
 */
export function collectReports(
  state: Allocations.KeyState,
  lender: Types.InstanceId,
  nowMs: number,
): readonly Loan[] {
  const liveLoans = state.loans.filter(({ expiresAtMs }) =>
    expiresAtMs > nowMs
  );
  state.loans.splice(0, state.loans.length, ...liveLoans);
  const dueLoans = liveLoans.filter((loan) =>
    loan.lender === lender && loan.spent > loan.confirmed
  ).slice(0, MAX_REPORTS);
  for (const loan of dueLoans) loan.reported = loan.spent;
  return dueLoans;
}

/** Returns the reports in the form of the message. */
export function formatReports(
  loans: readonly Loan[],
): readonly Messages.SpentReport[] {
  return loans.map(({ id, reported }) => ({ loanId: id, tokens: reported }));
}

/** Refunds spent tokens to their loan unless it has expired or they were reported to the lender. */
export function refundBorrowed(
  state: Allocations.KeyState,
  borrowed: BorrowedTokens,
  nowMs: number,
): void {
  const { loan } = borrowed;
  const tokens = Math.min(borrowed.tokens, loan.spent - loan.reported);
  if (loan.expiresAtMs <= nowMs || tokens <= 0) return;
  loan.spent -= tokens;
  addBorrowed(state, tokens, loan);
}
