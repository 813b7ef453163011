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
import * as Holdings from "./holdings.ts";
import type * as Lenders from "./lenders.ts";
import * as Messages from "./messages.ts";

/** Subtracted from a loan at the borrower for differences in clock speed. */
const EXPIRY_MARGIN_MS = 20;
/** Several times the round trip between regions (110 ms). */
const BORROW_TIMEOUT_MS = 400;
/** After this, other lenders are asked as well; above one round trip between regions. */
const HEDGE_MS = 150;
const BACKOFF_MIN_MS = 50;
const BACKOFF_MAX_MS = 1_000;
/** A loan outlives the expected answer by this factor, and is this long at least. */
const LOAN_RTTS = 4;
const LOAN_MIN_MS = 200;
/**
 * Least time of a loan that is only a part of the need, so that parts of
 * several lenders live until the last one arrives.
 */
const PART_LOAN_MIN_MS = 400;
/**
 * Part of the peers' bursts that a steady flow borrows ahead. A lent token
 * keeps its lender from refilling, so that long loans of many tokens would cost
 * more rate than they save in messages.
 */
const PREFETCH_FRACTION = 0.1;
/** What a flow borrows ahead when tokens are scarce, in time. */
const SCARCE_PREFETCH_MS = 150;
/** After an attempt that fell short tokens count as scarce for this long. */
const SCARCE_MS = 5_000;
/** What a lender keeps of its own recent demand. */
const RESERVE_S = 0.1;
/** Above this part of its rate in use, a lender keeps a whole token. */
const BUSY_FRACTION = 0.75;

/** What loans need of their surroundings. */
export interface LoansDeps {
  readonly peers: Contracts.PeerNet;
  readonly clock: Clock.Clock;
  readonly sleep: (ms: number) => Promise<void>;
  readonly random: () => number;
  readonly holdings: Holdings.Holdings;
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
  /** Own and borrowed tokens at hand. */
  getTokens(key: Contracts.BudgetKey): number;
  getStats(): LoanStats;
  /** Refuses everybody who waits. */
  stop(): void;
}

type TakeResult = Result<void, ResultCodes.Failure>;

interface Waiter {
  readonly tokens: number;
  readonly deadlineMs: number;
  readonly resolve: (result: TakeResult) => void;
}

/** Waiters of one key and the state of borrowing for them. */
interface Line {
  readonly state: Holdings.KeyState;
  waiters: Waiter[];
  isBorrowing: boolean;
  backoffMs: number;
  scarceUntilMs: number;
  borrowedTokens: number;
  borrowAfterMs: number;
  wakeAtMs: number;
}

function refuse(key: Contracts.BudgetKey): TakeResult {
  if (key.startsWith("cap/")) return ResultCodes.fail("regionCap", key);
  if (key.startsWith("link/")) return ResultCodes.fail("linkCap", key);
  return ResultCodes.fail("accountLimit", key);
}

/** Drops what expired and sums the rest. */
function sumBorrowed(state: Holdings.KeyState, nowMs: number): number {
  const { borrowed } = state;
  if (borrowed.length === 0) return 0;
  while (borrowed.length > 0 && borrowed[0]!.expiresAtMs <= nowMs) {
    borrowed.shift();
  }
  let sum = 0;
  for (const part of borrowed) sum += part.tokens;
  return sum;
}

function spendBorrowed(state: Holdings.KeyState, tokens: number): void {
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
  // Older ones have expired and can't be refunded; the bound is for memory.
  if (spentBorrowed.length > 256) spentBorrowed.splice(0, 128);
}

function addBorrowed(
  state: Holdings.KeyState,
  tokens: number,
  expiresAtMs: number,
): void {
  state.borrowed.push({ tokens, expiresAtMs });
  state.borrowed.sort((a, b) => a.expiresAtMs - b.expiresAtMs);
}

/** Creates loans and handles `budget.borrow`. */
export function createLoans(deps: LoansDeps): Loans {
  const { clock, holdings, isValid, lenders, peers } = deps;
  const lines = new Map<Contracts.BudgetKey, Line>();
  let isStopped = false;
  let asked = 0;
  let borrowedTokens = 0;
  let lentTokens = 0;

  function spend(state: Holdings.KeyState, tokens: number): boolean {
    const now = clock.nowMs();
    const borrowed = Math.min(tokens, sumBorrowed(state, now));
    const own = tokens - borrowed;
    if (own > 0 && !state.bucket.tryTake(own, now)) return false;
    if (borrowed > 0) spendBorrowed(state, borrowed);
    return true;
  }

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

  function getHeld(state: Holdings.KeyState): number {
    const now = clock.nowMs();
    return sumBorrowed(state, now) + state.bucket.getLevel(now);
  }

  function getOrCreateLine(state: Holdings.KeyState): Line {
    const known = lines.get(state.key);
    if (known !== undefined) return known;
    const line: Line = {
      state,
      waiters: [],
      isBorrowing: false,
      backoffMs: 0,
      scarceUntilMs: 0,
      borrowedTokens: 0,
      borrowAfterMs: 0,
      wakeAtMs: Infinity,
    };
    lines.set(state.key, line);
    return line;
  }

  function take(
    key: Contracts.BudgetKey,
    tokens: number,
    waitMs: number,
  ): Promise<TakeResult> {
    if (tryTake(key, tokens)) return Promise.resolve(Ok(undefined));
    if (!isValid()) return Promise.resolve(ResultCodes.fail("notHolding"));
    const state = holdings.tryGet(key);
    if (state === undefined || isStopped) return Promise.resolve(refuse(key));
    state.demand.count(tokens, clock.nowMs());
    const line = getOrCreateLine(state);
    return new Promise((resolve) => {
      const deadlineMs = clock.nowMs() + waitMs;
      line.waiters.push({ tokens, deadlineMs, resolve });
      pump(line);
    });
  }

  /** Serves in order of arrival, as far as the tokens go. */
  function serve(line: Line): void {
    while (line.waiters.length > 0 && isValid()) {
      const first = line.waiters[0]!;
      if (first.deadlineMs < clock.nowMs()) {
        line.waiters.shift();
        first.resolve(refuse(line.state.key));
        continue;
      }
      if (!spend(line.state, first.tokens)) break;
      line.waiters.shift();
      first.resolve(Ok(undefined));
    }
  }

  /** Monotonic ms at which own tokens cover all waiters up to and with `sum`. */
  function getRefillAtMs(line: Line, sum: number): number {
    const { rate } = line.state.bucket.getLimits();
    const short = sum - getHeld(line.state);
    if (short <= 0) return clock.nowMs();
    return rate > 0 ? clock.nowMs() + (short / rate) * 1000 : Infinity;
  }

  /** Refuses at once who can't be served in time, so that nobody waits for nothing. */
  function refuseHopeless(line: Line): void {
    let sum = 0;
    const kept: Waiter[] = [];
    for (const waiter of line.waiters) {
      const { deadlineMs, tokens, resolve } = waiter;
      const mayBorrow = line.isBorrowing || line.borrowAfterMs <= deadlineMs;
      const isInTime = deadlineMs > clock.nowMs() &&
        (mayBorrow || getRefillAtMs(line, sum + tokens) <= deadlineMs);
      if (isInTime) {
        sum += tokens;
        kept.push(waiter);
      } else {
        resolve(refuse(line.state.key));
      }
    }
    line.waiters = kept;
  }

  function pump(line: Line): void {
    serve(line);
    if (line.waiters.length === 0) return;
    if (!line.isBorrowing && line.borrowAfterMs <= clock.nowMs()) {
      void borrow(line);
    }
    refuseHopeless(line);
    scheduleWake(line);
  }

  function scheduleWake(line: Line): void {
    const first = line.waiters[0];
    if (first === undefined) return;
    let atMs = Math.min(first.deadlineMs, getRefillAtMs(line, first.tokens));
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

  function getMissing(line: Line): number {
    let sum = 0;
    for (const waiter of line.waiters) sum += waiter.tokens;
    return sum - getHeld(line.state);
  }

  /** How long to borrow, and how many tokens ahead: half of what the flow uses in that time. */
  function planPrefetch(line: Line) {
    const { bucket, demand, key } = line.state;
    const now = clock.nowMs();
    const short = demand.getRate(now) - bucket.getLimits().rate;
    if (short <= 0) return { loanMs: 0, tokens: 0 };
    if (line.scarceUntilMs > now) {
      const soon = Math.floor((short * SCARCE_PREFETCH_MS) / 1_000);
      return { loanMs: 0, tokens: soon };
    }
    const tokens = PREFETCH_FRACTION * lenders.getBurst(key);
    const loanMs = Math.min(Holdings.LOAN_MS, (tokens / short) * 2_000);
    return { loanMs, tokens: Math.floor((short * loanMs) / 2_000) };
  }

  async function borrow(line: Line): Promise<void> {
    line.isBorrowing = true;
    const { key } = line.state;
    const done = new Set<Types.InstanceId>();
    const pending = new Set<Promise<void>>();
    const ahead = planPrefetch(line);
    const borrowedBefore = line.borrowedTokens;
    while (getMissing(line) > 0 && !isStopped) {
      const need = line.waiters[0]!.tokens - getHeld(line.state);
      const want = getMissing(line) + ahead.tokens;
      const wave = lenders.choose(key, need, want, done);
      const loanMs = getLoanMs(line, need, wave, ahead.loanMs);
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

  /** Parts of several lenders must live until the slowest answer; longer after failures. */
  function getLoanMs(
    line: Line,
    need: number,
    wave: readonly Lenders.Ask[],
    aheadMs: number,
  ): number {
    const isWhole = wave.some((ask) => ask.expected >= need);
    const rttMs = Math.max(0, ...wave.map((ask) => ask.rttMs));
    const least = Math.max(
      isWhole ? LOAN_MIN_MS : PART_LOAN_MIN_MS,
      rttMs * LOAN_RTTS,
      line.backoffMs,
    );
    return Math.min(Holdings.LOAN_MS, Math.max(least, aheadMs));
  }

  function finishBorrow(line: Line, borrowedBefore: number): void {
    line.isBorrowing = false;
    if (line.borrowedTokens > borrowedBefore) line.backoffMs = 0;
    const first = line.waiters[0];
    if (first === undefined) return;
    line.scarceUntilMs = clock.nowMs() + SCARCE_MS;
    const next = Math.max(BACKOFF_MIN_MS, line.backoffMs * 2);
    line.backoffMs = Math.min(next, BACKOFF_MAX_MS);
    const need = first.tokens - getHeld(line.state);
    const retryMs = lenders.getRetryMs(line.state.key, need);
    // Jitter keeps instances that ran dry together from asking together.
    const waitMs = Math.max(line.backoffMs, retryMs, 1);
    line.borrowAfterMs = clock.nowMs() + waitMs * (0.5 + deps.random() / 2);
    pump(line);
  }

  async function askLender(
    line: Line,
    ask: Lenders.Ask,
    loanMs: number,
  ): Promise<void> {
    const { key } = line.state;
    const params: Messages.BorrowRequest = { key, want: ask.want, loanMs };
    const sentAtMs = clock.nowMs();
    asked++;
    const method = Messages.METHODS.borrow;
    const result = await peers.call(ask.id, method, params, BORROW_TIMEOUT_MS);
    if (result.isErr()) return lenders.noteSilence(ask.id);
    const answer = Messages.tryReadBorrowAnswer(result.value);
    if (answer === undefined) return lenders.noteSilence(ask.id);
    lenders.noteAnswer(key, ask.id, answer, clock.nowMs() - sentAtMs);
    if (answer.granted <= 0) return;
    borrowedTokens += answer.granted;
    line.borrowedTokens += answer.granted;
    const expiresAtMs = sentAtMs + loanMs - EXPIRY_MARGIN_MS;
    addBorrowed(line.state, answer.granted, expiresAtMs);
    serve(line);
  }

  function lend(req: Messages.BorrowRequest): Messages.BorrowAnswer {
    const nothing = { granted: 0, left: 0, spareRate: 0 };
    const state = holdings.tryGet(req.key);
    if (state === undefined || !isValid()) return nothing;
    const now = clock.nowMs();
    const { rate } = state.bucket.getLimits();
    const spareRate = Math.max(0, rate - state.demand.getRate(now));
    const waiting = lines.get(req.key)?.waiters.length ?? 0;
    const free = state.bucket.getLevel(now) - getReserve(state, now);
    if (waiting > 0 || free <= 0) return { ...nothing, spareRate };
    const granted = Math.min(free, req.want);
    const untilMs = now + Math.min(req.loanMs, Holdings.LOAN_MS);
    if (!state.bucket.tryLend(granted, untilMs, now)) return nothing;
    lentTokens += granted;
    return { granted, left: free - granted, spareRate };
  }

  /** What the own callers will probably need before the bucket refills. */
  function getReserve(state: Holdings.KeyState, nowMs: number): number {
    const demand = state.demand.getRate(nowMs);
    const isBusy = demand >= BUSY_FRACTION * state.bucket.getLimits().rate &&
      demand > 0;
    return Math.max(isBusy ? 1 : 0, demand * RESERVE_S);
  }

  function giveBack(
    key: Contracts.BudgetKey,
    tokens: number,
    takenAtMs?: number,
  ): void {
    const state = holdings.tryGet(key);
    if (state === undefined || !isValid()) return;
    const now = clock.nowMs();
    let left = tokens;
    // Borrowed tokens go back only to their loan, and only when it is certain
    // that they were the ones taken; otherwise they count as lost.
    const isCertain = !state.bucket.hasRecentTakes(now);
    while (left > 0 && state.spentBorrowed.length > 0) {
      const spent = state.spentBorrowed[state.spentBorrowed.length - 1]!;
      const part = Math.min(left, spent.tokens);
      if (isCertain && spent.expiresAtMs > now) {
        addBorrowed(state, part, spent.expiresAtMs);
      }
      spent.tokens -= part;
      left -= part;
      if (spent.tokens <= 0) state.spentBorrowed.pop();
    }
    if (left > 0) state.bucket.giveBack(left, now, takenAtMs);
    const line = lines.get(key);
    if (line !== undefined) pump(line);
  }

  peers.handle(Messages.METHODS.borrow, (params) => {
    const req = Messages.tryReadBorrow(params);
    if (req === undefined) throw new Error("malformed budget.borrow");
    return lend(req);
  });

  return {
    tryTake,
    take,
    giveBack,
    getTokens(key) {
      const state = holdings.tryGet(key);
      return state === undefined ? 0 : getHeld(state);
    },
    getStats: () => ({ asked, borrowedTokens, lentTokens }),
    stop() {
      isStopped = true;
      for (const line of lines.values()) {
        for (const { resolve } of line.waiters) resolve(refuse(line.state.key));
        line.waiters = [];
      }
    },
  };
}
