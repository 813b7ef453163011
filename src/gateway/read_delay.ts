/**
 * Whether this instance reads its callers' connections late. Load pattern: a
 * burst beyond what the processor can take. Requests then lie unread for a
 * second, and the end of a connection lies behind its request: a caller that has
 * left long ago still looks as if it waited.
 *
 * A connection is accepted in one turn of the event loop and its first request
 * is read in the next, so the time between the two is the length of a turn.
 */
import type * as Clock from "../clock.ts";

/** Well below the half second in which a caller's leaving has to reach its target. */
const LATE_MS = 40;
/** A late turn says something about connections that were accepted before it, too. */
const LATE_FOR_MS = 2_000;
/**
 * Requests that go on in one turn. Each takes about a millisecond, two with half
 * of a core, and what ends meanwhile is read only in the next turn.
 */
const MAX_PER_TURN = 16;

/** Measures how late connections are read. */
export interface ReadDelay {
  /** The first request of a connection was read `ms` after the connection was accepted. */
  record(ms: number): void;
  /** True when a caller may have left without this instance having read it. */
  isDelayed(): boolean;
  /** Resolves, first come, first served, when everything that had arrived by now was read. */
  waitUntilRead(): Promise<void>;
}

/** Creates a measurement that starts as punctual; `onLate` hears when that changes. */
export function createReadDelay(
  clock: Clock.Clock,
  onLate: (ms: number) => void = () => {},
): ReadDelay {
  let lateAtMs = -Infinity;
  /** Since the loop last read connections. */
  let arrived: (() => void)[] = [];
  /** From before that. */
  let waiting: (() => void)[] = [];
  let isTurning = false;

  /** Runs after the loop has read. */
  function turn(): void {
    for (const goOn of waiting.splice(0, MAX_PER_TURN)) goOn();
    waiting = waiting.concat(arrived);
    arrived = [];
    isTurning = waiting.length > 0;
    if (isTurning) setImmediate(turn);
  }

  function isLate(): boolean {
    return waiting.length > 0 || clock.nowMs() - lateAtMs < LATE_FOR_MS;
  }

  return {
    record(ms) {
      if (ms <= LATE_MS) return;
      if (!isLate()) onLate(ms);
      lateAtMs = clock.nowMs();
    },
    isDelayed: isLate,
    waitUntilRead() {
      if (!isTurning) setImmediate(turn);
      isTurning = true;
      return new Promise((resolve) => arrived.push(resolve));
    },
  };
}
