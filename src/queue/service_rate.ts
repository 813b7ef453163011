/**
 * Estimates the rate at which queued entries start. The estimate covers the last
 * second or few seconds of the current busy period, so that a slow period in the
 * past causes no rejections now. It is unknown until enough entries have started.
 * The window is a duration and not a number of starts, because slots often become
 * free in groups.
 */

const MIN_HALF_WINDOW_MS = 500;
/** Slots that are filled together become free together one service time later, so each half window covers this many service times. */
const SERVICE_TIMES_PER_HALF_WINDOW = 2;
/** With fewer starts than this in the window, the rate is unknown. */
const MIN_STARTS = 8;

/** Rate at which entries of a queue start. */
export interface ServiceRate {
  /** Discards the history; call it when an entry arrives at an empty queue. */
  beginBusyPeriod(now: number): void;
  /** Counts the start of one entry. */
  recordStart(now: number): void;
  /** Mean time in ms between two starts; undefined while unknown. */
  tryGetIntervalMs(now: number): number | undefined;
}

/** Creates an estimate without history; `getServiceTimeMs` returns the mean time that a request takes. */
export function createServiceRate(getServiceTimeMs: () => number): ServiceRate {
  let windowStartAtMs = 0;
  let windowStarts = 0;
  let prevWindowMs = 0;
  let prevWindowStarts = 0;

  function getHalfWindowMs(): number {
    const groupWindowMs = getServiceTimeMs() * SERVICE_TIMES_PER_HALF_WINDOW;
    return Math.max(MIN_HALF_WINDOW_MS, groupWindowMs);
  }

  function rotate(now: number): void {
    const elapsedMs = now - windowStartAtMs;
    if (elapsedMs < getHalfWindowMs()) return;
    prevWindowMs = elapsedMs;
    prevWindowStarts = windowStarts;
    windowStartAtMs = now;
    windowStarts = 0;
  }

  return {
    beginBusyPeriod(now) {
      windowStartAtMs = now;
      windowStarts = 0;
      prevWindowMs = 0;
      prevWindowStarts = 0;
    },
    recordStart(now) {
      rotate(now);
      windowStarts++;
    },
    tryGetIntervalMs(now) {
      rotate(now);
      const elapsedMs = now - windowStartAtMs + prevWindowMs;
      const totalStarts = windowStarts + prevWindowStarts;
      // A stall does not predict the rate after it: it must not cause the rejection
      // of requests that can run once slots are free again.
      return totalStarts < MIN_STARTS ? undefined : elapsedMs / totalStarts;
    },
  };
}
