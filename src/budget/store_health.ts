/**
 * How long this instance has reached the store without a failure.
 *
 * Promise: `getReachableForMs` counts only time after the newest failure, so a
 * peer that was told "unreachable" knows that this instance waits a full lease
 * period before it takes over a shard.
 */
import type { Result } from "ts-results-es";
import type * as Clock from "../clock.ts";
import * as ResultCodes from "../result_codes.ts";

/** Codes that are answers of the store, and so show that it was reached. */
const ANSWERS: ReadonlySet<number> = new Set([
  ResultCodes.codes.storeConflict.number,
  ResultCodes.codes.leaseLapsed.number,
  ResultCodes.codes.valueTooLarge.number,
]);

/** Reachability of the store from this instance. */
export interface StoreHealth {
  /** Waits for a call, notes its result and passes it on. */
  track<T>(
    call: Promise<Result<T, ResultCodes.Failure>>,
  ): Promise<Result<T, ResultCodes.Failure>>;
  /** Ms since the first answer after the newest failure; 0 when the newest call failed. */
  getReachableForMs(): number;
  /** Grows with each failure. */
  getFailures(): number;
}

/** True when the failure is an answer of the store. */
export function isAnswer(failure: ResultCodes.Failure): boolean {
  return ANSWERS.has(failure.code.number);
}

/** Creates the record of reachability. `maxGapMs` without an answer counts as a failure. */
export function createStoreHealth(
  clock: Clock.Clock,
  maxGapMs: number,
): StoreHealth {
  let sinceMs: number | undefined;
  let lastMs = -Infinity;
  let failures = 0;

  function noteAnswer(sentAtMs: number): void {
    const isGap = sentAtMs - lastMs > maxGapMs;
    if (sinceMs === undefined || isGap) sinceMs = clock.nowMs();
    lastMs = clock.nowMs();
  }

  return {
    async track(call) {
      const sentAtMs = clock.nowMs();
      const result = await call;
      if (result.isOk() || isAnswer(result.error)) {
        noteAnswer(sentAtMs);
      } else {
        sinceMs = undefined;
        failures++;
      }
      return result;
    },
    getReachableForMs: () =>
      sinceMs === undefined ? 0 : clock.nowMs() - sinceMs,
    getFailures: () => failures,
  };
}
