/**
 * Client accounts' limits, divided over the instances by where the account's
 * requests arrive. Load pattern: an account's callers are spread unevenly over
 * the instances and move between them, now and then at several times its rate.
 *
 * Each instance tells the others how many requests a second it gets of each
 * account, and takes the share of the limit that its own count has in the sum.
 * Shares add up to the limit as long as all see the same counts. Where they may
 * not, because a peer is silent, a share only shrinks.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

/** Counts follow a change within about this time. */
const DEMAND_TIME_CONSTANT_MS = 1_500;
/** Part of an even share that an instance keeps without requests, for the first ones that come. */
const MIN_SHARE_OF_EVEN = 0.25;
/** Counts of a peer older than this do not let a share grow. */
const FRESH_MS = 1_200;
/** A peer that was silent this long has lost its lease and its callers. */
const FORGET_MS = 15_000;
/** Tokens of a new instance, as a part of its burst: its forerunner may just have spent the rest. */
const START_FILL = 0.25;
/** A burst below this would refuse the second of two requests that arrive together. */
const MIN_BURST = 2;
/** Longest advice to a refused caller, ms; callers wait at most a third of their deadline. */
const MAX_RETRY_AFTER_MS = 1_000;

/** Requests a second of each account at one instance. */
export type Demands = Readonly<Record<Types.Account, number>>;

/** Divided account limits. */
export interface Quota {
  setConfig(config: GatewayTypes.RouteConfig): void;
  /** Takes one request of the account's share; otherwise the ms after which there may be one. */
  take(
    account: GatewayTypes.AccountSpec,
  ): "taken" | { readonly retryAfterMs: number };
  /** Returns the token of a request that did not run. */
  giveBack(account: Types.Account): void;
  getDemands(): Demands;
  notePeer(id: Types.InstanceId, demands: Demands): void;
  /** The peer's process has ended; its share is free. */
  forgetPeer(id: Types.InstanceId): void;
}

interface Bucket {
  ratePerS: number;
  burst: number;
  share: number;
  tokens: number;
  updatedAtMs: number;
  /** Requests a second, as a moving average. */
  demand: number;
}

interface PeerReport {
  readonly demands: Demands;
  readonly atMs: number;
}

/** Creates the division; `getInstanceCount` counts this instance too. */
export function createQuota(opts: {
  readonly clock: Clock.Clock;
  readonly getInstanceCount: () => number;
}): Quota {
  const { clock } = opts;
  const buckets = new Map<Types.Account, Bucket>();
  const reports = new Map<Types.InstanceId, PeerReport>();

  /** Share by counts: every instance gets at least a part of an even one. */
  function computeShare(account: Types.Account, bucket: Bucket): number {
    const count = Math.max(opts.getInstanceCount(), reports.size + 1);
    const floor = Math.max(bucket.ratePerS, 1) * MIN_SHARE_OF_EVEN / count;
    let sum = Math.max(bucket.demand, floor);
    const own = sum;
    for (const { demands } of reports.values()) {
      sum += Math.max(demands[account] ?? 0, floor);
    }
    // Instances that have not reported yet count as even ones.
    sum += (count - 1 - reports.size) * floor / MIN_SHARE_OF_EVEN;
    return own / sum;
  }

  function isComplete(): boolean {
    const now = clock.nowMs();
    if (reports.size + 1 < opts.getInstanceCount()) return false;
    for (const { atMs } of reports.values()) {
      if (now - atMs > FRESH_MS) return false;
    }
    return true;
  }

  function getBurst(bucket: Bucket): number {
    return Math.max(bucket.burst * bucket.share, MIN_BURST);
  }

  function refresh(bucket: Bucket): void {
    const now = clock.nowMs();
    const elapsedMs = now - bucket.updatedAtMs;
    if (elapsedMs <= 0) return;
    bucket.updatedAtMs = now;
    const refill = bucket.ratePerS * bucket.share * elapsedMs / 1_000;
    bucket.tokens = Math.min(getBurst(bucket), bucket.tokens + refill);
    bucket.demand *= Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
  }

  function updateShare(account: Types.Account, bucket: Bucket): void {
    const next = computeShare(account, bucket);
    bucket.share = isComplete() ? next : Math.min(bucket.share, next);
    bucket.tokens = Math.min(bucket.tokens, getBurst(bucket));
  }

  function updateShares(): void {
    const now = clock.nowMs();
    for (const [id, { atMs }] of reports) {
      if (now - atMs > FORGET_MS) reports.delete(id);
    }
    for (const [account, bucket] of buckets) {
      refresh(bucket);
      updateShare(account, bucket);
    }
  }

  return {
    setConfig(config) {
      for (const name of buckets.keys()) {
        if (!config.accounts.has(name)) buckets.delete(name);
      }
      for (const { name, ratePerS, burst } of config.accounts.values()) {
        const known = buckets.get(name);
        if (known !== undefined) {
          refresh(known);
          Object.assign(known, { ratePerS, burst });
          known.tokens = Math.min(known.tokens, getBurst(known));
          continue;
        }
        const share = 1 / Math.max(1, opts.getInstanceCount());
        buckets.set(name, {
          ratePerS,
          burst,
          share,
          tokens: Math.max(MIN_BURST, burst * share * START_FILL),
          updatedAtMs: clock.nowMs(),
          demand: 0,
        });
      }
    },
    take(account) {
      const bucket = buckets.get(account.name);
      if (bucket === undefined || bucket.ratePerS <= 0) return "taken";
      refresh(bucket);
      bucket.demand += 1_000 / DEMAND_TIME_CONSTANT_MS;
      if (bucket.tokens >= 1) {
        bucket.tokens--;
        return "taken";
      }
      const missingMs = (1 - bucket.tokens) * 1_000 /
        Math.max(bucket.ratePerS * bucket.share, 0.1);
      return { retryAfterMs: Math.min(missingMs, MAX_RETRY_AFTER_MS) };
    },
    giveBack(account) {
      const bucket = buckets.get(account);
      if (bucket === undefined) return;
      bucket.tokens = Math.min(getBurst(bucket), bucket.tokens + 1);
    },
    getDemands() {
      updateShares();
      const demands: Record<string, number> = {};
      for (const [account, { demand }] of buckets) {
        if (demand >= 0.05) demands[account] = Math.round(demand * 100) / 100;
      }
      return demands;
    },
    notePeer(id, demands) {
      reports.set(id, { demands, atMs: clock.nowMs() });
    },
    forgetPeer(id) {
      reports.delete(id);
    },
  };
}
