/** Exponentially decaying event rate; used for estimates only. */

const TIME_CONSTANT_MS = 2_000;

/** Counts tokens and returns their recent rate per second; times are monotonic ms. */
export interface RateMeter {
  count(tokens: number, nowMs: number): void;
  getRate(nowMs: number): number;
}

/** Creates a meter whose rate is 0. */
export function createRateMeter(): RateMeter {
  let sum = 0;
  let updatedAtMs = 0;
  return {
    count(tokens, nowMs) {
      sum = sum * Math.exp((updatedAtMs - nowMs) / TIME_CONSTANT_MS) + tokens;
      updatedAtMs = nowMs;
    },
    getRate(nowMs) {
      const decayed = sum * Math.exp((updatedAtMs - nowMs) / TIME_CONSTANT_MS);
      return (decayed * 1000) / TIME_CONSTANT_MS;
    },
  };
}
