/**
 * Tracks which targets have which affinity keys cached.
 *
 * Load pattern: a region has hundreds of affinity keys and dozens of instances,
 * each of which sees one key about once in 30 seconds. An instance that just
 * started has seen no requests, although the targets have their keys cached.
 *
 * Without an observation of its own, an instance estimates the probability of a
 * cache hit from the outcomes for other affinity keys at candidates of the same
 * rank.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";

/**
 * Time for which an affinity key is assumed to stay cached; a target caches a
 * bounded number of keys and may evict it later.
 */
const CACHED_MS = 10_000;
/** Remembered pairs of affinity key and target; about 150 bytes each. */
const MAX_PAIRS = 20_000;

/** What this instance knows of the targets' caches. */
export interface CacheState {
  /** Records that the target served the affinity key just now, and so has it cached. */
  recordCached(affinityKey: string, target: Types.TargetId): void;
  /** Returns true when this instance saw the target serve the affinity key lately. */
  isCached(affinityKey: string, target: Types.TargetId): boolean;
  /**
   * Probability of a cache hit at a candidate of this rank for which there is
   * no observation, 0 to 1.
   */
  getHitChance(rank: number): number;
  /**
   * Records whether a request to a candidate of this rank, for which there was no
   * observation, was a cache hit.
   */
  recordOutcome(rank: number, wasHit: boolean): void;
}

/**
 * Hit probability by rank before the first outcomes. An instance that starts
 * together with the fleet finds nothing cached; an instance that restarts finds
 * most keys cached at the first ranks.
 */
const INITIAL_CHANCES: readonly number[] = [0.4, 0.2, 0.1, 0.1];
/** Lower limit of the weight of the newest outcome in an estimate; the first outcomes weigh more. */
const MIN_OUTCOME_WEIGHT = 0.03;

interface Estimate {
  /** Share of cache hits, 0 to 1. */
  hitShare: number;
  outcomes: number;
}

/** Creates a cache state without observations. */
export function createCacheState(clock: Clock.Clock): CacheState {
  /** Monotonic ms of the last response for each pair, oldest first. */
  const servedAtMs = new Map<string, number>();

  const estimates: readonly Estimate[] = INITIAL_CHANCES.map((hitShare) => ({
    hitShare,
    outcomes: 0,
  }));

  return {
    getHitChance: (rank) => estimates[rank]?.hitShare ?? 0,
    recordOutcome(rank, wasHit) {
      const estimate = estimates[rank];
      if (estimate === undefined) return;
      estimate.outcomes++;
      const weight = Math.max(MIN_OUTCOME_WEIGHT, 1 / (estimate.outcomes + 1));
      estimate.hitShare += weight * ((wasHit ? 1 : 0) - estimate.hitShare);
    },
    recordCached(affinityKey, target) {
      const pair = `${affinityKey} ${target}`;
      // Deleting the pair first moves it to the end of the iteration order.
      servedAtMs.delete(pair);
      servedAtMs.set(pair, clock.nowMs());
      if (servedAtMs.size <= MAX_PAIRS) return;
      for (const oldestPair of servedAtMs.keys()) {
        servedAtMs.delete(oldestPair);
        return;
      }
    },
    isCached(affinityKey, target) {
      const atMs = servedAtMs.get(`${affinityKey} ${target}`);
      return atMs !== undefined && clock.nowMs() - atMs < CACHED_MS;
    },
  };
}
