/**
 * Link budgets of forwarded requests. Guarantee: tokens for bytes that cross a
 * link between regions are acquired before the bytes are forwarded, in both
 * directions.
 *
 * The size of a response is unknown until it has arrived. Tokens for the mean
 * size are therefore acquired before the request is sent, and tokens for further
 * bytes while the response arrives. A response that has started is slowed down,
 * never rejected; it is aborted at the request's deadline.
 *
 * Limitation: when many responses exceed the mean by far at the same time, each
 * may cross the link up to the size of its connection's buffers.
 */
import type * as Contracts from "../contracts.ts";

/** Tokens are acquired in batches that are small compared with a second's budget, so that concurrent responses share the link. */
const MAX_BATCH_BYTES = 16 * 1024;
const MIN_BATCH_BYTES = 256;
/** Assumed size of a request's line and headers. */
const REQUEST_HEADER_BYTES = 1_024;
/** Weight of the newest response in the mean size. */
const NEWEST_SAMPLE_WEIGHT = 0.1;
/** Assumed mean before the first response: a small JSON body. */
const INITIAL_MEAN_BYTES = 2_048;

/** Mean sizes in bytes of the responses over each link. */
export interface ResponseSizes {
  record(key: Contracts.BudgetKey, bytes: number): void;
  getMean(key: Contracts.BudgetKey): number;
}

/** Creates response sizes without samples. */
export function createResponseSizes(): ResponseSizes {
  const means = new Map<Contracts.BudgetKey, number>();
  const getMean = (key: Contracts.BudgetKey) =>
    means.get(key) ?? INITIAL_MEAN_BYTES;
  return {
    getMean,
    record(key, bytes) {
      const mean = getMean(key);
      means.set(key, mean + (bytes - mean) * NEWEST_SAMPLE_WEIGHT);
    },
  };
}

/** Acquires link tokens, one per byte, for one exchange. */
export interface LinkMeter {
  /** Acquires tokens for the request and for a response of mean size; false when the link has none within `waitMs`. */
  acquireForRequest(bodyBytes: number, waitMs: number): Promise<boolean>;
  /** Waits for tokens for a chunk of the response; rejects when none are available before the deadline. */
  acquireForResponse(bytes: number): Promise<void>;
  /** Ends the exchange: refunds tokens for response bytes that were not received, and records the response's size. */
  settle(): void;
}

/** Creates the meter for requests from one region to targets in another; undefined within a region. */
export function tryCreateLinkMeter(
  budgets: Contracts.Budgets,
  sizes: ResponseSizes,
  service: string,
  callerRegion: string,
  targetRegion: string,
  getRemainingMs: () => number,
): LinkMeter | undefined {
  if (callerRegion === targetRegion) return undefined;
  const inKey = `link/${service}/${targetRegion}/in`;
  const outKey = `link/${service}/${targetRegion}/out`;
  let prepaidBytes = 0;
  let responseBytes = 0;

  /** At most half the local burst: a batch above the burst could never be acquired without a loan. */
  function getBatchBytes(key: Contracts.BudgetKey): number {
    const halfBurstBytes = Math.floor(budgets.getAllocation(key).burst / 2);
    return Math.max(MIN_BATCH_BYTES, Math.min(MAX_BATCH_BYTES, halfBurstBytes));
  }

  async function acquireBytes(
    key: string,
    bytes: number,
    getWaitMs: () => number,
    onAcquired: (batchBytes: number) => void = () => {},
  ): Promise<boolean> {
    let remainingBytes = bytes;
    while (remainingBytes > 0) {
      const batchBytes = Math.min(remainingBytes, getBatchBytes(key));
      remainingBytes -= batchBytes;
      const isAcquired = budgets.tryAcquire(key, batchBytes) ||
        (await budgets.acquire(key, batchBytes, getWaitMs())).isOk();
      if (!isAcquired) return false;
      onAcquired(batchBytes);
    }
    return true;
  }

  function acquireMeanResponse(waitMs: number): Promise<boolean> {
    const meanBytes = sizes.getMean(outKey);
    return acquireBytes(
      outKey,
      meanBytes,
      () => waitMs,
      (batchBytes) => prepaidBytes += batchBytes,
    );
  }

  return {
    async acquireForRequest(bodyBytes, waitMs) {
      const isAcquired = await acquireMeanResponse(waitMs) &&
        await acquireBytes(
          inKey,
          REQUEST_HEADER_BYTES + bodyBytes,
          () => waitMs,
        );
      if (!isAcquired) this.settle();
      return isAcquired;
    },
    async acquireForResponse(bytes) {
      responseBytes += bytes;
      const coveredBytes = Math.min(prepaidBytes, bytes);
      prepaidBytes -= coveredBytes;
      if (!await acquireBytes(outKey, bytes - coveredBytes, getRemainingMs)) {
        throw new Error("no link tokens are available before the deadline");
      }
    },
    settle() {
      if (prepaidBytes > 0) budgets.refund(outKey, prepaidBytes);
      prepaidBytes = 0;
      if (responseBytes > 0) sizes.record(outKey, responseBytes);
      responseBytes = 0;
    },
  };
}
