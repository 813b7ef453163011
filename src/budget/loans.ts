/**
 * Acquires tokens from the local buckets and from loans by peers.
 *
 * Guarantee: a token is spendable at one instance at a time. The lender removes
 * it and lowers its own capacity for the time of the loan (at most `LOAN_MS`),
 * counted from its response. The borrower counts the same time from its request,
 * so its right to spend ends earlier. A lost or late message makes the token
 * unusable for that time. The guarantee fails when the clocks of two instances
 * differ in speed by more than `EXPIRY_MARGIN_MS` per loan.
 */
import { Ok, type Result } from "ts-results-es";
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Borrowed from "./borrowed.ts";
import type * as Allocations from "./allocations.ts";
import type * as Lenders from "./lenders.ts";
import * as WaitQueue from "./wait_queue.ts";
import * as Lending from "./lending.ts";
import * as LoanPlan from "./loan_plan.ts";
import * as Messages from "./messages.ts";
import * as Acquisitions from "./acquisitions.ts";

/** Subtracted from a loan's time at the borrower, for differences in clock speed. */
const EXPIRY_MARGIN_MS = 20;
/** Timeout of one request; several times the round trip between regions (110 ms). */
const BORROW_TIMEOUT_MS = 400;
/** Delay before further lenders get a request as well; longer than one round trip between regions. */
const HEDGE_DELAY_MS = 150;
const BACKOFF_MIN_MS = 50;
const BACKOFF_MAX_MS = 1_000;
/** Tokens count as scarce for this long after borrowing fell short of the need. */
const SCARCE_MS = 5_000;

/** Dependencies of the loans. */
export interface LoansDeps {
  readonly peers: Contracts.PeerNet;
  readonly clock: Clock.Clock;
  readonly sleep: (ms: number) => Promise<void>;
  readonly random: () => number;
  readonly allocations: Allocations.Allocations;
  readonly lenders: Lenders.Lenders;
  readonly isValid: () => boolean;
}

/** Counts since the start. */
export interface LoanStats {
  /** Borrow requests sent. */
  readonly requests: number;
  readonly borrowedTokens: number;
  readonly lentTokens: number;
}

/** Acquisitions and loans; the same calls as in `Contracts.Budgets`. */
export interface Loans {
  /** Acquires tokens that are available now; false when there are too few. */
  tryAcquire(key: Contracts.BudgetKey, tokens: number): boolean;
  acquire(
    key: Contracts.BudgetKey,
    tokens: number,
    waitMs: number,
  ): Promise<Result<void, ResultCodes.Failure>>;
  refund(key: Contracts.BudgetKey, tokens: number, acquiredAtMs?: number): void;
  reacquire(
    key: Contracts.BudgetKey,
    tokens: number,
    acquiredAtMs: number,
  ): boolean;
  /** Returns the local and borrowed tokens available now. */
  getAvailableTokens(key: Contracts.BudgetKey): number;
  /** True for `SCARCE_MS` after borrowing fell short of the need. */
  isScarce(key: Contracts.BudgetKey): boolean;
  getStats(): LoanStats;
  /** Rejects every waiter. */
  stop(): void;
}

/** Creates loans and handles `budget.borrow`. */
export function createLoans(deps: LoansDeps): Loans {
  const { clock, allocations, isValid, lenders, peers } = deps;
  const queues = new Map<Contracts.BudgetKey, WaitQueue.WaitQueue>();
  let isStopped = false;
  let requests = 0;
  let borrowedTokens = 0;

  const tryAcquireTokens = (state: Allocations.KeyState, tokens: number) =>
    Acquisitions.tryAcquire(state, tokens, clock.nowMs());

  function tryAcquire(key: Contracts.BudgetKey, tokens: number): boolean {
    const state = allocations.tryGet(key);
    if (state === undefined || !isValid()) return false;
    // Waiters come first, or a steady flow of new requests would starve them.
    const queue = queues.get(key);
    if (queue !== undefined && queue.waiters.length > 0) return false;
    if (!tryAcquireTokens(state, tokens)) return false;
    state.demand.count(tokens, clock.nowMs());
    return true;
  }

  function getOrCreateQueue(state: Allocations.KeyState): WaitQueue.WaitQueue {
    const existing = queues.get(state.key);
    if (existing !== undefined) return existing;
    const queue = WaitQueue.createWaitQueue(state);
    queues.set(state.key, queue);
    return queue;
  }

  function acquire(
    key: Contracts.BudgetKey,
    tokens: number,
    waitMs: number,
  ): Promise<WaitQueue.AcquireResult> {
    if (tryAcquire(key, tokens)) return Promise.resolve(Ok(undefined));
    if (!isValid()) return Promise.resolve(ResultCodes.fail("notHolding"));
    const state = allocations.tryGet(key);
    if (state === undefined || isStopped) {
      return Promise.resolve(WaitQueue.reject(key));
    }
    state.demand.count(tokens, clock.nowMs());
    const queue = getOrCreateQueue(state);
    return new Promise((resolve) => {
      const deadlineAtMs = clock.nowMs() + waitMs;
      queue.waiters.push({ tokens, deadlineAtMs, resolve });
      processQueue(queue);
    });
  }

  /** Admits waiters in order of arrival, as long as tokens are available. */
  function admitWaiters(queue: WaitQueue.WaitQueue): void {
    while (queue.waiters.length > 0 && isValid()) {
      const firstWaiter = queue.waiters[0]!;
      if (firstWaiter.deadlineAtMs < clock.nowMs()) {
        queue.waiters.shift();
        firstWaiter.resolve(WaitQueue.reject(queue.state.key));
        continue;
      }
      if (!tryAcquireTokens(queue.state, firstWaiter.tokens)) break;
      queue.waiters.shift();
      firstWaiter.resolve(Ok(undefined));
    }
  }

  function processQueue(queue: WaitQueue.WaitQueue): void {
    admitWaiters(queue);
    if (queue.waiters.length === 0) return;
    if (!queue.isBorrowing && queue.nextBorrowAtMs <= clock.nowMs()) {
      void borrow(queue);
    }
    WaitQueue.rejectUnservable(queue, clock.nowMs());
    scheduleWake(queue);
  }

  function scheduleWake(queue: WaitQueue.WaitQueue): void {
    const firstWaiter = queue.waiters[0];
    if (firstWaiter === undefined) return;
    let atMs = Math.min(
      firstWaiter.deadlineAtMs,
      WaitQueue.getRefillAtMs(queue, firstWaiter.tokens, clock.nowMs()),
    );
    if (!queue.isBorrowing) atMs = Math.min(atMs, queue.nextBorrowAtMs);
    // Timers are coarse; an earlier wake-up that is already set is enough.
    atMs = Math.max(atMs, clock.nowMs() + 1);
    if (atMs >= queue.wakeAtMs) return;
    queue.wakeAtMs = atMs;
    void deps.sleep(Math.ceil(atMs - clock.nowMs())).then(() => {
      if (queue.wakeAtMs !== atMs) return;
      queue.wakeAtMs = Infinity;
      processQueue(queue);
    });
  }

  function planPrefetch(queue: WaitQueue.WaitQueue): LoanPlan.Prefetch {
    const { bucket, demand, key } = queue.state;
    const now = clock.nowMs();
    const deficitRate = demand.getRate(now) - bucket.getLimits().rate;
    const isScarce = queue.scarceUntilMs > now;
    return LoanPlan.planPrefetch(
      deficitRate,
      isScarce,
      lenders.getPeerBurst(key),
    );
  }

  async function borrow(queue: WaitQueue.WaitQueue): Promise<void> {
    queue.isBorrowing = true;
    const { key } = queue.state;
    const triedPeers = new Set<Types.InstanceId>();
    const pendingCalls = new Set<Promise<void>>();
    const prefetch = planPrefetch(queue);
    const tokensBefore = queue.borrowedTokens;
    while (WaitQueue.getShortfall(queue, clock.nowMs()) > 0 && !isStopped) {
      const need = queue.waiters[0]!.tokens -
        WaitQueue.getAvailable(queue.state, clock.nowMs());
      const want = WaitQueue.getShortfall(queue, clock.nowMs()) +
        prefetch.tokens;
      const batch = lenders.choose(key, need, want, triedPeers);
      const minLoanMs = Math.max(queue.backoffMs, prefetch.loanMs);
      const loanMs = LoanPlan.getLoanMs(need, batch, minLoanMs);
      const calls: Promise<void>[] = [];
      for (const lender of batch) {
        triedPeers.add(lender.id);
        const call = requestLoan(queue, lender, loanMs).then(() => {
          pendingCalls.delete(call);
        });
        pendingCalls.add(call);
        calls.push(call);
      }
      if (pendingCalls.size === 0) break;
      // Without further lenders to try, only the pending responses can bring tokens.
      await (batch.length === 0
        ? Promise.all(pendingCalls)
        : Promise.race([Promise.all(calls), deps.sleep(HEDGE_DELAY_MS)]));
    }
    finishBorrowing(queue, tokensBefore);
  }

  function finishBorrowing(
    queue: WaitQueue.WaitQueue,
    tokensBefore: number,
  ): void {
    queue.isBorrowing = false;
    if (queue.borrowedTokens > tokensBefore) queue.backoffMs = 0;
    const firstWaiter = queue.waiters[0];
    if (firstWaiter === undefined) return;
    queue.scarceUntilMs = clock.nowMs() + SCARCE_MS;
    const nextBackoffMs = Math.max(BACKOFF_MIN_MS, queue.backoffMs * 2);
    queue.backoffMs = Math.min(nextBackoffMs, BACKOFF_MAX_MS);
    const need = firstWaiter.tokens -
      WaitQueue.getAvailable(queue.state, clock.nowMs());
    const retryDelayMs = lenders.getRetryDelayMs(queue.state.key, need);
    // Jitter keeps instances that ran out of tokens together from borrowing at
    // the same time.
    const waitMs = Math.max(queue.backoffMs, retryDelayMs, 1);
    queue.nextBorrowAtMs = clock.nowMs() + waitMs * (0.5 + deps.random() / 2);
    processQueue(queue);
  }

  async function requestLoan(
    queue: WaitQueue.WaitQueue,
    lender: Lenders.ChosenLender,
    loanMs: number,
  ): Promise<void> {
    const { key } = queue.state;
    const sentAtMs = clock.nowMs();
    const reports = Borrowed.collectReports(queue.state, lender.id, sentAtMs);
    const loanId = `${peers.incarnation}-${requests}`;
    const params: Messages.BorrowRequest = {
      key,
      want: lender.want,
      loanMs,
      loanId,
      spent: Borrowed.formatReports(reports),
    };
    requests++;
    const method = Messages.METHODS.borrow;
    const result = await peers.call(
      lender.id,
      method,
      params,
      BORROW_TIMEOUT_MS,
    );
    if (result.isErr()) return lenders.recordNoResponse(lender.id);
    params.spent.forEach(({ tokens }, i) => reports[i]!.confirmed = tokens);
    const response = Messages.tryReadBorrowResponse(result.value);
    if (response === undefined) return lenders.recordNoResponse(lender.id);
    lenders.recordResponse(key, lender.id, response, clock.nowMs() - sentAtMs);
    if (response.granted <= 0) return;
    borrowedTokens += response.granted;
    queue.borrowedTokens += response.granted;
    const loan: Borrowed.Loan = {
      id: loanId,
      lender: lender.id,
      expiresAtMs: sentAtMs + loanMs - EXPIRY_MARGIN_MS,
      spent: 0,
      reported: 0,
      confirmed: 0,
    };
    queue.state.loans.push(loan);
    Borrowed.addBorrowed(queue.state, response.granted, loan);
    admitWaiters(queue);
  }

  function refund(
    key: Contracts.BudgetKey,
    tokens: number,
    acquiredAtMs?: number,
  ): void {
    const state = allocations.tryGet(key);
    if (state === undefined || !isValid()) return;
    Acquisitions.refund(state, tokens, clock.nowMs(), acquiredAtMs);
    const queue = queues.get(key);
    if (queue !== undefined) processQueue(queue);
  }

  function reacquire(
    key: Contracts.BudgetKey,
    tokens: number,
    acquiredAtMs: number,
  ): boolean {
    const state = allocations.tryGet(key);
    if (state === undefined || !isValid()) return false;
    Acquisitions.refund(state, tokens, clock.nowMs(), acquiredAtMs);
    // Ahead of the waiters, because this request had its tokens first.
    return tryAcquireTokens(state, tokens);
  }

  const getLentTokens = Lending.createLending({
    ...deps,
    hasWaiters: (key) => (queues.get(key)?.waiters.length ?? 0) > 0,
  });

  return {
    tryAcquire,
    acquire,
    refund,
    reacquire,
    getAvailableTokens(key) {
      const state = allocations.tryGet(key);
      return state === undefined
        ? 0
        : WaitQueue.getAvailable(state, clock.nowMs());
    },
    isScarce(key) {
      return (queues.get(key)?.scarceUntilMs ?? 0) > clock.nowMs();
    },
    getStats: () => ({
      requests,
      borrowedTokens,
      lentTokens: getLentTokens(),
    }),
    stop() {
      isStopped = true;
      for (const queue of queues.values()) {
        for (const { resolve } of queue.waiters) {
          resolve(WaitQueue.reject(queue.state.key));
        }
        queue.waiters = [];
      }
    },
  };
}
