/**
 * Taking tokens from the own buckets and from loans of peers.
 *
 * Promise: a token is spendable in one place at a time. The lender removes it
 * and lowers its capacity for the loan's time (at most `LOAN_MS`) from when it
 * answers; the borrower spends it only within that time from when it asked,
 * which ends earlier. A lost or late message loses the token for that time. It breaks when one clock
 * runs faster than another by more than `EXPIRY_MARGIN_MS` per loan.
 */
import { Ok, type Result } from "ts-results-es";
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Borrowed from "./borrowed.ts";
import type * as Allocations from "./allocations.ts";
import type * as Lenders from "./lenders.ts";
import * as Line from "./line.ts";
import * as Lending from "./lending.ts";
import * as LoanPlan from "./loan_plan.ts";
import * as Messages from "./messages.ts";
import * as Spends from "./spends.ts";

/** Subtracted from a loan at the borrower for differences in clock speed. */
const EXPIRY_MARGIN_MS = 20;
/** Several times the round trip between regions (110 ms). */
const BORROW_TIMEOUT_MS = 400;
/** After this, other lenders are asked as well; above one round trip between regions. */
const HEDGE_MS = 150;
const BACKOFF_MIN_MS = 50;
const BACKOFF_MAX_MS = 1_000;
/** After an attempt that fell short tokens count as scarce for this long. */
const SCARCE_MS = 5_000;

/** What loans need of their surroundings. */
export interface LoansDeps {
  readonly peers: Contracts.PeerNet;
  readonly clock: Clock.Clock;
  readonly sleep: (ms: number) => Promise<void>;
  readonly random: () => number;
  readonly holdings: Allocations.Holdings;
  readonly lenders: Lenders.Lenders;
  readonly isValid: () => boolean;
}

/** Counts since start. */
export interface LoanStats {
  readonly asked: number;
  readonly borrowedTokens: number;
  readonly lentTokens: number;
}

/** Takes and loans; same calls as `Contracts.Budgets`. */
export interface Loans {
  tryTake(key: Contracts.BudgetKey, tokens: number): boolean;
  take(
    key: Contracts.BudgetKey,
    tokens: number,
    waitMs: number,
  ): Promise<Result<void, ResultCodes.Failure>>;
  giveBack(key: Contracts.BudgetKey, tokens: number, takenAtMs?: number): void;
  retake(key: Contracts.BudgetKey, tokens: number, takenAtMs: number): boolean;
  /** Own and borrowed tokens at hand. */
  getTokens(key: Contracts.BudgetKey): number;
  /** True while the last attempt to borrow fell short and was not long ago. */
  isScarce(key: Contracts.BudgetKey): boolean;
  getStats(): LoanStats;
  /** Refuses everybody who waits. */
  stop(): void;
}

/** Creates loans and handles `budget.borrow`. */
export function createLoans(deps: LoansDeps): Loans {
  const { clock, holdings, isValid, lenders, peers } = deps;
  const lines = new Map<Contracts.BudgetKey, Line.Line>();
  let isStopped = false;
  let asked = 0;
  let borrowedTokens = 0;

  const spend = (state: Allocations.KeyState, tokens: number) =>
    Spends.trySpend(state, tokens, clock.nowMs());

  function tryTake(key: Contracts.BudgetKey, tokens: number): boolean {
    const state = holdings.tryGet(key);
    if (state === undefined || !isValid()) return false;
    // Those who wait come first, or a steady flow of newcomers starves them.
    const line = lines.get(key);
    if (line !== undefined && line.waiters.length > 0) return false;
    if (!spend(state, tokens)) return false;
    state.demand.count(tokens, clock.nowMs());
    return true;
  }

  function getOrCreateLine(state: Allocations.KeyState): Line.Line {
    const known = lines.get(state.key);
    if (known !== undefined) return known;
    const line = Line.createLine(state);
    lines.set(state.key, line);
    return line;
  }

  function take(
    key: Contracts.BudgetKey,
    tokens: number,
    waitMs: number,
  ): Promise<Line.TakeResult> {
    if (tryTake(key, tokens)) return Promise.resolve(Ok(undefined));
    if (!isValid()) return Promise.resolve(ResultCodes.fail("notHolding"));
    const state = holdings.tryGet(key);
    if (state === undefined || isStopped) {
      return Promise.resolve(Line.refuse(key));
    }
    state.demand.count(tokens, clock.nowMs());
    const line = getOrCreateLine(state);
    return new Promise((resolve) => {
      const deadlineMs = clock.nowMs() + waitMs;
      line.waiters.push({ tokens, deadlineMs, resolve });
      pump(line);
    });
  }

  /** Serves in order of arrival, as far as the tokens go. */
  function serve(line: Line.Line): void {
    while (line.waiters.length > 0 && isValid()) {
      const first = line.waiters[0]!;
      if (first.deadlineMs < clock.nowMs()) {
        line.waiters.shift();
        first.resolve(Line.refuse(line.state.key));
        continue;
      }
      if (!spend(line.state, first.tokens)) break;
      line.waiters.shift();
      first.resolve(Ok(undefined));
    }
  }

  function pump(line: Line.Line): void {
    serve(line);
    if (line.waiters.length === 0) return;
    if (!line.isBorrowing && line.borrowAfterMs <= clock.nowMs()) {
      void borrow(line);
    }
    Line.refuseHopeless(line, clock.nowMs());
    scheduleWake(line);
  }

  function scheduleWake(line: Line.Line): void {
    const first = line.waiters[0];
    if (first === undefined) return;
    let atMs = Math.min(
      first.deadlineMs,
      Line.getRefillAtMs(line, first.tokens, clock.nowMs()),
    );
    if (!line.isBorrowing) atMs = Math.min(atMs, line.borrowAfterMs);
    // Timers are coarse; a sooner wake-up that is already set is enough.
    atMs = Math.max(atMs, clock.nowMs() + 1);
    if (atMs >= line.wakeAtMs) return;
    line.wakeAtMs = atMs;
    void deps.sleep(Math.ceil(atMs - clock.nowMs())).then(() => {
      if (line.wakeAtMs !== atMs) return;
      line.wakeAtMs = Infinity;
      pump(line);
    });
  }

  function planAhead(line: Line.Line): LoanPlan.Prefetch {
    const { bucket, demand, key } = line.state;
    const now = clock.nowMs();
    const shortRate = demand.getRate(now) - bucket.getLimits().rate;
    const isScarce = line.scarceUntilMs > now;
    return LoanPlan.planPrefetch(shortRate, isScarce, lenders.getBurst(key));
  }

  async function borrow(line: Line.Line): Promise<void> {
    line.isBorrowing = true;
    const { key } = line.state;
    const done = new Set<Types.InstanceId>();
    const pending = new Set<Promise<void>>();
    const ahead = planAhead(line);
    const borrowedBefore = line.borrowedTokens;
    while (Line.getMissing(line, clock.nowMs()) > 0 && !isStopped) {
      const need = line.waiters[0]!.tokens -
        Line.getHeld(line.state, clock.nowMs());
      const want = Line.getMissing(line, clock.nowMs()) + ahead.tokens;
      const wave = lenders.choose(key, need, want, done);
      const leastMs = Math.max(line.backoffMs, ahead.loanMs);
      const loanMs = LoanPlan.getLoanMs(need, wave, leastMs);
      const calls: Promise<void>[] = [];
      for (const ask of wave) {
        done.add(ask.id);
        const call = askLender(line, ask, loanMs).then(() => {
          pending.delete(call);
        });
        pending.add(call);
        calls.push(call);
      }
      if (pending.size === 0) break;
      // Without anybody else to ask, only the answers still out can help.
      await (wave.length === 0
        ? Promise.all(pending)
        : Promise.race([Promise.all(calls), deps.sleep(HEDGE_MS)]));
    }
    finishBorrow(line, borrowedBefore);
  }

  function finishBorrow(line: Line.Line, borrowedBefore: number): void {
    line.isBorrowing = false;
    if (line.borrowedTokens > borrowedBefore) line.backoffMs = 0;
    const first = line.waiters[0];
    if (first === undefined) return;
    line.scarceUntilMs = clock.nowMs() + SCARCE_MS;
    const next = Math.max(BACKOFF_MIN_MS, line.backoffMs * 2);
    line.backoffMs = Math.min(next, BACKOFF_MAX_MS);
    const need = first.tokens - Line.getHeld(line.state, clock.nowMs());
    const retryMs = lenders.getRetryMs(line.state.key, need);
    // Jitter keeps instances that ran dry together from asking together.
    const waitMs = Math.max(line.backoffMs, retryMs, 1);
    line.borrowAfterMs = clock.nowMs() + waitMs * (0.5 + deps.random() / 2);
    pump(line);
  }

  async function askLender(
    line: Line.Line,
    ask: Lenders.Ask,
    loanMs: number,
  ): Promise<void> {
    const { key } = line.state;
    const sentAtMs = clock.nowMs();
    const reports = Borrowed.takeReports(line.state, ask.id, sentAtMs);
    const loanId = `${peers.incarnation}-${asked}`;
    const params: Messages.BorrowRequest = {
      key,
      want: ask.want,
      loanMs,
      loanId,
      spent: Borrowed.formatReports(reports),
    };
    asked++;
    const method = Messages.METHODS.borrow;
    const result = await peers.call(ask.id, method, params, BORROW_TIMEOUT_MS);
    if (result.isErr()) return lenders.noteSilence(ask.id);
    params.spent.forEach(({ tokens }, i) => reports[i]!.confirmed = tokens);
    const answer = Messages.tryReadBorrowAnswer(result.value);
    if (answer === undefined) return lenders.noteSilence(ask.id);
    lenders.noteAnswer(key, ask.id, answer, clock.nowMs() - sentAtMs);
    if (answer.granted <= 0) return;
    borrowedTokens += answer.granted;
    line.borrowedTokens += answer.granted;
    const loan: Borrowed.Loan = {
      id: loanId,
      lender: ask.id,
      expiresAtMs: sentAtMs + loanMs - EXPIRY_MARGIN_MS,
      spent: 0,
      reported: 0,
      confirmed: 0,
    };
    line.state.loans.push(loan);
    Borrowed.addBorrowed(line.state, answer.granted, loan);
    serve(line);
  }

  function giveBack(
    key: Contracts.BudgetKey,
    tokens: number,
    takenAtMs?: number,
  ): void {
    const state = holdings.tryGet(key);
    if (state === undefined || !isValid()) return;
    Spends.refund(state, tokens, clock.nowMs(), takenAtMs);
    const line = lines.get(key);
    if (line !== undefined) pump(line);
  }

  function retake(
    key: Contracts.BudgetKey,
    tokens: number,
    takenAtMs: number,
  ): boolean {
    const state = holdings.tryGet(key);
    if (state === undefined || !isValid()) return false;
    Spends.refund(state, tokens, clock.nowMs(), takenAtMs);
    // Before those in line: this request had its tokens first.
    return spend(state, tokens);
  }

  const getLentTokens = Lending.createLending({
    ...deps,
    hasWaiters: (key) => (lines.get(key)?.waiters.length ?? 0) > 0,
  });

  return {
    tryTake,
    take,
    giveBack,
    retake,
    getTokens(key) {
      const state = holdings.tryGet(key);
      return state === undefined ? 0 : Line.getHeld(state, clock.nowMs());
    },
    isScarce(key) {
      return (lines.get(key)?.scarceUntilMs ?? 0) > clock.nowMs();
    },
    getStats: () => ({
      asked,
      borrowedTokens,
      lentTokens: getLentTokens(),
    }),
    stop() {
      isStopped = true;
      for (const line of lines.values()) {
        for (const { resolve } of line.waiters) {
          resolve(Line.refuse(line.state.key));
        }
        line.waiters = [];
      }
    },
  };
}
