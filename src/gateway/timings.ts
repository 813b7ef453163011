/** Measured times: the way to each region, and how long targets take for a route. */
import type * as Types from "../types.ts";

/** Weight of the newest answer in a mean. */
const MEAN_WEIGHT = 0.05;
/** The shortest way is forgotten slowly, so that a route that got longer is noticed. */
const DRIFT = 1.01;
/** A first object run takes about this many times as long as one that was served lately. */
const FIRST_RUN_FACTOR = 3;
/** A way that was not measured yet is taken as one between regions, ms. */
const UNKNOWN_WAY_MS = 60;

/** Measured times in ms. */
export interface Timings {
  /** A connection to a target of the region took so long: one round trip. */
  noteConnect(region: Types.Region, ms: number): void;
  /** Round trip to the region. */
  getRoundTripMs(region: Types.Region): number;
  /** A target answered `ms` after the request left, without the way. */
  noteAnswer(route: string, isWarm: boolean, ms: number): void;
  /** Mean time at a target; `isWarm`: the target served the object lately. */
  getServiceMs(
    route: string,
    isWarm: boolean,
    fallbackMs: number,
  ): number;
}

/** Creates empty measurements. */
export function createTimings(): Timings {
  const ways = new Map<Types.Region, number>();
  const means = new Map<string, number>();

  function getKey(route: string, isWarm: boolean): string {
    return `${route} ${isWarm ? "warm" : "first"}`;
  }

  return {
    noteConnect(region, ms) {
      const known = ways.get(region);
      ways.set(region, known === undefined ? ms : Math.min(ms, known * DRIFT));
    },
    getRoundTripMs: (region) => ways.get(region) ?? UNKNOWN_WAY_MS,
    noteAnswer(route, isWarm, ms) {
      const key = getKey(route, isWarm);
      const known = means.get(key);
      const next = known === undefined
        ? ms
        : known + MEAN_WEIGHT * (ms - known);
      means.set(key, next);
    },
    getServiceMs(route, isWarm, fallbackMs) {
      const known = means.get(getKey(route, isWarm));
      if (known !== undefined) return known;
      const other = means.get(getKey(route, !isWarm));
      if (other === undefined) return fallbackMs;
      return isWarm ? other / FIRST_RUN_FACTOR : other * FIRST_RUN_FACTOR;
    },
  };
}
