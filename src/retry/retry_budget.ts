/**
 * Retry budget per service. Guarantee: the retries of the last 10 s are at most
 * 10% of the requests of the last 10 s, or a small fixed number if that is larger,
 * so that retries cannot multiply the load of a failing service. If the platform
 * states a limit for the whole fleet, that limit replaces both figures: each
 * instance may retry the stated share of its local requests, plus its fraction of
 * the fleet's extra retries.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";

const BUCKET_MS = 1_000;
const BUCKETS = 10;
const RETRY_SHARE = 0.1;
/** Allows retries after a single failure of a service with few requests. */
const MIN_RETRIES_PER_WINDOW = 5;

interface Bucket {
  /** Number of the one-second interval that this bucket counts. */
  second: number;
  requests: number;
  retries: number;
}

/** A limit on the retries of all instances together, expressed as the limit of this instance. */
export interface FleetLimit {
  /** Retries as a share of this instance's requests. */
  readonly share: number;
  /** Length of the window in ms, a whole number of seconds. */
  readonly windowMs: number;
  /** Returns the retries per window beyond that share: this instance's fraction of the fleet's extra retries. */
  readonly getExtraRetries: () => number;
}

/** Creates a budget without history. */
export function createRetryBudget(
  opts: { readonly clock: Clock.Clock; readonly fleetLimit?: FleetLimit },
): Contracts.RetryBudget {
  const { fleetLimit } = opts;
  const bucketCount = fleetLimit === undefined
    ? BUCKETS
    : Math.max(1, Math.round(fleetLimit.windowMs / BUCKET_MS));

  function getAllowed(requests: number): number {
    if (fleetLimit === undefined) {
      return Math.max(requests * RETRY_SHARE, MIN_RETRIES_PER_WINDOW);
    }
    return requests * fleetLimit.share + fleetLimit.getExtraRetries();
  }

  const services = new Map<Types.Service, Bucket[]>();

  function getSecond(): number {
    return Math.floor(opts.clock.nowMs() / BUCKET_MS);
  }

  function getBuckets(service: Types.Service): Bucket[] {
    const existing = services.get(service);
    if (existing !== undefined) return existing;
    const created = Array.from(
      { length: bucketCount },
      () => ({ second: -Infinity, requests: 0, retries: 0 }),
    );
    services.set(service, created);
    return created;
  }

  function getCurrentBucket(buckets: Bucket[], second: number): Bucket {
    const index = second % bucketCount;
    const existing = buckets[index];
    if (existing?.second === second) return existing;
    const created = { second, requests: 0, retries: 0 };
    buckets[index] = created;
    return created;
  }

  function tryAcquireRetry(service: Types.Service, fraction = 1): boolean {
    const second = getSecond();
    const buckets = getBuckets(service);
    const recent = buckets.filter((bucket) =>
      bucket.second > second - bucketCount
    );
    const requests = recent.reduce((sum, bucket) => sum + bucket.requests, 0);
    const retries = recent.reduce((sum, bucket) => sum + bucket.retries, 0);
    if (retries + 1 > getAllowed(requests) * fraction) return false;
    getCurrentBucket(buckets, second).retries++;
    return true;
  }

  return {
    recordRequest(service) {
      getCurrentBucket(getBuckets(service), getSecond()).requests++;
    },
    tryAcquireRetry,
  };
}
