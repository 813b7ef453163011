/**
 * Client accounts' limits, divided over the failure domains by where the
 * account's requests arrive. Load pattern: an account's callers are spread
 * unevenly over the domains and move between them, now and then at several times
 * its rate.
 *
 * Each domain's keeper tells the others how many requests a second its domain
 * gets of each account, and takes the share of the limit that its own count has
 * in the sum. Shares add up to the limit as long as all see the same counts.
 * Where they may not, because a domain is silent, a share only shrinks.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

/** Counts follow a change within about this time. */
const DEMAND_TIME_CONSTANT_MS = 1_500;
/** Part of an even share that a domain keeps without requests, for the first ones that come. */
const MIN_SHARE_OF_EVEN = 0.25;
/** Counts of a domain older than this many reports do not let a share grow. */
const FRESH_REPORTS = 4.8;
/** A domain that was silent this long has lost its leases and its callers. */
const FORGET_MS = 15_000;
/** Tokens of a new keeper, as a part of its burst: its forerunner may just have spent the rest. */
const START_FILL = 0.25;
/**
 * A small account's part of its burst in one domain is less than one request, but
 * its requests come in groups of two or three. Each domain gets up to this burst,
 * as far as the slack of the limit has room for that of all domains.
 */
const GROUP_BURST = 4;
/** Part of the slack that is used so; the rest is for domains that see different counts. */
const SLACK_PART = 0.6;
const MIN_BURST = 1;
/** Longest advice to a refused caller, ms; callers wait at most a third of their deadline. */
const MAX_RETRY_AFTER_MS = 1_000;

/** Requests a second of each account in one domain. */
export type Demands = Readonly<Record<Types.Account, number>>;

/** What came of taking a request from an account's share. */
export type AcquireResult =
  | "taken"
  /** After this time there may be room. */
  | { readonly retryAfterMs: number };

/** Requests that were taken together, and when there may be more. */
export interface GrantedTokens {
  readonly tokens: number;
  /** 0 when something was taken, and for an unknown account. */
  readonly retryAfterMs: number;
}

/** A domain's shares of the accounts' limits. */
export interface Quota {
  setConfig(config: GatewayTypes.RouteConfig): void;
  /** Takes one request of the account's share for an instance that had `asked` new ones. */
  acquire(account: GatewayTypes.AccountSpec, asked: number): AcquireResult;
  /** The same for another instance, up to `wanted` requests; nothing for an unknown account. */
  acquireFor(name: Types.Account, asked: number, wanted: number): GrantedTokens;
  /** Returns the token of a request that did not run. */
  refund(account: Types.Account): void;
  /** Part of the fleet's limit that the domain has, 0 to 1. */
  getShare(account: Types.Account): number;
  /** Part of the domain's shares that may be spent here, 0 to 1. */
  setSpendableShare(part: number): void;
  getDemands(): Demands;
  recordDomainDemands(domain: Types.Domain, demands: Demands): void;
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

interface DomainReport {
  readonly demands: Demands;
  readonly atMs: number;
}

/** Creates the division; `getDomainCount` counts the own domain too. */
export function createQuota(opts: {
  readonly clock: Clock.Clock;
  readonly getDomainCount: () => number;
  /** Time between the reports of a domain, ms. */
  readonly getReportMs: () => number;
  /** Requests by which an account may exceed its limit now and then. */
  readonly slack: number;
}): Quota {
  const { clock } = opts;
  const buckets = new Map<Types.Account, Bucket>();
  const reports = new Map<Types.Domain, DomainReport>();
  let part = 1;
  /** All domains were heard since the start. */
  let wasComplete = false;

  function getEvenShare(): number {
    return 1 / Math.max(1, opts.getDomainCount());
  }

  /** Share by counts: every domain gets at least a part of an even one. */
  function computeShare(account: Types.Account, bucket: Bucket): number {
    const count = Math.max(opts.getDomainCount(), reports.size + 1);
    const floor = Math.max(bucket.ratePerS, 1) * MIN_SHARE_OF_EVEN / count;
    let sum = Math.max(bucket.demand, floor);
    const own = sum;
    for (const { demands } of reports.values()) {
      sum += Math.max(demands[account] ?? 0, floor);
    }
    // Domains that have not reported yet count as even ones.
    sum += (count - 1 - reports.size) * floor / MIN_SHARE_OF_EVEN;
    return own / sum;
  }

  function isComplete(): boolean {
    const now = clock.nowMs();
    if (reports.size + 1 < opts.getDomainCount()) return false;
    const freshMs = opts.getReportMs() * FRESH_REPORTS;
    for (const { atMs } of reports.values()) {
      if (now - atMs > freshMs) return false;
    }
    return true;
  }

  function getBurst(bucket: Bucket): number {
    const room = (bucket.burst + opts.slack * SLACK_PART) /
      Math.max(1, opts.getDomainCount());
    const group = Math.min(GROUP_BURST, room);
    const burst = Math.max(bucket.burst * bucket.share, group);
    return Math.max(burst * part, MIN_BURST);
  }

  function getRatePerS(bucket: Bucket): number {
    return bucket.ratePerS * bucket.share * part;
  }

  function getRetryAfterMs(bucket: Bucket): number {
    const missingMs = (1 - bucket.tokens) * 1_000 /
      Math.max(getRatePerS(bucket), 0.1);
    return Math.min(missingMs, MAX_RETRY_AFTER_MS);
  }

  /** Counts requests and takes up to `wanted` of them. */
  function takeTokens(bucket: Bucket, asked: number, wanted: number): number {
    refresh(bucket);
    bucket.demand += asked * 1_000 / DEMAND_TIME_CONSTANT_MS;
    const tokens = Math.max(0, Math.min(wanted, Math.floor(bucket.tokens)));
    bucket.tokens -= tokens;
    return tokens;
  }

  function refresh(bucket: Bucket): void {
    const now = clock.nowMs();
    const elapsedMs = now - bucket.updatedAtMs;
    if (elapsedMs <= 0) return;
    bucket.updatedAtMs = now;
    const refill = getRatePerS(bucket) * elapsedMs / 1_000;
    bucket.tokens = Math.min(getBurst(bucket), bucket.tokens + refill);
    bucket.demand *= Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
  }

  /** Until all domains were heard, the share is an even one: nothing is known that could make it smaller. */
  function updateShare(account: Types.Account, bucket: Bucket): void {
    if (isComplete()) wasComplete = true;
    const next = wasComplete ? computeShare(account, bucket) : getEvenShare();
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
        const share = getEvenShare();
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
    acquire(account, asked) {
      const bucket = buckets.get(account.name);
      if (bucket === undefined || bucket.ratePerS <= 0) return "taken";
      if (takeTokens(bucket, asked, 1) === 1) return "taken";
      return { retryAfterMs: getRetryAfterMs(bucket) };
    },
    acquireFor(name, asked, wanted) {
      const bucket = buckets.get(name);
      // The asking instance may know a newer configuration; it has a reserve.
      if (bucket === undefined) return { tokens: 0, retryAfterMs: 0 };
      if (bucket.ratePerS <= 0) return { tokens: wanted, retryAfterMs: 0 };
      const tokens = takeTokens(bucket, asked, wanted);
      const retryAfterMs = tokens > 0 ? 0 : getRetryAfterMs(bucket);
      return { tokens, retryAfterMs };
    },
    refund(account) {
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
    getShare: (account) => buckets.get(account)?.share ?? 0,
    setSpendableShare(next) {
      if (next === part) return;
      for (const bucket of buckets.values()) refresh(bucket);
      part = next;
    },
    recordDomainDemands(domain, demands) {
      reports.set(domain, { demands, atMs: clock.nowMs() });
    },
  };
}
