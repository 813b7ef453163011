/**
 * Allocates the rate limits of client accounts to the failure domains, by the
 * rate at which each domain receives the account's requests. Load pattern: an
 * account's callers are spread unevenly over the domains and move between them,
 * and sometimes send several times the account's rate.
 *
 * The coordinator of each domain reports to the other domains how many requests
 * per second its domain receives for each account. A domain's share of the limit
 * is its own demand divided by the demand of all domains. The shares add up to
 * the limit as long as all domains see the same reports. While reports of a
 * domain are missing or old, a share may only shrink.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

/** Time constant of the moving average of the demand, ms. */
const DEMAND_TIME_CONSTANT_MS = 1_500;
/** Fraction of an even share that a domain without requests keeps for its first requests. */
const MIN_FRACTION_OF_EVEN_SHARE = 0.25;
/** Shares may grow only while every domain's report is younger than this many report intervals. */
const FRESH_REPORT_INTERVALS = 4.8;
/** A domain that was unresponsive for this long has lost its leases and its callers. */
const DOMAIN_EXPIRY_MS = 15_000;
/** Initial tokens as a fraction of the burst: a previous coordinator may just have spent the remaining ones. */
const INITIAL_BURST_FRACTION = 0.25;
/**
 * The share of a small account's burst in one domain is less than one request,
 * but its requests arrive in groups of two or three. Each domain gets a burst of
 * up to this many requests, as far as the slack covers the bursts of all domains.
 */
const GROUP_BURST = 4;
/** Fraction of the slack that group bursts may use; the remaining slack covers domains that see different reports. */
const GROUP_SLACK_FRACTION = 0.6;
const MIN_BURST = 1;
/** Smaller demands are not reported, requests per second. */
const MIN_REPORTED_DEMAND = 0.05;
/** Longest retry delay for a rejected caller, ms; callers wait at most a third of their deadline. */
const MAX_RETRY_AFTER_MS = 1_000;

/** Requests per second of each account in one domain. */
export type Demands = Readonly<Record<Types.Account, number>>;

/** Result of acquiring a token from an account's share. */
export type AcquireResult =
  | "acquired"
  /** No token; a retry after this delay may succeed. */
  | { readonly retryAfterMs: number };

/** Tokens acquired together, and the retry delay when there were none. */
export interface GrantedTokens {
  readonly tokens: number;
  /** 0 when tokens were granted, and for an unknown account. */
  readonly retryAfterMs: number;
}

/** The local domain's shares of the accounts' limits. */
export interface Quota {
  setConfig(config: GatewayTypes.RouteConfig): void;
  /** Acquires one token of the account's share; `newRequests` is added to the account's demand. */
  acquire(
    account: GatewayTypes.AccountSpec,
    newRequests: number,
  ): AcquireResult;
  /** Acquires up to `maxTokens` tokens for another instance; none for an unknown account. */
  acquireFor(
    account: Types.Account,
    newRequests: number,
    maxTokens: number,
  ): GrantedTokens;
  /** Refunds the token of a request that did not run. */
  refund(account: Types.Account): void;
  /** What `acquire` would find if `spendable` were the spendable share; changes nothing. Undefined for an unknown account. */
  tryPeek(account: Types.Account, spendable: number): QuotaView | undefined;
  /** The local domain's share of the fleet's limit, 0 to 1. */
  getShare(account: Types.Account): number;
  /** The account's requests of all domains relative to its limit; undefined without a limit. */
  tryGetUsage(account: Types.Account): number | undefined;
  /** Sets the fraction of the domain's shares that this instance may spend, 0 to 1. */
  setSpendableShare(share: number): void;
  /** Updates the shares and returns the demand of the local domain. */
  getDemands(): Demands;
  recordDomainDemands(domain: Types.Domain, demands: Demands): void;
}

/** An account's part of its limit at the coordinator of a domain. */
export interface QuotaView {
  /** Tokens that may be spent now. */
  readonly tokens: number;
  /** Requests per second. */
  readonly ratePerS: number;
  /** Delay after which a retry may get a token, ms; 0 while there is one. */
  readonly retryAfterMs: number;
}

interface Bucket {
  ratePerS: number;
  burst: number;
  share: number;
  tokens: number;
  updatedAtMs: number;
  /** Requests per second, as a moving average. */
  demand: number;
  /** Demand in the last report to the other domains. */
  reportedDemand: number;
}

interface DomainReport {
  readonly demands: Demands;
  readonly atMs: number;
}

/** Creates the allocation; `getDomainCount` counts the local domain too. */
export function createQuota(opts: {
  readonly clock: Clock.Clock;
  readonly getDomainCount: () => number;
  /** Interval between the reports of a domain, ms. */
  readonly getReportMs: () => number;
  /** Requests by which an account may exceed its limit in a window. */
  readonly slack: number;
}): Quota {
  const { clock } = opts;
  const buckets = new Map<Types.Account, Bucket>();
  const reports = new Map<Types.Domain, DomainReport>();
  let spendableShare = 1;
  /** True once fresh reports of all domains were present at the same time. */
  let hadAllReports = false;

  function getEvenShare(): number {
    return 1 / Math.max(1, opts.getDomainCount());
  }

  /**
   * Share by demand; every domain counts with at least a fraction of an even share.
   * The local domain counts with the demand that the others know: if each compared
   * its present demand with the earlier demands of the others, a demand that rises
   * everywhere would make the shares add up to more than the limit.
   */
  function computeShare(account: Types.Account, bucket: Bucket): number {
    const domainCount = Math.max(opts.getDomainCount(), reports.size + 1);
    const minDemand = Math.max(bucket.ratePerS, 1) *
      MIN_FRACTION_OF_EVEN_SHARE / domainCount;
    let totalDemand = Math.max(bucket.reportedDemand, minDemand);
    const localDemand = totalDemand;
    for (const { demands } of reports.values()) {
      totalDemand += Math.max(demands[account] ?? 0, minDemand);
    }
    // Domains that have not reported yet count with an even share.
    totalDemand += (domainCount - 1 - reports.size) * minDemand /
      MIN_FRACTION_OF_EVEN_SHARE;
    return localDemand / totalDemand;
  }

  function hasFreshReports(): boolean {
    const now = clock.nowMs();
    if (reports.size + 1 < opts.getDomainCount()) return false;
    const freshMs = opts.getReportMs() * FRESH_REPORT_INTERVALS;
    for (const { atMs } of reports.values()) {
      if (now - atMs > freshMs) return false;
    }
    return true;
  }

  function getBurst(bucket: Bucket): number {
    const maxGroupBurst = (bucket.burst + opts.slack * GROUP_SLACK_FRACTION) /
      Math.max(1, opts.getDomainCount());
    const groupBurst = Math.min(GROUP_BURST, maxGroupBurst);
    const burst = Math.max(bucket.burst * bucket.share, groupBurst);
    return Math.max(burst * spendableShare, MIN_BURST);
  }

  function getRatePerS(bucket: Bucket, spendable = spendableShare): number {
    return bucket.ratePerS * bucket.share * spendable;
  }

  function getRetryAfterMs(tokens: number, ratePerS: number): number {
    const waitMs = (1 - tokens) * 1_000 / Math.max(ratePerS, 0.1);
    return Math.min(waitMs, MAX_RETRY_AFTER_MS);
  }

  /** Tokens with those that have accrued `elapsedMs` after the last update. */
  function getTokens(bucket: Bucket, elapsedMs: number): number {
    const refill = getRatePerS(bucket) * elapsedMs / 1_000;
    return Math.min(getBurst(bucket), bucket.tokens + refill);
  }

  /** Adds `newRequests` to the demand and acquires up to `maxTokens` tokens. */
  function acquireTokens(
    bucket: Bucket,
    newRequests: number,
    maxTokens: number,
  ): number {
    updateBucket(bucket);
    bucket.demand += newRequests * 1_000 / DEMAND_TIME_CONSTANT_MS;
    const tokens = Math.max(0, Math.min(maxTokens, Math.floor(bucket.tokens)));
    bucket.tokens -= tokens;
    return tokens;
  }

  function updateBucket(bucket: Bucket): void {
    const now = clock.nowMs();
    const elapsedMs = now - bucket.updatedAtMs;
    if (elapsedMs <= 0) return;
    bucket.updatedAtMs = now;
    bucket.tokens = getTokens(bucket, elapsedMs);
    bucket.demand *= Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
  }

  /** Keeps the even share until all domains have reported: without their reports no share can be computed. */
  function updateShare(
    account: Types.Account,
    bucket: Bucket,
    areReportsFresh: boolean,
  ): void {
    const newShare = hadAllReports
      ? computeShare(account, bucket)
      : getEvenShare();
    bucket.share = areReportsFresh
      ? newShare
      : Math.min(bucket.share, newShare);
    bucket.tokens = Math.min(bucket.tokens, getBurst(bucket));
  }

  function updateShares(): void {
    const now = clock.nowMs();
    for (const [domain, { atMs }] of reports) {
      if (now - atMs > DOMAIN_EXPIRY_MS) reports.delete(domain);
    }
    const areReportsFresh = hasFreshReports();
    if (areReportsFresh) hadAllReports = true;
    for (const [account, bucket] of buckets) {
      updateBucket(bucket);
      updateShare(account, bucket, areReportsFresh);
    }
  }

  return {
    setConfig(config) {
      for (const name of buckets.keys()) {
        if (!config.accounts.has(name)) buckets.delete(name);
      }
      for (const { name, ratePerS, burst } of config.accounts.values()) {
        const bucket = buckets.get(name);
        if (bucket !== undefined) {
          updateBucket(bucket);
          Object.assign(bucket, { ratePerS, burst });
          bucket.tokens = Math.min(bucket.tokens, getBurst(bucket));
          continue;
        }
        const share = getEvenShare();
        buckets.set(name, {
          ratePerS,
          burst,
          share,
          tokens: Math.max(MIN_BURST, burst * share * INITIAL_BURST_FRACTION),
          updatedAtMs: clock.nowMs(),
          demand: 0,
          reportedDemand: 0,
        });
      }
    },
    acquire(account, newRequests) {
      const bucket = buckets.get(account.name);
      if (bucket === undefined || bucket.ratePerS <= 0) return "acquired";
      if (acquireTokens(bucket, newRequests, 1) === 1) return "acquired";
      const retryAfterMs = getRetryAfterMs(bucket.tokens, getRatePerS(bucket));
      return { retryAfterMs };
    },
    acquireFor(account, newRequests, maxTokens) {
      const bucket = buckets.get(account);
      // The requesting instance may have a newer configuration; it uses its local reserve.
      if (bucket === undefined) return { tokens: 0, retryAfterMs: 0 };
      if (bucket.ratePerS <= 0) return { tokens: maxTokens, retryAfterMs: 0 };
      const tokens = acquireTokens(bucket, newRequests, maxTokens);
      const retryAfterMs = tokens > 0
        ? 0
        : getRetryAfterMs(bucket.tokens, getRatePerS(bucket));
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
      for (const [account, bucket] of buckets) {
        const demand = Math.round(bucket.demand * 100) / 100;
        bucket.reportedDemand = demand;
        if (demand >= MIN_REPORTED_DEMAND) demands[account] = demand;
      }
      return demands;
    },
    tryPeek(account, spendable) {
      const bucket = buckets.get(account);
      if (bucket === undefined) return undefined;
      const elapsedMs = clock.nowMs() - bucket.updatedAtMs;
      const tokens = elapsedMs > 0
        ? getTokens(bucket, elapsedMs)
        : bucket.tokens;
      const ratePerS = getRatePerS(bucket, spendable);
      const retryAfterMs = tokens >= 1 ? 0 : getRetryAfterMs(tokens, ratePerS);
      return { tokens, ratePerS, retryAfterMs };
    },
    getShare: (account) => buckets.get(account)?.share ?? 0,
    tryGetUsage(account) {
      const bucket = buckets.get(account);
      if (bucket === undefined || bucket.ratePerS <= 0) return undefined;
      updateBucket(bucket);
      // The share is this domain's part of the demand.
      return bucket.demand / (bucket.ratePerS * Math.max(bucket.share, 0.01));
    },
    setSpendableShare(share) {
      if (share === spendableShare) return;
      for (const bucket of buckets.values()) updateBucket(bucket);
      spendableShare = share;
    },
    recordDomainDemands(domain, demands) {
      reports.set(domain, { demands, atMs: clock.nowMs() });
    },
  };
}
