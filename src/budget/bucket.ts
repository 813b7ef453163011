/**
 * Token bucket on the monotonic clock whose capacity can change.
 *
 * Guarantee: the level plus the lent tokens never exceed the burst. In any
 * window of t seconds, at most burst + rate x t tokens leave the bucket for
 * requests that ran. The guarantee fails when tokens are refunded that were not
 * acquired, or when a call passes an earlier time than the call before it.
 */

/** Rounding error tolerated when tokens are deducted, in tokens. */
const ROUNDING_TOLERANCE = 1e-9;
/**
 * Most entries kept of acquisitions and headrooms; older ones are merged so
 * that refunds only get smaller.
 */
const MAX_HISTORY = 64;

/** Tokens that move out of a bucket, or into one, together with a share of its limits. */
export interface BucketContents {
  readonly level: number;
  /** Tokens of this share that are lent out. */
  readonly lent: number;
  /** Monotonic ms until which `lent` counts as lent. */
  readonly lentUntilMs: number;
}

/** Rate in tokens per second and burst in tokens. */
export interface Limits {
  readonly rate: number;
  readonly burst: number;
}

/** A token bucket; every call passes the monotonic time in ms. */
export interface Bucket {
  /** Deducts tokens; false when the level is too low. */
  tryAcquire(tokens: number, nowMs: number): boolean;
  /** Removes tokens and lowers the capacity until `untilMs`; false when the level is too low. */
  tryLend(tokens: number, untilMs: number, nowMs: number): boolean;
  /**
   * Restores the capacity that loans ending at `untilMs` withhold, for lent
   * tokens that the borrower spent. The level stays: only the refill replaces
   * spent tokens.
   */
  settleLoan(tokens: number, untilMs: number, nowMs: number): void;
  /**
   * Refunds acquired tokens, up to what the bucket would hold now if they had
   * never been acquired. Returns the refunded amount. Without `acquiredAtMs` the
   * tokens count as the oldest ones acquired.
   */
  refund(tokens: number, nowMs: number, acquiredAtMs?: number): number;
  /** Replaces the limits: a smaller capacity drops the excess tokens, a larger one adds none. */
  setLimits(limits: Limits, nowMs: number): void;
  /** Adds a share of limits together with its tokens. */
  addShare(limits: Limits, contents: BucketContents, nowMs: number): void;
  /** Removes a share of the limits with the same fraction of the level and of the lent tokens. */
  removeShare(limits: Limits, nowMs: number): BucketContents;
  /** Drops all tokens and keeps the level at 0 until `untilMs`. */
  keepEmpty(untilMs: number, nowMs: number): void;
  /** Returns the tokens that can be acquired now. */
  getLevel(nowMs: number): number;
  /** The burst less the lent tokens; the level refills up to this. */
  getCapacity(nowMs: number): number;
  /** Returns rate and burst; the burst includes lent tokens. */
  getLimits(): Limits;
  /** Sets the longest time between an acquisition and its refund, in ms. */
  setRefundWindow(refundWindowMs: number): void;
}

interface TimedTokens {
  readonly atMs: number;
  tokens: number;
}

interface State {
  rate: number;
  burst: number;
  level: number;
  lent: number;
  updatedAtMs: number;
  refundWindowMs: number;
  /** Outstanding loans by expiry, soonest first. */
  loans: TimedTokens[];
  /** Acquisitions that may still be refunded, oldest first. */
  readonly acquisitions: TimedTokens[];
  /** Least headroom (capacity less level) since each entry's time; grows from entry to entry. */
  headrooms: TimedTokens[];
}

// Module functions rather than closures of each bucket: an instance may have
// 10,000 buckets, and eight more closures took half a kilobyte for each.

function refillTo(state: State, atMs: number): void {
  if (atMs <= state.updatedAtMs) return;
  const capacity = state.burst - state.lent;
  if (state.level < capacity) {
    const refill = (state.rate * (atMs - state.updatedAtMs)) / 1000;
    const filled = state.level + refill;
    state.level = filled < capacity ? filled : capacity;
  }
  state.updatedAtMs = atMs;
}

// Restores capacity at the loan's expiry rather than at the next call. Refilling
// the whole time span at the restored capacity would add tokens that did not fit.
function advance(state: State, nowMs: number): void {
  const { loans } = state;
  while (loans.length > 0 && loans[0]!.atMs <= nowMs) {
    const loan = loans.shift()!;
    refillTo(state, loan.atMs);
    recordHeadroom(state, loan.atMs);
    state.lent = loans.length === 0 ? 0 : Math.max(0, state.lent - loan.tokens);
  }
  refillTo(state, nowMs);
}

function getHeadroom(state: State): number {
  return Math.max(0, state.burst - state.lent - state.level);
}

function recordHeadroom(state: State, atMs: number): void {
  const { headrooms } = state;
  const tokens = getHeadroom(state);
  while (
    headrooms.length > 1 && headrooms[headrooms.length - 1]!.tokens >= tokens
  ) {
    headrooms.pop();
  }
  if (headrooms.length === 0 || headrooms[0]!.tokens >= tokens) {
    // A push into an empty array allocates space for 17 entries.
    state.headrooms = [{ atMs, tokens }];
    return;
  }
  headrooms.push({ atMs, tokens });
  if (headrooms.length <= MAX_HISTORY) return;
  // Merging to the later time with the smaller headroom only makes refunds smaller.
  const [oldest, next] = headrooms as [TimedTokens, TimedTokens];
  headrooms.splice(0, 2, { atMs: next.atMs, tokens: oldest.tokens });
}

function recordAcquisition(state: State, tokens: number, nowMs: number): void {
  const { acquisitions, refundWindowMs } = state;
  while (
    acquisitions.length > 0 && acquisitions[0]!.atMs < nowMs - refundWindowMs
  ) {
    acquisitions.shift();
  }
  const last = acquisitions[acquisitions.length - 1];
  if (last !== undefined && nowMs - last.atMs < refundWindowMs / MAX_HISTORY) {
    last.tokens += tokens;
  } else {
    acquisitions.push({ atMs: nowMs, tokens });
  }
}

// Without the refunded acquisition the level would be higher by `tokens`, less
// what would have overflowed since. The least headroom since then bounds that.
function refundAt(
  state: State,
  tokens: number,
  acquiredAtMs: number,
): number {
  let headroom = getHeadroom(state);
  for (const entry of state.headrooms) {
    if (entry.atMs > acquiredAtMs) headroom = Math.min(headroom, entry.tokens);
  }
  const refunded = Math.min(tokens, headroom);
  if (refunded <= 0) return 0;
  state.level += refunded;
  const olderHeadrooms = state.headrooms.filter((entry) =>
    entry.atMs <= acquiredAtMs
  );
  const newerHeadrooms = state.headrooms.filter((entry) =>
    entry.atMs > acquiredAtMs
  );
  for (const entry of newerHeadrooms) entry.tokens -= refunded;
  const leastHeadroom = newerHeadrooms[0]?.tokens ?? Infinity;
  state.headrooms = [
    ...olderHeadrooms.filter((entry) => entry.tokens < leastHeadroom),
    ...newerHeadrooms,
  ];
  return refunded;
}

function addLoan(state: State, tokens: number, untilMs: number): void {
  if (tokens <= 0) return;
  state.lent += tokens;
  const index = state.loans.findIndex((loan) => loan.atMs > untilMs);
  const newLoan = { atMs: untilMs, tokens };
  if (index < 0) state.loans.push(newLoan);
  else state.loans.splice(index, 0, newLoan);
}

/** Refunds tokens of unknown time as the oldest ones, which never refunds too much. */
function refundOldest(state: State, tokens: number, nowMs: number): number {
  const { acquisitions } = state;
  let remaining = tokens;
  let refunded = 0;
  while (remaining > 0 && acquisitions.length > 0) {
    const acquisition = acquisitions[0]!;
    const amount = Math.min(remaining, acquisition.tokens);
    const isRecent = acquisition.atMs >= nowMs - state.refundWindowMs;
    if (isRecent) refunded += refundAt(state, amount, acquisition.atMs);
    acquisition.tokens -= amount;
    remaining -= amount;
    if (acquisition.tokens <= 0) acquisitions.shift();
  }
  return refunded;
}

/** Deducts tokens; false when the level is too low. */
function tryDeduct(state: State, tokens: number, nowMs: number): boolean {
  advance(state, nowMs);
  if (state.level + ROUNDING_TOLERANCE < tokens) return false;
  recordHeadroom(state, nowMs);
  state.level = Math.max(0, state.level - tokens);
  return true;
}

/** Sets the level, at most the burst less the lent tokens. */
function setLevel(state: State, level: number): void {
  state.level = Math.max(0, Math.min(level, state.burst - state.lent));
}

function removeShare(
  state: State,
  limits: Limits,
  nowMs: number,
): BucketContents {
  advance(state, nowMs);
  recordHeadroom(state, nowMs);
  const fraction = state.burst > 0
    ? Math.min(1, limits.burst / state.burst)
    : 0;
  const contents = {
    level: Math.min(state.level * fraction, limits.burst),
    lent: state.lent * fraction,
    lentUntilMs: state.loans[state.loans.length - 1]?.atMs ?? nowMs,
  };
  state.loans = state.loans.map((loan) => ({
    atMs: loan.atMs,
    tokens: loan.tokens * (1 - fraction),
  }));
  state.lent *= 1 - fraction;
  state.rate = Math.max(0, state.rate - limits.rate);
  state.burst = Math.max(0, state.burst - limits.burst);
  setLevel(state, state.level * (1 - fraction));
  return contents;
}

function settleLoan(
  state: State,
  tokens: number,
  untilMs: number,
  nowMs: number,
): void {
  advance(state, nowMs);
  recordHeadroom(state, nowMs);
  let remaining = tokens;
  for (const loan of state.loans) {
    if (loan.atMs !== untilMs) continue;
    const amount = Math.min(remaining, loan.tokens);
    loan.tokens -= amount;
    state.lent = Math.max(0, state.lent - amount);
    remaining -= amount;
  }
  state.loans = state.loans.filter((loan) => loan.tokens > 0);
  // Rounding errors of ended loans would lower the capacity forever.
  if (state.loans.length === 0) state.lent = 0;
}

/** Creates an empty bucket with rate and burst 0. */
export function createBucket(startMs: number): Bucket {
  const state: State = {
    rate: 0,
    burst: 0,
    level: 0,
    lent: 0,
    updatedAtMs: startMs,
    refundWindowMs: 30_000,
    loans: [],
    acquisitions: [],
    headrooms: [],
  };

  return {
    tryAcquire(tokens, nowMs) {
      if (!tryDeduct(state, tokens, nowMs)) return false;
      recordAcquisition(state, tokens, nowMs);
      return true;
    },
    tryLend(tokens, untilMs, nowMs) {
      if (!tryDeduct(state, tokens, nowMs)) return false;
      addLoan(state, tokens, untilMs);
      return true;
    },
    settleLoan: (tokens, untilMs, nowMs) =>
      settleLoan(state, tokens, untilMs, nowMs),
    refund(tokens, nowMs, acquiredAtMs) {
      advance(state, nowMs);
      return acquiredAtMs === undefined
        ? refundOldest(state, tokens, nowMs)
        : refundAt(state, tokens, acquiredAtMs);
    },
    setLimits(limits, nowMs) {
      advance(state, nowMs);
      recordHeadroom(state, nowMs);
      state.rate = limits.rate;
      state.burst = limits.burst;
      setLevel(state, state.level);
    },
    addShare(limits, contents, nowMs) {
      advance(state, nowMs);
      recordHeadroom(state, nowMs);
      state.rate += limits.rate;
      state.burst += limits.burst;
      if (contents.lentUntilMs > nowMs) {
        addLoan(state, contents.lent, contents.lentUntilMs);
      }
      setLevel(state, state.level + contents.level);
    },
    removeShare: (limits, nowMs) => removeShare(state, limits, nowMs),
    keepEmpty(untilMs, nowMs) {
      advance(state, nowMs);
      recordHeadroom(state, nowMs);
      state.level = 0;
      addLoan(state, Math.max(0, state.burst - state.lent), untilMs);
    },
    getLevel(nowMs) {
      advance(state, nowMs);
      return state.level;
    },
    getCapacity(nowMs) {
      advance(state, nowMs);
      return Math.max(0, state.burst - state.lent);
    },
    getLimits: () => ({ rate: state.rate, burst: state.burst }),
    setRefundWindow(windowMs) {
      state.refundWindowMs = windowMs;
    },
  };
}
