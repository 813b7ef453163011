/**
 * Measures the network latency to each region and the service time of each
 * route's cache hits and misses.
 */
import type * as Types from "../types.ts";

/** Weight of the newest response in a moving average. */
const MEAN_WEIGHT = 0.05;
/**
 * Growth of the shortest known round trip with each measurement, so that a
 * longer network route is noticed.
 */
const ROUND_TRIP_GROWTH = 1.01;
/** Service time of a cache miss relative to a cache hit, before both were measured. */
const MISS_FACTOR = 3;
/** A response that takes this many times the mean of the cache hits counts as a cache miss. */
const SPLIT_FACTOR = Math.sqrt(MISS_FACTOR);
/** Round trip that is assumed before the first measurement, ms: typical between two regions. */
const DEFAULT_ROUND_TRIP_MS = 60;

/** Measured times in ms. */
export interface Timings {
  /** Records that a connection to a target of the region took `ms`, which is one round trip. */
  recordConnect(region: Types.Region, ms: number): void;
  /** Network round trip to the region, ms. */
  getRoundTripMs(region: Types.Region): number;
  /**
   * Records a response after `ms` of service time, network latency excluded.
   * `isCached` says that the affinity key is known to be cached at the target.
   * Otherwise the service time decides whether the request was a cache hit, which
   * needs the mean of earlier cache hits. Returns true for a hit, false for a miss
   * and undefined when that mean is missing.
   */
  recordResponse(
    route: string,
    isCached: boolean,
    ms: number,
  ): boolean | undefined;
  /**
   * Mean service time of a cache hit (`isCached`) or a cache miss, ms;
   * `fallbackMs` before the first measurement.
   */
  getServiceMs(
    route: string,
    isCached: boolean,
    fallbackMs: number,
  ): number;
  /**
   * Service time that a cache miss takes beyond a cache hit, ms; derived from
   * `fallbackMs` before the first measurement.
   */
  getMissCostMs(route: string, fallbackMs: number): number;
}

/** Creates timings without measurements. */
export function createTimings(): Timings {
  const roundTrips = new Map<Types.Region, number>();
  const routes = new Map<string, RouteTimes>();

  function getTimes(route: string): RouteTimes {
    const existing = routes.get(route);
    if (existing !== undefined) return existing;
    const created = {
      hit: undefined,
      miss: undefined,
      unclassified: undefined,
    };
    routes.set(route, created);
    return created;
  }

  /**
   * Classifies the mean of the responses that came before the first known cache
   * hit. After a restart, hits and misses can't be told apart until a request
   * repeats an affinity key.
   */
  function classifyMean(times: RouteTimes): void {
    const { unclassified, hit } = times;
    if (unclassified === undefined || hit === undefined) return;
    times.unclassified = undefined;
    if (unclassified > hit * SPLIT_FACTOR) times.miss = unclassified;
  }

  function getServiceMs(
    route: string,
    isCached: boolean,
    fallbackMs: number,
  ): number {
    const { miss, unclassified, hit } = getTimes(route);
    if (unclassified !== undefined) {
      // The mean may be of hits, of misses or of both; the geometric mean of the
      // two extremes bounds the error on both sides.
      return isCached
        ? unclassified / SPLIT_FACTOR
        : unclassified * SPLIT_FACTOR;
    }
    if (isCached) return hit ?? fallbackMs;
    return miss ??
      (hit === undefined ? fallbackMs : hit * MISS_FACTOR);
  }

  return {
    recordConnect(region, ms) {
      const shortest = roundTrips.get(region);
      roundTrips.set(
        region,
        shortest === undefined
          ? ms
          : Math.min(ms, shortest * ROUND_TRIP_GROWTH),
      );
    },
    getRoundTripMs: (region) => roundTrips.get(region) ?? DEFAULT_ROUND_TRIP_MS,
    recordResponse(route, isCached, ms) {
      const times = getTimes(route);
      if (isCached) {
        times.hit = getNextMean(times.hit, ms);
        classifyMean(times);
        return true;
      }
      if (times.hit === undefined) {
        times.unclassified = getNextMean(times.unclassified, ms);
        return undefined;
      }
      const isHit = ms < times.hit * SPLIT_FACTOR;
      if (isHit) times.hit = getNextMean(times.hit, ms);
      else times.miss = getNextMean(times.miss, ms);
      return isHit;
    },
    getServiceMs,
    getMissCostMs(route, fallbackMs) {
      const { miss, unclassified, hit } = getTimes(route);
      const isMeasured = (miss ?? unclassified ?? hit) !== undefined;
      if (!isMeasured) return fallbackMs * (MISS_FACTOR - 1);
      const missCostMs = getServiceMs(route, false, fallbackMs) -
        getServiceMs(route, true, fallbackMs);
      return Math.max(0, missCostMs);
    },
  };
}

/** Mean service times at the targets of a route, ms. */
interface RouteTimes {
  /** Mean of the cache hits. */
  hit: number | undefined;
  /** Mean of the cache misses. */
  miss: number | undefined;
  /** Mean of the responses before the first known cache hit, which may be hits or misses. */
  unclassified: number | undefined;
}

function getNextMean(mean: number | undefined, ms: number): number {
  return mean === undefined ? ms : mean + MEAN_WEIGHT * (ms - mean);
}
