/**
 * First runs of objects. Load pattern: at the start of traffic, or after targets
 * were lost, many requests for the same few objects arrive before any was served;
 * run side by side, each takes as long as a first run, about three times as long
 * as after it. One request for an object goes ahead at a target; those that come
 * meanwhile wait for its end, when they run fast.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import type * as Cancellation from "./cancellation.ts";

/** A first run that takes this much longer than expected is not waited for any more. */
const PATIENCE_FACTOR = 5;
const MIN_REMAINING_MS = 20;

/** First runs on their way. */
export interface Warmups {
  /** Expected time until the object's first run at the target ends; undefined when none is on its way. */
  tryGetRemainingMs(
    objectKey: string,
    target: Types.TargetId,
  ): number | undefined;
  /** A first run begins; call the result when it has ended, however it did. */
  start(
    objectKey: string,
    target: Types.TargetId,
    expectedMs: number,
  ): () => void;
  /** Resolves when the first run has ended, or the request is cancelled, or `maxMs` have passed. */
  wait(
    objectKey: string,
    target: Types.TargetId,
    maxMs: number,
    cancellation: Cancellation.Cancellation,
  ): Promise<void>;
}

interface FirstRun {
  readonly startedAtMs: number;
  readonly expectedMs: number;
  readonly waiting: Set<() => void>;
}

/** Creates an empty set. */
export function createWarmups(clock: Clock.Clock): Warmups {
  const runs = new Map<string, FirstRun>();
  const getKey = (objectKey: string, target: Types.TargetId) =>
    `${objectKey} ${target}`;

  return {
    tryGetRemainingMs(objectKey, target) {
      const run = runs.get(getKey(objectKey, target));
      if (run === undefined) return undefined;
      const elapsedMs = clock.nowMs() - run.startedAtMs;
      if (elapsedMs > run.expectedMs * PATIENCE_FACTOR) return undefined;
      return Math.max(run.expectedMs - elapsedMs, MIN_REMAINING_MS);
    },
    start(objectKey, target, expectedMs) {
      const key = getKey(objectKey, target);
      if (runs.has(key)) return () => {};
      const run: FirstRun = {
        startedAtMs: clock.nowMs(),
        expectedMs,
        waiting: new Set(),
      };
      runs.set(key, run);
      return () => {
        if (runs.get(key) === run) runs.delete(key);
        for (const wake of run.waiting) wake();
      };
    },
    wait(objectKey, target, maxMs, cancellation) {
      const run = runs.get(getKey(objectKey, target));
      if (run === undefined || cancellation.isCancelled()) {
        return Promise.resolve();
      }
      return new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          run.waiting.delete(wake);
          cancellation.removeListener(wake);
          resolve();
        };
        const timer = setTimeout(wake, maxMs);
        run.waiting.add(wake);
        cancellation.addListener(wake);
      });
    },
  };
}
