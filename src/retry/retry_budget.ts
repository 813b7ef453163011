/**
 * Retry budget per service. Promise: the retries of the last 10 s are at most 10%
 * of the requests of the last 10 s, or a small fixed number where that is more,
 * so that retries can't multiply the load of a service that is failing. A
 * platform that states a limit for the whole fleet replaces both figures: each
 * instance keeps to that share of its own requests and to its part of the rest.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";

const BUCKET_MS = 1_000;
const BUCKETS = 10;
const RETRY_SHARE = 0.1;
/** Lets a quiet service retry after a single failure. */
const MIN_RETRIES_PER_WINDOW = 5;

interface Bucket {
  /** Number of the second that it counts. */
  second: number;
  requests: number;
  retries: number;
}

/** A limit over all instances together, as this instance has to keep it. */
export interface FleetLimit {
  /** Retries as a share of this instance's requests. */
  readonly share: number;
  /** Length of the window, whole seconds in ms. */
  readonly windowMs: number;
  /** Retries in a window beyond that share; this instance's part of the fleet's. */
  readonly getExtra: () => number;
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
    return requests * fleetLimit.share + fleetLimit.getExtra();
  }

  const services = new Map<Types.Service, Bucket[]>();

  function getSecond(): number {
    return Math.floor(opts.clock.nowMs() / BUCKET_MS);
  }

  function getBuckets(service: Types.Service): Bucket[] {
    const known = services.get(service);
    if (known !== undefined) return known;
    const created = Array.from(
      { length: bucketCount },
      () => ({ second: -Infinity, requests: 0, retries: 0 }),
    );
    services.set(service, created);
    return created;
  }

  function getCurrent(buckets: Bucket[], second: number): Bucket {
    const place = second % bucketCount;
    const known = buckets[place];
    if (known?.second === second) return known;
    const fresh = { second, requests: 0, retries: 0 };
    buckets[place] = fresh;
    return fresh;
  }

  function tryRetry(service: Types.Service, part = 1): boolean {
    const second = getSecond();
    const buckets = getBuckets(service);
    const recent = buckets.filter((each) => each.second > second - bucketCount);
    const requests = recent.reduce((sum, each) => sum + each.requests, 0);
    const retries = recent.reduce((sum, each) => sum + each.retries, 0);
    if (retries + 1 > getAllowed(requests) * part) return false;
    getCurrent(buckets, second).retries++;
    return true;
  }

  return {
    recordRequest(service) {
      getCurrent(getBuckets(service), getSecond()).requests++;
    },
    tryAcquireRetry: tryRetry,
  };
}
