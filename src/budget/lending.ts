/**
 * The lender's side of loans.
 *
 * Guarantee: lent tokens have left the bucket, and its capacity stays lower until
 * the loan's time has passed since the response, or until the borrower has
 * reported the tokens as spent. Nothing is lent while this instance's right to
 * spend is not confirmed, nor while local callers wait.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as Allocations from "./allocations.ts";
import * as Messages from "./messages.ts";

/** Seconds of its recent local demand that a lender reserves. */
const RESERVE_S = 0.1;
/** A lender whose local demand is at least this fraction of its rate reserves a whole token. */
const BUSY_FRACTION = 0.75;
/**
 * Fraction of its burst that a lender with local callers keeps as capacity.
 * A bucket refills only up to its capacity: below one token, local callers
 * are rejected until the loan ends, however high the rate is.
 */
const KEPT_BURST_FRACTION = 0.5;

/** Dependencies of lending. */
export interface LendingDeps {
  readonly peers: Contracts.PeerNet;
  readonly clock: Clock.Clock;
  readonly allocations: Allocations.Allocations;
  readonly isValid: () => boolean;
  readonly hasWaiters: (key: Contracts.BudgetKey) => boolean;
}

/** A loan at its lender. */
interface GrantedLoan {
  readonly key: Contracts.BudgetKey;
  readonly tokens: number;
  readonly untilMs: number;
  /** Tokens that the borrower reported as spent. */
  settledTokens: number;
}

/** Handles `budget.borrow`; returns a function that returns the number of tokens lent since the start. */
export function createLending(deps: LendingDeps): () => number {
  const { clock, allocations, isValid } = deps;
  let lentTokens = 0;
  /** Loans by borrower and loan id, oldest first. */
  const grantedLoans = new Map<string, GrantedLoan>();

  function dropExpired(nowMs: number): void {
    for (const [loanKey, loan] of grantedLoans) {
      // Stopping early is safe: no loan lasts longer than LOAN_MS, so a later
      // one that has expired is dropped soon.
      if (loan.untilMs > nowMs) break;
      grantedLoans.delete(loanKey);
    }
  }

  function settle(
    state: Allocations.KeyState,
    borrower: Types.InstanceId,
    report: Messages.SpentReport,
    nowMs: number,
  ): void {
    const loan = grantedLoans.get(`${borrower} ${report.loanId}`);
    if (loan === undefined || loan.key !== state.key) return;
    if (loan.untilMs <= nowMs) return;
    const spent = Math.min(report.tokens, loan.tokens);
    if (spent <= loan.settledTokens) return;
    state.bucket.settleLoan(spent - loan.settledTokens, loan.untilMs, nowMs);
    loan.settledTokens = spent;
  }

  function lend(
    req: Messages.BorrowRequest,
    borrower: Types.InstanceId,
  ): Messages.BorrowResponse {
    const noGrant = { granted: 0, left: 0, spareRate: 0 };
    const state = allocations.tryGet(req.key);
    if (state === undefined || !isValid()) return noGrant;
    const now = clock.nowMs();
    dropExpired(now);
    for (const report of req.spent) settle(state, borrower, report, now);
    const { rate } = state.bucket.getLimits();
    const spareRate = Math.max(0, rate - state.demand.getRate(now));
    const free = getLendable(state, req.loanMs, now);
    if (deps.hasWaiters(req.key) || free <= 0) return { ...noGrant, spareRate };
    const tokens = Math.min(free, req.want);
    const untilMs = now + Math.min(req.loanMs, Allocations.LOAN_MS);
    if (!state.bucket.tryLend(tokens, untilMs, now)) return noGrant;
    lentTokens += tokens;
    const loan = { key: req.key, tokens, untilMs, settledTokens: 0 };
    if (req.loanId !== "") grantedLoans.set(`${borrower} ${req.loanId}`, loan);
    return { granted: tokens, left: free - tokens, spareRate };
  }

  deps.peers.handle(Messages.METHODS.borrow, (params, borrower) => {
    const req = Messages.tryReadBorrow(params);
    if (req === undefined) throw new Error("malformed budget.borrow");
    return lend(req, borrower);
  });
  return () => lentTokens;
}

function getLendable(
  state: Allocations.KeyState,
  loanMs: number,
  nowMs: number,
): number {
  const { bucket, demand } = state;
  const unreserved = bucket.getLevel(nowMs) - getReserve(state, nowMs);
  const localUse = demand.getRate(nowMs) * loanMs / 1_000;
  // Local callers will probably not need a token before the loan ends.
  if (localUse < 1) return unreserved;
  const keptTokens = Math.max(
    1,
    bucket.getLimits().burst * KEPT_BURST_FRACTION,
  );
  return Math.min(unreserved, bucket.getCapacity(nowMs) - keptTokens);
}

/** Returns the tokens that local callers will probably need before the bucket refills. */
function getReserve(state: Allocations.KeyState, nowMs: number): number {
  const demand = state.demand.getRate(nowMs);
  const busyRate = BUSY_FRACTION * state.bucket.getLimits().rate;
  const isBusy = demand > 0 && demand >= busyRate;
  return Math.max(isBusy ? 1 : 0, demand * RESERVE_S);
}
