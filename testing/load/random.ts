/** Random numbers that a seed repeats. */
import * as Crypto from "node:crypto";

/** Uniform numbers from 0 to below 1. */
export type Random = () => number;

/** A seed to print and to use again. */
export function createSeed(): number {
  return Crypto.randomInt(2 ** 31);
}

/** Creates a generator (mulberry32). */
export function createRandom(seed: number): Random {
  let state = seed | 0;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
