/** Measured times: the way to each region, and how long targets take for a route. */
import type * as Types from "../types.ts";

/** Weight of the newest answer in a mean. */
const MEAN_WEIGHT = 0.05;
/** The shortest way is forgotten slowly, so that a route that got longer is noticed. */
const DRIFT = 1.01;
/** A first object run takes about this many times as long as one that was served lately. */
const FIRST_RUN_FACTOR = 3;
/** Answers that are apart by more than this factor are of different kinds. */
const SPLIT_FACTOR = Math.sqrt(FIRST_RUN_FACTOR);
/** A way that was not measured yet is taken as one between regions, ms. */
const UNKNOWN_WAY_MS = 60;

/** Measured times in ms. */
export interface Timings {
  /** A connection to a target of the region took so long: one round trip. */
  recordConnect(region: Types.Region, ms: number): void;
  /** Round trip to the region. */
  getRoundTripMs(region: Types.Region): number;
  /**
   * A target answered `ms` after the request left, without the way. `isWarm`: it is
   * known that the target served the object lately; otherwise the time itself tells,
   * as soon as there is something to compare it with. Returns whether it was fast.
   */
  recordResponse(
    route: string,
    isWarm: boolean,
    ms: number,
  ): boolean | undefined;
  /** Mean time at a target; `isWarm`: the target served the object lately. */
  getServiceMs(
    route: string,
    isWarm: boolean,
    fallbackMs: number,
  ): number;
  /** What a first run takes beyond other runs; as much as usual when nothing was measured. */
  getMissCostMs(route: string, fallbackMs: number): number;
}

/** Creates empty measurements. */
export function createTimings(): Timings {
  const ways = new Map<Types.Region, number>();
  const routes = new Map<string, RouteTimes>();

  function get(route: string): RouteTimes {
    const known = routes.get(route);
    if (known !== undefined) return known;
    const created = { warm: undefined, first: undefined, unsorted: undefined };
    routes.set(route, created);
    return created;
  }

  /** After a restart nothing tells a first run from another until an object comes again. */
  function sort(times: RouteTimes): void {
    const { unsorted, warm } = times;
    if (unsorted === undefined || warm === undefined) return;
    times.unsorted = undefined;
    if (unsorted > warm * SPLIT_FACTOR) times.first = unsorted;
  }

  function getServiceMs(
    route: string,
    isWarm: boolean,
    fallbackMs: number,
  ): number {
    const { first, unsorted, warm } = get(route);
    if (unsorted !== undefined) {
      // Of either kind: the geometric mean bounds the error on both sides.
      return isWarm ? unsorted / SPLIT_FACTOR : unsorted * SPLIT_FACTOR;
    }
    if (isWarm) return warm ?? fallbackMs;
    return first ??
      (warm === undefined ? fallbackMs : warm * FIRST_RUN_FACTOR);
  }

  return {
    recordConnect(region, ms) {
      const known = ways.get(region);
      ways.set(region, known === undefined ? ms : Math.min(ms, known * DRIFT));
    },
    getRoundTripMs: (region) => ways.get(region) ?? UNKNOWN_WAY_MS,
    recordResponse(route, isWarm, ms) {
      const times = get(route);
      if (isWarm) {
        times.warm = getMean(times.warm, ms);
        sort(times);
        return true;
      }
      if (times.warm === undefined) {
        times.unsorted = getMean(times.unsorted, ms);
        return undefined;
      }
      const isFast = ms < times.warm * SPLIT_FACTOR;
      if (isFast) times.warm = getMean(times.warm, ms);
      else times.first = getMean(times.first, ms);
      return isFast;
    },
    getServiceMs,
    getMissCostMs(route, fallbackMs) {
      const { first, unsorted, warm } = get(route);
      const isKnown = (first ?? unsorted ?? warm) !== undefined;
      if (!isKnown) return fallbackMs * (FIRST_RUN_FACTOR - 1);
      const extraMs = getServiceMs(route, false, fallbackMs) -
        getServiceMs(route, true, fallbackMs);
      return Math.max(0, extraMs);
    },
  };
}

/** Mean times at the targets of a route, ms. */
interface RouteTimes {
  warm: number | undefined;
  first: number | undefined;
  /** Of answers that were not yet told apart. */
  unsorted: number | undefined;
}

function getMean(known: number | undefined, ms: number): number {
  return known === undefined ? ms : known + MEAN_WEIGHT * (ms - known);
}
