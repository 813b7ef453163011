/**
 * Estimates how fast waiting entries start. Promise: an estimate is based on
 * the last second of the present busy period, so that a slow period in the past
 * refuses nobody now; before enough starts it is unknown. The window is a time
 * and not a number of starts because slots often become free in groups.
 */

const HALF_WINDOW_MS = 500;
/** Starts below which the rate is unknown. */
const MIN_STARTS = 8;

/** Rate of starts from a queue. */
export interface ServiceRate {
  /** The queue got its first entry. */
  beginBusy(now: number): void;
  countStart(now: number): void;
  /** Mean ms between starts; undefined while unknown. */
  tryGetIntervalMs(now: number): number | undefined;
}

/** Creates an estimate without history. */
export function createServiceRate(): ServiceRate {
  let beganMs = 0;
  let starts = 0;
  let prevMs = 0;
  let prevStarts = 0;

  function rotate(now: number): void {
    const elapsedMs = now - beganMs;
    if (elapsedMs < HALF_WINDOW_MS) return;
    prevMs = elapsedMs;
    prevStarts = starts;
    beganMs = now;
    starts = 0;
  }

  return {
    beginBusy(now) {
      beganMs = now;
      starts = 0;
      prevMs = 0;
      prevStarts = 0;
    },
    countStart(now) {
      rotate(now);
      starts++;
    },
    tryGetIntervalMs(now) {
      rotate(now);
      const elapsedMs = now - beganMs + prevMs;
      const total = starts + prevStarts;
      // A stall says nothing about the rate after it: requests that could run
      // once the slots are free again must not be refused for it.
      return total < MIN_STARTS ? undefined : elapsedMs / total;
    },
  };
}
