/**
 * Borrowed tokens of one key at the borrower. They are spent before own ones,
 * because they expire, and never outlive their loan.
 */
import type * as Types from "../types.ts";
import type * as Allocations from "./allocations.ts";
import type * as Messages from "./messages.ts";

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
  for (const part of borrowed) sum += part.tokens;
  return sum;
}

/** Spends unexpired tokens, the soonest to expire first; gives what was spent. */
export function spendBorrowed(
  state: Allocations.KeyState,
  tokens: number,
): BorrowedTokens[] {
  const { borrowed } = state;
  const parts: BorrowedTokens[] = [];
  let left = tokens;
  while (left > 0 && borrowed.length > 0) {
    const first = borrowed[0]!;
    const part = Math.min(left, first.tokens);
    parts.push({ tokens: part, loan: first.loan });
    first.loan.spent += part;
    first.tokens -= part;
    left -= part;
    if (first.tokens <= 0) borrowed.shift();
  }
  return parts;
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
 * Takes the reports due to a lender. What a report covers is not refunded to
 * its loan any more, because the lender lets its bucket refill for it.
 */
export function takeReports(
  state: Allocations.KeyState,
  lender: Types.InstanceId,
  nowMs: number,
): readonly Loan[] {
  const live = state.loans.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
  state.loans.splice(0, state.loans.length, ...live);
  const due = live.filter((loan) =>
    loan.lender === lender && loan.spent > loan.confirmed
  ).slice(0, MAX_REPORTS);
  for (const loan of due) loan.reported = loan.spent;
  return due;
}

/** The wire form of reports. */
export function formatReports(
  loans: readonly Loan[],
): readonly Messages.SpentReport[] {
  return loans.map(({ id, reported }) => ({ loanId: id, tokens: reported }));
}

/** Returns spent tokens to their loan unless it has ended or its lender was told of them. */
export function returnTokens(
  state: Allocations.KeyState,
  part: BorrowedTokens,
  nowMs: number,
): void {
  const { loan } = part;
  const tokens = Math.min(part.tokens, loan.spent - loan.reported);
  if (loan.expiresAtMs <= nowMs || tokens <= 0) return;
  loan.spent -= tokens;
  addBorrowed(state, tokens, loan);
}
