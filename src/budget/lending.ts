/**
 * The lender's side of loans.
 *
 * Promise: what is lent has left the bucket, and its capacity stays lower until
 * the loan's time has passed since the answer, or the borrower has reported the
 * tokens as spent. Nothing is lent while the own right to spend is not
 * confirmed, nor while own callers wait.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as Allocations from "./allocations.ts";
import * as Messages from "./messages.ts";

/** What a lender keeps of its own recent demand, in seconds of it. */
const RESERVE_S = 0.1;
/** Above this part of its rate in use, a lender keeps a whole token. */
const BUSY_FRACTION = 0.75;
/**
 * Part of its burst that a lender with callers of its own keeps as capacity.
 * A bucket refills only up to its capacity: below one token its own callers
 * are refused until the loan ends, however high its rate is.
 */
const KEPT_BURST_FRACTION = 0.5;

/** What lending needs of its surroundings. */
export interface LendingDeps {
  readonly peers: Contracts.PeerNet;
  readonly clock: Clock.Clock;
  readonly holdings: Allocations.Holdings;
  readonly isValid: () => boolean;
  readonly hasWaiters: (key: Contracts.BudgetKey) => boolean;
}

/** A loan at its lender. */
interface GrantedLoan {
  readonly key: Contracts.BudgetKey;
  readonly tokens: number;
  readonly untilMs: number;
  /** Tokens reported as spent. */
  settled: number;
}

/** Handles `budget.borrow`; gives a function for the tokens lent since start. */
export function createLending(deps: LendingDeps): () => number {
  const { clock, holdings, isValid } = deps;
  let lentTokens = 0;
  /** By borrower and loan id, oldest first. */
  const granted = new Map<string, GrantedLoan>();

  function dropExpired(nowMs: number): void {
    for (const [name, loan] of granted) {
      // Loans last at most LOAN_MS, so none that started later is older.
      if (loan.untilMs > nowMs) break;
      granted.delete(name);
    }
  }

  function settle(
    state: Allocations.KeyState,
    from: Types.InstanceId,
    report: Messages.SpentReport,
    nowMs: number,
  ): void {
    const loan = granted.get(`${from} ${report.loanId}`);
    if (loan === undefined || loan.key !== state.key) return;
    if (loan.untilMs <= nowMs) return;
    const spent = Math.min(report.tokens, loan.tokens);
    if (spent <= loan.settled) return;
    state.bucket.settleLoan(spent - loan.settled, loan.untilMs, nowMs);
    loan.settled = spent;
  }

  function lend(
    req: Messages.BorrowRequest,
    from: Types.InstanceId,
  ): Messages.BorrowAnswer {
    const nothing = { granted: 0, left: 0, spareRate: 0 };
    const state = holdings.tryGet(req.key);
    if (state === undefined || !isValid()) return nothing;
    const now = clock.nowMs();
    dropExpired(now);
    for (const report of req.spent) settle(state, from, report, now);
    const { rate } = state.bucket.getLimits();
    const spareRate = Math.max(0, rate - state.demand.getRate(now));
    const free = getLendable(state, req.loanMs, now);
    if (deps.hasWaiters(req.key) || free <= 0) return { ...nothing, spareRate };
    const tokens = Math.min(free, req.want);
    const untilMs = now + Math.min(req.loanMs, Allocations.LOAN_MS);
    if (!state.bucket.tryLend(tokens, untilMs, now)) return nothing;
    lentTokens += tokens;
    const loan = { key: req.key, tokens, untilMs, settled: 0 };
    if (req.loanId !== "") granted.set(`${from} ${req.loanId}`, loan);
    return { granted: tokens, left: free - tokens, spareRate };
  }

  deps.peers.handle(Messages.METHODS.borrow, (params, from) => {
    const req = Messages.tryReadBorrow(params);
    if (req === undefined) throw new Error("malformed budget.borrow");
    return lend(req, from);
  });
  return () => lentTokens;
}

function getLendable(
  state: Allocations.KeyState,
  loanMs: number,
  nowMs: number,
): number {
  const { bucket, demand } = state;
  const free = bucket.getLevel(nowMs) - getReserve(state, nowMs);
  const ownUse = demand.getRate(nowMs) * loanMs / 1_000;
  // Until the loan ends the own callers will probably not need a token.
  if (ownUse < 1) return free;
  const kept = Math.max(1, bucket.getLimits().burst * KEPT_BURST_FRACTION);
  return Math.min(free, bucket.getCapacity(nowMs) - kept);
}

/** What the own callers will probably need before the bucket refills. */
function getReserve(state: Allocations.KeyState, nowMs: number): number {
  const demand = state.demand.getRate(nowMs);
  const busyRate = BUSY_FRACTION * state.bucket.getLimits().rate;
  const isBusy = demand > 0 && demand >= busyRate;
  return Math.max(isBusy ? 1 : 0, demand * RESERVE_S);
}
