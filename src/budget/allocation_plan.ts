/**
 * Division of every limit of the table over domains and their shards.
 *
 * Promise: the shares of a key over all domains and shards add up to exactly
 * its fleet-wide limit, in integer millionths of a token. It breaks when
 * instances use different tables, which the table change rules bound.
 */
import type * as Contracts from "../contracts.ts";
import * as Hash from "../hash.ts";
import type * as Types from "../types.ts";
import type { Limits } from "./bucket.ts";

/** Shards of each domain. */
export const SHARDS_PER_DOMAIN = 8;
/** Shares are whole multiples of 1/MICRO token. */
export const MICRO = 1_000_000;

// A sliding one-second window sees at most rate + burst = 95% of the cap; 5%
// is left for jitter between instance and target.
const CAP_RATE = 0.85;
const CAP_BURST = 0.10;
const HOME_SHARE = 0.7;
// Rate plus burst of a link stay within its capacity in any one-second window.
const LINK_RATE = 0.9;
const LINK_BURST_S = 0.1;
const BYTES_PER_MBIT = 125_000;
/** A rank is below `SHARDS_PER_DOMAIN`. */
const RANK_BITS = 3;
const RANK_MASK = 2 ** RANK_BITS - 1;

/** Shares of all budgets under one table. */
export interface AllocationPlan {
  readonly revision: number;
  readonly keys: readonly Contracts.BudgetKey[];
  /** The fleet-wide limit. */
  getLimit(key: Contracts.BudgetKey): Limits;
  getDomainShare(domain: Types.Domain, key: Contracts.BudgetKey): Limits;
  getShardShare(
    domain: Types.Domain,
    shard: number,
    key: Contracts.BudgetKey,
  ): Limits;
  /** Sum of the shares of some shards of a domain. */
  getShardsShare(
    domain: Types.Domain,
    shards: Iterable<number>,
    key: Contracts.BudgetKey,
  ): Limits;
  /** Longest time a request may take, so also between a take and its refund. */
  getDeadlineMs(key: Contracts.BudgetKey): number;
}

const NOTHING: Limits = { rate: 0, burst: 0 };

function toMicro(limits: Limits): Limits {
  return {
    rate: Math.round(limits.rate * MICRO),
    burst: Math.round(limits.burst * MICRO),
  };
}

function fromMicro(limits: Limits): Limits {
  return { rate: limits.rate / MICRO, burst: limits.burst / MICRO };
}

function splitInteger(total: number, parts: number, index: number): number {
  const base = Math.floor(total / parts);
  return index < total - base * parts ? base + 1 : base;
}

function splitEqually(total: Limits, parts: number, index: number): Limits {
  return {
    rate: splitInteger(total.rate, parts, index),
    burst: splitInteger(total.burst, parts, index),
  };
}

/** Rendezvous score of a text, continued from the hash of what precedes it. */
function getScore(text: string, seed?: number): number {
  return Hash.mixBits(Hash.fnv1a(text, seed)) >>> 0;
}

/** Ranks of a domain's shards for one key, `RANK_BITS` a shard. */
type Ranks = number;

/** Rank of a shard; behind all others for one that does not exist, as a peer may name any. */
function getRank(ranks: Ranks, shard: number): number {
  const isKnown = Number.isInteger(shard) && shard >= 0 &&
    shard < SHARDS_PER_DOMAIN;
  if (!isKnown) return SHARDS_PER_DOMAIN;
  return (ranks >>> (shard * RANK_BITS)) & RANK_MASK;
}

/**
 * The ranks of a domain's shards by rendezvous hashing, equal on every
 * instance. They are kept as one number a key, because with 10,000 keys the
 * shares themselves took 8 MB a domain.
 */
function createRanking(
  domain: Types.Domain,
): (key: Contracts.BudgetKey) => Ranks {
  const known = new Map<Contracts.BudgetKey, Ranks>();
  const scores = new Uint32Array(SHARDS_PER_DOMAIN);
  const prefixes = Array.from(
    { length: SHARDS_PER_DOMAIN },
    (_, shard) => Hash.fnv1a(`${domain}/${shard}/`),
  );

  function rank(key: Contracts.BudgetKey): Ranks {
    let ranks = 0;
    for (let shard = 0; shard < SHARDS_PER_DOMAIN; shard++) {
      const score = getScore(key, prefixes[shard]);
      scores[shard] = score;
      // Behind every lower shard with an equal or higher score, before the others.
      let before = 0;
      for (let lower = 0; lower < shard; lower++) {
        if ((scores[lower] ?? 0) >= score) before++;
        else ranks += 1 << (lower * RANK_BITS);
      }
      ranks += before << (shard * RANK_BITS);
    }
    return ranks;
  }

  return (key) => {
    const ranks = known.get(key) ?? rank(key);
    known.set(key, ranks);
    return ranks;
  };
}

/** Rate and burst of a region cap, in requests. */
export function getCapLimits(capRps: number): Limits {
  // A burst below one request would admit nothing. With a burst of 1 a window
  // sees at most floor(1 + 0.85 x cap) requests, which is within a whole cap.
  const burst = capRps >= 1 ? Math.max(1, CAP_BURST * capRps) : 0;
  return { rate: CAP_RATE * capRps, burst };
}

type DomainShares = ReadonlyMap<Types.Domain, Limits>;

function divideOver(
  shares: Map<Types.Domain, Limits>,
  total: Limits,
  domains: readonly Types.Domain[],
): void {
  domains.forEach((domain, i) => {
    const old = shares.get(domain) ?? NOTHING;
    const more = splitEqually(total, domains.length, i);
    shares.set(domain, {
      rate: old.rate + more.rate,
      burst: old.burst + more.burst,
    });
  });
}

function divideCap(row: Types.Row, all: readonly Types.Domain[]): DomainShares {
  const total = toMicro(getCapLimits(row.capRps));
  const others = all.filter((domain) => !row.domains.includes(domain));
  const homePart = others.length === 0
    ? 1
    : row.domains.length === 0
    ? 0
    : HOME_SHARE;
  const home = {
    rate: Math.round(total.rate * homePart),
    burst: Math.round(total.burst * homePart),
  };
  const rest = {
    rate: total.rate - home.rate,
    burst: total.burst - home.burst,
  };
  const shares = new Map<Types.Domain, Limits>();
  divideOver(shares, home, row.domains);
  divideOver(shares, rest, others);
  return shares;
}

function divideLink(
  row: Types.Row,
  all: readonly Types.Domain[],
): DomainShares {
  const bytesPerS = row.linkMbps * BYTES_PER_MBIT;
  const total = toMicro({
    rate: bytesPerS * LINK_RATE,
    burst: bytesPerS * LINK_BURST_S,
  });
  const outside = all.filter((domain) => !row.domains.includes(domain));
  const shares = new Map<Types.Domain, Limits>();
  divideOver(shares, total, outside);
  return shares;
}

/**
 * Domains that divide a row's account cell. Split over all of them, a burst of
 * fewer tokens than domains leaves each a part of a token, and a request needs a
 * whole one: rate 1 and burst 1 over two domains refused 7 of 8 requests at half
 * the rate. So only as many domains have a part as get a whole token; the others
 * borrow. The choice differs by key, so that no domain has all small accounts.
 */
function chooseAccountDomains(
  key: Contracts.BudgetKey,
  burst: number,
  domains: readonly Types.Domain[],
): readonly Types.Domain[] {
  const count = Math.max(1, Math.floor(burst));
  if (count >= domains.length) return domains;
  const scored = domains.map((domain) => ({
    domain,
    score: getScore(`${domain}/${key}`),
  }));
  // By code units, which are the same whatever the locale of an instance.
  scored.sort((a, b) => b.score - a.score || (a.domain < b.domain ? -1 : 1));
  return scored.slice(0, count).map((entry) => entry.domain);
}

function divideTable(
  table: Types.Table,
): Map<Contracts.BudgetKey, Map<Types.Domain, Limits>> {
  const all = [...table.domains.keys()].sort();
  const byKey = new Map<Contracts.BudgetKey, Map<Types.Domain, Limits>>();
  for (const rules of table.services.values()) {
    for (const row of rules.rows) {
      for (const [account, cell] of row.accounts) {
        const key = `acct/${rules.service}/${account}`;
        const shares = byKey.get(key) ?? new Map<Types.Domain, Limits>();
        const holders = chooseAccountDomains(key, cell.burst, row.domains);
        divideOver(shares, toMicro(cell), holders);
        byKey.set(key, shares);
      }
      const place = `${rules.service}/${row.region}`;
      const link = divideLink(row, all);
      byKey.set(`cap/${place}`, new Map(divideCap(row, all)));
      byKey.set(`link/${place}/in`, new Map(link));
      byKey.set(`link/${place}/out`, new Map(link));
    }
  }
  return byKey;
}

/** Shards that divide a domain's share; none holds less than a token when that can be avoided. */
function countShards(share: Limits): number {
  const wanted = Math.floor(share.burst / MICRO);
  return Math.max(1, Math.min(SHARDS_PER_DOMAIN, wanted));
}

function divide(table: Types.Table): AllocationPlan {
  const byKey = divideTable(table);
  const rankings = new Map<
    Types.Domain,
    (key: Contracts.BudgetKey) => Ranks
  >();

  function getRanks(domain: Types.Domain, key: Contracts.BudgetKey): Ranks {
    const ranking = rankings.get(domain) ?? createRanking(domain);
    rankings.set(domain, ranking);
    return ranking(key);
  }

  /** Summed as integers, so that no rounding builds up. */
  function getShardsShare(
    domain: Types.Domain,
    shards: Iterable<number>,
    key: Contracts.BudgetKey,
  ): Limits {
    const share = byKey.get(key)?.get(domain);
    if (share === undefined) return NOTHING;
    const count = countShards(share);
    const ranks = getRanks(domain, key);
    let rate = 0;
    let burst = 0;
    for (const shard of shards) {
      const rank = getRank(ranks, shard);
      if (rank >= count) continue;
      rate += splitInteger(share.rate, count, rank);
      burst += splitInteger(share.burst, count, rank);
    }
    return fromMicro({ rate, burst });
  }

  return {
    revision: table.revision,
    keys: [...byKey.keys()],
    getLimit(key) {
      let rate = 0;
      let burst = 0;
      for (const share of byKey.get(key)?.values() ?? []) {
        rate += share.rate;
        burst += share.burst;
      }
      return fromMicro({ rate, burst });
    },
    getDomainShare: (domain, key) =>
      fromMicro(byKey.get(key)?.get(domain) ?? NOTHING),
    getShardShare: (domain, shard, key) => getShardsShare(domain, [shard], key),
    getShardsShare,
    getDeadlineMs(key) {
      const service = key.split("/")[1] ?? "";
      return table.services.get(service)?.deadlineMs ?? 0;
    },
  };
}

const divisions = new WeakMap<Types.Table, AllocationPlan>();

/** Divides a table's limits; once per table, as several parts of an instance ask. */
export function createAllocationPlan(table: Types.Table): AllocationPlan {
  const division = divisions.get(table) ?? divide(table);
  divisions.set(table, division);
  return division;
}
