/**
 * Keeps concurrent cache misses for one affinity key from running side by side.
 *
 * Load pattern: when traffic starts, or after targets were lost, many requests
 * for the same few affinity keys arrive before any of them is cached. Each request
 * that runs meanwhile is a cache miss, which takes about three times as long as a
 * hit.
 *
 * The first request for an affinity key at a target is its warm-up request. Other
 * requests for the key can wait until the warm-up request ends and then run as
 * cache hits.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import type * as Cancellation from "./cancellation.ts";

/**
 * No request waits for a warm-up request that already took this many times its
 * expected duration.
 */
const OVERDUE_FACTOR = 5;
/** Lower limit of the remaining time that is reported, ms. */
const MIN_REMAINING_MS = 20;

/** Warm-up requests in flight, one for each affinity key and target. */
export interface Warmups {
  /**
   * Expected time until the warm-up request ends, ms; undefined when none is in
   * flight or it is long overdue.
   */
  tryGetRemainingMs(
    affinityKey: string,
    target: Types.TargetId,
  ): number | undefined;
  /**
   * Registers a warm-up request and returns the function that ends it, which must
   * be called whatever the result of the request is. Does nothing when a warm-up
   * request for the key and target is already in flight.
   */
  start(
    affinityKey: string,
    target: Types.TargetId,
    expectedMs: number,
  ): () => void;
  /**
   * Resolves when the warm-up request ends, the waiting request is cancelled,
   * or `maxMs` have elapsed.
   */
  wait(
    affinityKey: string,
    target: Types.TargetId,
    maxMs: number,
    cancellation: Cancellation.Cancellation,
  ): Promise<void>;
}

interface WarmupRequest {
  readonly startedAtMs: number;
  readonly expectedMs: number;
  /** Functions that resolve the waits for this request. */
  readonly waiters: Set<() => void>;
}

/** Creates an empty set of warm-up requests. */
export function createWarmups(clock: Clock.Clock): Warmups {
  const warmups = new Map<string, WarmupRequest>();
  const getPairKey = (affinityKey: string, target: Types.TargetId) =>
    `${affinityKey} ${target}`;

  return {
    tryGetRemainingMs(affinityKey, target) {
      const warmup = warmups.get(getPairKey(affinityKey, target));
      if (warmup === undefined) return undefined;
      const elapsedMs = clock.nowMs() - warmup.startedAtMs;
      if (elapsedMs > warmup.expectedMs * OVERDUE_FACTOR) return undefined;
      return Math.max(warmup.expectedMs - elapsedMs, MIN_REMAINING_MS);
    },
    start(affinityKey, target, expectedMs) {
      const pairKey = getPairKey(affinityKey, target);
      if (warmups.has(pairKey)) return () => {};
      const warmup: WarmupRequest = {
        startedAtMs: clock.nowMs(),
        expectedMs,
        waiters: new Set(),
      };
      warmups.set(pairKey, warmup);
      return () => {
        if (warmups.get(pairKey) === warmup) warmups.delete(pairKey);
        for (const endWait of warmup.waiters) endWait();
      };
    },
    wait(affinityKey, target, maxMs, cancellation) {
      const warmup = warmups.get(getPairKey(affinityKey, target));
      if (warmup === undefined || cancellation.isCancelled()) {
        return Promise.resolve();
      }
      return new Promise((resolve) => {
        const endWait = () => {
          clearTimeout(timer);
          warmup.waiters.delete(endWait);
          cancellation.removeListener(endWait);
          resolve();
        };
        const timer = setTimeout(endWait, maxMs);
        warmup.waiters.add(endWait);
        cancellation.addListener(endWait);
      });
    },
  };
}
