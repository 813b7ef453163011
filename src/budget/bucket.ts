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

/** Creates an empty bucket with limits 0. */
export function createBucket(startMs: number): Bucket {
  let rate = 0;
  let burst = 0;
  let level = 0;
  let lent = 0;
  let updatedAtMs = startMs;
  let horizonMs = 30_000;
  /** Loans out by expiry, soonest first. */
  let loans: TimedTokens[] = [];
  /** Takes that may still be refunded, oldest first. */
  const takes: TimedTokens[] = [];
  /** Least free room since a time: room grows with the time of the entry. */
  let rooms: TimedTokens[] = [];

  function refillTo(atMs: number): void {
    if (atMs <= updatedAtMs) return;
    const capacity = burst - lent;
    if (level < capacity) {
      const filled = level + (rate * (atMs - updatedAtMs)) / 1000;
      level = filled < capacity ? filled : capacity;
    }
    updatedAtMs = atMs;
  }

  // Capacity comes back at the loan's expiry, not at the next call: refilling
  // the whole span at the restored capacity would count tokens that did not fit.
  function advance(nowMs: number): void {
    while (loans.length > 0 && loans[0]!.atMs <= nowMs) {
      const loan = loans.shift()!;
      refillTo(loan.atMs);
      noteRoom(loan.atMs);
      lent = loans.length === 0 ? 0 : Math.max(0, lent - loan.tokens);
    }
    refillTo(nowMs);
  }

  function getRoom(): number {
    return Math.max(0, burst - lent - level);
  }

  function noteRoom(atMs: number): void {
    const tokens = getRoom();
    while (rooms.length > 0 && rooms[rooms.length - 1]!.tokens >= tokens) {
      rooms.pop();
    }
    rooms.push({ atMs, tokens });
    if (rooms.length <= MAX_HISTORY) return;
    // The later time with the smaller room only makes refunds smaller.
    const [first, second] = rooms as [TimedTokens, TimedTokens];
    rooms.splice(0, 2, { atMs: second.atMs, tokens: first.tokens });
  }

  function noteTake(tokens: number, nowMs: number): void {
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
  function refund(tokens: number, takenAtMs: number): number {
    let room = getRoom();
    for (const entry of rooms) {
      if (entry.atMs > takenAtMs) room = Math.min(room, entry.tokens);
    }
    const given = Math.min(tokens, room);
    if (given <= 0) return 0;
    level += given;
    const older = rooms.filter((entry) => entry.atMs <= takenAtMs);
    const newer = rooms.filter((entry) => entry.atMs > takenAtMs);
    for (const entry of newer) entry.tokens -= given;
    const least = newer[0]?.tokens ?? Infinity;
    rooms = [...older.filter((entry) => entry.tokens < least), ...newer];
    return given;
  }

  function addLoan(tokens: number, untilMs: number): void {
    if (tokens <= 0) return;
    lent += tokens;
    const at = loans.findIndex((loan) => loan.atMs > untilMs);
    const entry = { atMs: untilMs, tokens };
    if (at < 0) loans.push(entry);
    else loans.splice(at, 0, entry);
  }

  function setLimits(limits: Limits, nowMs: number): void {
    advance(nowMs);
    noteRoom(nowMs);
    rate = limits.rate;
    burst = limits.burst;
    level = Math.max(0, Math.min(level, burst - lent));
  }

  return {
    tryTake(tokens, nowMs) {
      advance(nowMs);
      if (level + EPSILON < tokens) return false;
      noteRoom(nowMs);
      noteTake(tokens, nowMs);
      level = Math.max(0, level - tokens);
      return true;
    },
    tryLend(tokens, untilMs, nowMs) {
      advance(nowMs);
      if (level + EPSILON < tokens) return false;
      noteRoom(nowMs);
      level = Math.max(0, level - tokens);
      addLoan(tokens, untilMs);
      return true;
    },
    settleLoan(tokens, untilMs, nowMs) {
      advance(nowMs);
      noteRoom(nowMs);
      let left = tokens;
      for (const loan of loans) {
        if (loan.atMs !== untilMs) continue;
        const part = Math.min(left, loan.tokens);
        loan.tokens -= part;
        lent = Math.max(0, lent - part);
        left -= part;
      }
      loans = loans.filter((loan) => loan.tokens > 0);
    },
    giveBack(tokens, nowMs, takenAtMs) {
      advance(nowMs);
      if (takenAtMs !== undefined) return refund(tokens, takenAtMs);
      // Unknown takes count as the oldest ones, which never refunds too much.
      let left = tokens;
      let given = 0;
      while (left > 0 && takes.length > 0) {
        const take = takes[0]!;
        const part = Math.min(left, take.tokens);
        if (take.atMs >= nowMs - horizonMs) given += refund(part, take.atMs);
        take.tokens -= part;
        left -= part;
        if (take.tokens <= 0) takes.shift();
      }
      return given;
    },
    setLimits,
    addPart(limits, part, nowMs) {
      advance(nowMs);
      noteRoom(nowMs);
      rate += limits.rate;
      burst += limits.burst;
      if (part.lentUntilMs > nowMs) addLoan(part.lent, part.lentUntilMs);
      level = Math.max(0, Math.min(level + part.level, burst - lent));
    },
    removePart(limits, nowMs) {
      advance(nowMs);
      noteRoom(nowMs);
      const fraction = burst > 0 ? Math.min(1, limits.burst / burst) : 0;
      const part = {
        level: Math.min(level * fraction, limits.burst),
        lent: lent * fraction,
        lentUntilMs: loans[loans.length - 1]?.atMs ?? nowMs,
      };
      loans = loans.map((loan) => ({
        atMs: loan.atMs,
        tokens: loan.tokens * (1 - fraction),
      }));
      lent *= 1 - fraction;
      level *= 1 - fraction;
      rate = Math.max(0, rate - limits.rate);
      burst = Math.max(0, burst - limits.burst);
      level = Math.max(0, Math.min(level, burst - lent));
      return part;
    },
    holdEmpty(untilMs, nowMs) {
      advance(nowMs);
      noteRoom(nowMs);
      level = 0;
      addLoan(Math.max(0, burst - lent), untilMs);
    },
    getLevel(nowMs) {
      advance(nowMs);
      return level;
    },
    getCapacity(nowMs) {
      advance(nowMs);
      return Math.max(0, burst - lent);
    },
    getLimits: () => ({ rate, burst }),
    setHorizon(ms) {
      horizonMs = ms;
    },
  };
}
