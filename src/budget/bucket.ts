/**
 * Token bucket on the monotonic clock with adjustable capacity.
 *
 * Promise: level plus tokens lent out never exceed the burst, and over any
 * window of t seconds at most burst + rate x t tokens leave the bucket for
 * requests that ran. It breaks when a caller gives back tokens that it did not
 * take, or when times passed in go backwards.
 */

/** Float rounding tolerated by a take, in tokens. */
const EPSILON = 1e-9;
/** Bound on remembered takes and peaks; older ones are merged conservatively. */
const MAX_HISTORY = 64;

/** What leaves a bucket with a part of its limits, or joins with one. */
export interface BucketPart {
  readonly level: number;
  /** Tokens of this part that are lent out. */
  readonly lent: number;
  /** Monotonic ms until which they count as lent. */
  readonly lentUntilMs: number;
}

/** Rate in tokens per second and burst in tokens. */
export interface Limits {
  readonly rate: number;
  readonly burst: number;
}

/** A token bucket; every call passes the monotonic time in ms. */
export interface Bucket {
  tryTake(tokens: number, nowMs: number): boolean;
  /** Moves tokens out and lowers the capacity until `untilMs`; false when short. */
  tryLend(tokens: number, untilMs: number, nowMs: number): boolean;
  /**
   * Gives back the capacity of lent tokens that were spent, of the loans that
   * end at `untilMs`. The level stays: a spent token comes back by refill only.
   */
  settleLoan(tokens: number, untilMs: number, nowMs: number): void;
  /** Returns taken tokens as far as the bucket could still hold them had they never been taken; gives the amount. */
  giveBack(tokens: number, nowMs: number, takenAtMs?: number): number;
  /** A shrinking capacity drops the excess; a growing one adds no tokens. */
  setLimits(limits: Limits, nowMs: number): void;
  /** Adds a part's limits and content. */
  addPart(limits: Limits, part: BucketPart, nowMs: number): void;
  /** Removes limits with a proportional part of level and lent tokens. */
  removePart(limits: Limits, nowMs: number): BucketPart;
  /** Drops the level and keeps it at 0 until `untilMs`. */
  holdEmpty(untilMs: number, nowMs: number): void;
  getLevel(nowMs: number): number;
  /** The burst less what is lent out: the level refills up to this. */
  getCapacity(nowMs: number): number;
  getLimits(): Limits;
  /** Longest time between a take and its refund. */
  setHorizon(horizonMs: number): void;
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
  horizonMs: number;
  /** Loans out by expiry, soonest first. */
  loans: TimedTokens[];
  /** Takes that may still be refunded, oldest first. */
  readonly takes: TimedTokens[];
  /** Least free room since a time: room grows with the time of the entry. */
  rooms: TimedTokens[];
}

// The helpers are not closures of each bucket: an instance may have 10,000 of
// them, and eight closures more took half a kilobyte each.

function refillTo(state: State, atMs: number): void {
  if (atMs <= state.updatedAtMs) return;
  const capacity = state.burst - state.lent;
  if (state.level < capacity) {
    const gained = (state.rate * (atMs - state.updatedAtMs)) / 1000;
    const filled = state.level + gained;
    state.level = filled < capacity ? filled : capacity;
  }
  state.updatedAtMs = atMs;
}

// Capacity comes back at the loan's expiry, not at the next call: refilling
// the whole span at the restored capacity would count tokens that did not fit.
function advance(state: State, nowMs: number): void {
  const { loans } = state;
  while (loans.length > 0 && loans[0]!.atMs <= nowMs) {
    const loan = loans.shift()!;
    refillTo(state, loan.atMs);
    noteRoom(state, loan.atMs);
    state.lent = loans.length === 0 ? 0 : Math.max(0, state.lent - loan.tokens);
  }
  refillTo(state, nowMs);
}

function getRoom(state: State): number {
  return Math.max(0, state.burst - state.lent - state.level);
}

function noteRoom(state: State, atMs: number): void {
  const { rooms } = state;
  const tokens = getRoom(state);
  while (rooms.length > 1 && rooms[rooms.length - 1]!.tokens >= tokens) {
    rooms.pop();
  }
  if (rooms.length === 0 || rooms[0]!.tokens >= tokens) {
    // A push into an empty array reserves room for 17 entries.
    state.rooms = [{ atMs, tokens }];
    return;
  }
  rooms.push({ atMs, tokens });
  if (rooms.length <= MAX_HISTORY) return;
  // The later time with the smaller room only makes refunds smaller.
  const [first, second] = rooms as [TimedTokens, TimedTokens];
  rooms.splice(0, 2, { atMs: second.atMs, tokens: first.tokens });
}

function noteTake(state: State, tokens: number, nowMs: number): void {
  const { takes, horizonMs } = state;
  while (takes.length > 0 && takes[0]!.atMs < nowMs - horizonMs) {
    takes.shift();
  }
  const last = takes[takes.length - 1];
  if (last !== undefined && nowMs - last.atMs < horizonMs / MAX_HISTORY) {
    last.tokens += tokens;
  } else {
    takes.push({ atMs: nowMs, tokens });
  }
}

// Without the refunded take the bucket would have been fuller by `tokens`,
// less what overflowed since: the least room since then bounds the refund.
function refund(state: State, tokens: number, takenAtMs: number): number {
  let room = getRoom(state);
  for (const entry of state.rooms) {
    if (entry.atMs > takenAtMs) room = Math.min(room, entry.tokens);
  }
  const given = Math.min(tokens, room);
  if (given <= 0) return 0;
  state.level += given;
  const older = state.rooms.filter((entry) => entry.atMs <= takenAtMs);
  const newer = state.rooms.filter((entry) => entry.atMs > takenAtMs);
  for (const entry of newer) entry.tokens -= given;
  const least = newer[0]?.tokens ?? Infinity;
  state.rooms = [...older.filter((entry) => entry.tokens < least), ...newer];
  return given;
}

function addLoan(state: State, tokens: number, untilMs: number): void {
  if (tokens <= 0) return;
  state.lent += tokens;
  const at = state.loans.findIndex((loan) => loan.atMs > untilMs);
  const entry = { atMs: untilMs, tokens };
  if (at < 0) state.loans.push(entry);
  else state.loans.splice(at, 0, entry);
}

/** Unknown takes count as the oldest ones, which never refunds too much. */
function refundOldest(state: State, tokens: number, nowMs: number): number {
  const { takes } = state;
  let left = tokens;
  let given = 0;
  while (left > 0 && takes.length > 0) {
    const take = takes[0]!;
    const part = Math.min(left, take.tokens);
    const isRecent = take.atMs >= nowMs - state.horizonMs;
    if (isRecent) given += refund(state, part, take.atMs);
    take.tokens -= part;
    left -= part;
    if (take.tokens <= 0) takes.shift();
  }
  return given;
}

/** Takes tokens out; false when short. */
function tryRemove(state: State, tokens: number, nowMs: number): boolean {
  advance(state, nowMs);
  if (state.level + EPSILON < tokens) return false;
  noteRoom(state, nowMs);
  state.level = Math.max(0, state.level - tokens);
  return true;
}

/** Keeps the level within what is neither lent nor over the burst. */
function setLevel(state: State, level: number): void {
  state.level = Math.max(0, Math.min(level, state.burst - state.lent));
}

function removePart(state: State, limits: Limits, nowMs: number): BucketPart {
  advance(state, nowMs);
  noteRoom(state, nowMs);
  const fraction = state.burst > 0
    ? Math.min(1, limits.burst / state.burst)
    : 0;
  const part = {
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
  return part;
}

function settleLoan(
  state: State,
  tokens: number,
  untilMs: number,
  nowMs: number,
): void {
  advance(state, nowMs);
  noteRoom(state, nowMs);
  let left = tokens;
  for (const loan of state.loans) {
    if (loan.atMs !== untilMs) continue;
    const part = Math.min(left, loan.tokens);
    loan.tokens -= part;
    state.lent = Math.max(0, state.lent - part);
    left -= part;
  }
  state.loans = state.loans.filter((loan) => loan.tokens > 0);
  // Rounding residues would lower the capacity for ever.
  if (state.loans.length === 0) state.lent = 0;
}

/** Creates an empty bucket with limits 0. */
export function createBucket(startMs: number): Bucket {
  const state: State = {
    rate: 0,
    burst: 0,
    level: 0,
    lent: 0,
    updatedAtMs: startMs,
    horizonMs: 30_000,
    loans: [],
    takes: [],
    rooms: [],
  };

  return {
    tryTake(tokens, nowMs) {
      if (!tryRemove(state, tokens, nowMs)) return false;
      noteTake(state, tokens, nowMs);
      return true;
    },
    tryLend(tokens, untilMs, nowMs) {
      if (!tryRemove(state, tokens, nowMs)) return false;
      addLoan(state, tokens, untilMs);
      return true;
    },
    settleLoan: (tokens, untilMs, nowMs) =>
      settleLoan(state, tokens, untilMs, nowMs),
    giveBack(tokens, nowMs, takenAtMs) {
      advance(state, nowMs);
      return takenAtMs === undefined
        ? refundOldest(state, tokens, nowMs)
        : refund(state, tokens, takenAtMs);
    },
    setLimits(limits, nowMs) {
      advance(state, nowMs);
      noteRoom(state, nowMs);
      state.rate = limits.rate;
      state.burst = limits.burst;
      setLevel(state, state.level);
    },
    addPart(limits, part, nowMs) {
      advance(state, nowMs);
      noteRoom(state, nowMs);
      state.rate += limits.rate;
      state.burst += limits.burst;
      if (part.lentUntilMs > nowMs) {
        addLoan(state, part.lent, part.lentUntilMs);
      }
      setLevel(state, state.level + part.level);
    },
    removePart: (limits, nowMs) => removePart(state, limits, nowMs),
    holdEmpty(untilMs, nowMs) {
      advance(state, nowMs);
      noteRoom(state, nowMs);
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
    setHorizon(ms) {
      state.horizonMs = ms;
    },
  };
}
