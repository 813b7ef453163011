/**
 * How long this instance has reached the store without a failure.
 *
 * Guarantee: `getReachableForMs` counts only time after the newest failure. A
 * peer that got the response "unreachable" thus knows that this instance waits a
 * full lease period before it takes over a shard.
 */
import type { Result } from "ts-results-es";
import type * as Clock from "../clock.ts";
import * as ResultCodes from "../result_codes.ts";

/** Codes that the store itself responds with, which shows that it was reached. */
const RESPONSE_CODES: ReadonlySet<number> = new Set([
  ResultCodes.codes.storeConflict.number,
  ResultCodes.codes.leaseLapsed.number,
  ResultCodes.codes.valueTooLarge.number,
]);

/** Reachability of the store from this instance. */
export interface StoreHealth {
  /** Awaits a store call, records its result and returns it. */
  track<T>(
    call: Promise<Result<T, ResultCodes.Failure>>,
  ): Promise<Result<T, ResultCodes.Failure>>;
  /** Ms since the first response after the newest failure; 0 when the newest call failed. */
  getReachableForMs(): number;
  /** Number of failures since the start. */
  getFailures(): number;
}

/** True when the failure is a response of the store. */
export function isStoreResponse(failure: ResultCodes.Failure): boolean {
  return RESPONSE_CODES.has(failure.code.number);
}

/** Creates the health record. More than `maxGapMs` without a response counts as a failure. */
export function createStoreHealth(
  clock: Clock.Clock,
  maxGapMs: number,
): StoreHealth {
  let upSinceMs: number | undefined;
  let lastResponseAtMs = -Infinity;
  let failures = 0;

  function recordResponse(sentAtMs: number): void {
    const isGap = sentAtMs - lastResponseAtMs > maxGapMs;
    if (upSinceMs === undefined || isGap) upSinceMs = clock.nowMs();
    lastResponseAtMs = clock.nowMs();
  }

  return {
    async track(call) {
      const sentAtMs = clock.nowMs();
      const result = await call;
      if (result.isOk() || isStoreResponse(result.error)) {
        recordResponse(sentAtMs);
      } else {
        upSinceMs = undefined;
        failures++;
      }
      return result;
    },
    getReachableForMs: () =>
      upSinceMs === undefined ? 0 : clock.nowMs() - upSinceMs,
    getFailures: () => failures,
  };
}
