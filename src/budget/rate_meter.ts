/** Exponentially decayed rate of an event, for estimates only. */

const TIME_CONSTANT_MS = 2_000;

/** Counts tokens and gives their recent rate per second. */
export interface RateMeter {
  count(tokens: number, nowMs: number): void;
  getRate(nowMs: number): number;
}

/** Creates a meter that reads 0. */
export function createRateMeter(): RateMeter {
  let sum = 0;
  let atMs = 0;
  return {
    count(tokens, nowMs) {
      sum = sum * Math.exp((atMs - nowMs) / TIME_CONSTANT_MS) + tokens;
      atMs = nowMs;
    },
    getRate(nowMs) {
      const decayed = sum * Math.exp((atMs - nowMs) / TIME_CONSTANT_MS);
      return (decayed * 1000) / TIME_CONSTANT_MS;
    },
  };
}
