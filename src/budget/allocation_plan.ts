/**
 * Allocation plan: divides every limit of the table over domains and their shards.
 *
 * Invariant: the shares of a key over all domains and shards add up to exactly
 * its fleet-wide limit, in integer millionths of a token. It fails while
 * instances use different tables; the rules for table changes bound that.
 */
import type * as Contracts from "../contracts.ts";
import * as Hash from "../hash.ts";
import type * as Types from "../types.ts";
import type { Limits } from "./bucket.ts";

/** Number of shards in each domain. */
export const SHARDS_PER_DOMAIN = 8;
/** Shares are whole multiples of one millionth of a token. */
export const MICROS_PER_TOKEN = 1_000_000;

// Fractions of a region cap. A sliding window of one second sees at most
// rate + burst = 95% of the cap; 5% allows for jitter between instance and target.
const CAP_RATE_FRACTION = 0.85;
const CAP_BURST_FRACTION = 0.10;
/** Fraction of a region cap that goes to the domains of the region itself. */
const LOCAL_SHARE = 0.7;
// Rate plus burst of a link stay within its capacity in any one-second window.
const LINK_RATE_FRACTION = 0.9;
const LINK_BURST_S = 0.1;
const BYTES_PER_MBIT = 125_000;
/** Bits that hold a rank below `SHARDS_PER_DOMAIN`. */
const RANK_BITS = 3;
const RANK_MASK = 2 ** RANK_BITS - 1;

/** Shares of all budgets under one table. */
export interface AllocationPlan {
  readonly revision: number;
  readonly keys: readonly Contracts.BudgetKey[];
  /** Returns the fleet-wide rate and burst of a key. */
  getLimit(key: Contracts.BudgetKey): Limits;
  /** Returns the share of one domain. */
  getDomainShare(domain: Types.Domain, key: Contracts.BudgetKey): Limits;
  getShardShare(
    domain: Types.Domain,
    shard: number,
    key: Contracts.BudgetKey,
  ): Limits;
  /** Returns the sum of the shares of some shards of a domain. */
  getShardsShare(
    domain: Types.Domain,
    shards: Iterable<number>,
    key: Contracts.BudgetKey,
  ): Limits;
  /**
   * Returns the longest time that a request may take, in ms. It is also the
   * longest time between an acquisition and its refund.
   */
  getDeadlineMs(key: Contracts.BudgetKey): number;
}

const ZERO_LIMITS: Limits = { rate: 0, burst: 0 };

function toMicros(limits: Limits): Limits {
  return {
    rate: Math.round(limits.rate * MICROS_PER_TOKEN),
    burst: Math.round(limits.burst * MICROS_PER_TOKEN),
  };
}

function fromMicros(limits: Limits): Limits {
  return {
    rate: limits.rate / MICROS_PER_TOKEN,
    burst: limits.burst / MICROS_PER_TOKEN,
  };
}

function splitInteger(
  total: number,
  shareCount: number,
  index: number,
): number {
  const base = Math.floor(total / shareCount);
  return index < total - base * shareCount ? base + 1 : base;
}

function splitEqually(
  total: Limits,
  shareCount: number,
  index: number,
): Limits {
  return {
    rate: splitInteger(total.rate, shareCount, index),
    burst: splitInteger(total.burst, shareCount, index),
  };
}

/** Returns the rendezvous score of `input`; `seed` is the hash of the text before it. */
function getScore(input: string, seed?: number): number {
  return Hash.mixBits(Hash.fnv1a(input, seed)) >>> 0;
}

/** Ranks of a domain's shards for one key, packed with `RANK_BITS` bits per shard. */
type PackedRanks = number;

/**
 * Returns the rank of a shard; a shard that does not exist ranks last, because
 * a peer may send any number.
 */
function getRank(ranks: PackedRanks, shard: number): number {
  const exists = Number.isInteger(shard) && shard >= 0 &&
    shard < SHARDS_PER_DOMAIN;
  if (!exists) return SHARDS_PER_DOMAIN;
  return (ranks >>> (shard * RANK_BITS)) & RANK_MASK;
}

/**
 * Creates a function that ranks a domain's shards by rendezvous hashing, with
 * the same result on every instance. The ranks of a key are cached as one
 * number, because with 10,000 keys the shares themselves took 8 MB per domain.
 */
function createRanking(
  domain: Types.Domain,
): (key: Contracts.BudgetKey) => PackedRanks {
  const ranksByKey = new Map<Contracts.BudgetKey, PackedRanks>();
  const scores = new Uint32Array(SHARDS_PER_DOMAIN);
  const prefixes = Array.from(
    { length: SHARDS_PER_DOMAIN },
    (_, shard) => Hash.fnv1a(`${domain}/${shard}/`),
  );

  function rank(key: Contracts.BudgetKey): PackedRanks {
    let ranks = 0;
    for (let shard = 0; shard < SHARDS_PER_DOMAIN; shard++) {
      const score = getScore(key, prefixes[shard]);
      scores[shard] = score;
      // Ranks behind every lower shard whose score is equal or higher.
      let preceding = 0;
      for (let lower = 0; lower < shard; lower++) {
        if ((scores[lower] ?? 0) >= score) preceding++;
        else ranks += 1 << (lower * RANK_BITS);
      }
      ranks += preceding << (shard * RANK_BITS);
    }
    return ranks;
  }

  return (key) => {
    const ranks = ranksByKey.get(key) ?? rank(key);
    ranksByKey.set(key, ranks);
    return ranks;
  };
}

/** Returns rate and burst of a region cap, in requests. */
export function getCapLimits(capRps: number): Limits {
  // A burst below one request would admit nothing. With a burst of 1, a window
  // sees at most floor(1 + 0.85 x cap) requests, which is within any cap from 1.
  const burst = capRps >= 1 ? Math.max(1, CAP_BURST_FRACTION * capRps) : 0;
  return { rate: CAP_RATE_FRACTION * capRps, burst };
}

type DomainShares = ReadonlyMap<Types.Domain, Limits>;

function addEqualShares(
  shares: Map<Types.Domain, Limits>,
  total: Limits,
  domains: readonly Types.Domain[],
): void {
  domains.forEach((domain, i) => {
    const previous = shares.get(domain) ?? ZERO_LIMITS;
    const added = splitEqually(total, domains.length, i);
    shares.set(domain, {
      rate: previous.rate + added.rate,
      burst: previous.burst + added.burst,
    });
  });
}

function allocateCap(
  row: Types.Row,
  allDomains: readonly Types.Domain[],
): DomainShares {
  const total = toMicros(getCapLimits(row.capRps));
  const remoteDomains = allDomains.filter((domain) =>
    !row.domains.includes(domain)
  );
  const localFraction = remoteDomains.length === 0
    ? 1
    : row.domains.length === 0
    ? 0
    : LOCAL_SHARE;
  const localTotal = {
    rate: Math.round(total.rate * localFraction),
    burst: Math.round(total.burst * localFraction),
  };
  const remoteTotal = {
    rate: total.rate - localTotal.rate,
    burst: total.burst - localTotal.burst,
  };
  const shares = new Map<Types.Domain, Limits>();
  addEqualShares(shares, localTotal, row.domains);
  addEqualShares(shares, remoteTotal, remoteDomains);
  return shares;
}

function allocateLink(
  row: Types.Row,
  allDomains: readonly Types.Domain[],
): DomainShares {
  const bytesPerS = row.linkMbps * BYTES_PER_MBIT;
  const total = toMicros({
    rate: bytesPerS * LINK_RATE_FRACTION,
    burst: bytesPerS * LINK_BURST_S,
  });
  const remoteDomains = allDomains.filter((domain) =>
    !row.domains.includes(domain)
  );
  const shares = new Map<Types.Domain, Limits>();
  addEqualShares(shares, total, remoteDomains);
  return shares;
}

/**
 * Chooses the domains that share a row's account cell: only as many as get a
 * whole token each, and the others borrow. A request needs a whole token, so a
 * burst of fewer tokens than domains would admit too little if all domains
 * shared it: rate 1 and burst 1 over two domains rejected 7 of 8 requests at
 * half the rate. The choice differs by key, so that no domain has all small
 * accounts.
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
  // Compares code units, whose order does not depend on an instance's locale.
  scored.sort((a, b) => b.score - a.score || (a.domain < b.domain ? -1 : 1));
  return scored.slice(0, count).map((entry) => entry.domain);
}

function allocateTable(
  table: Types.Table,
): Map<Contracts.BudgetKey, Map<Types.Domain, Limits>> {
  const allDomains = [...table.domains.keys()].sort();
  const byKey = new Map<Contracts.BudgetKey, Map<Types.Domain, Limits>>();
  for (const rules of table.services.values()) {
    for (const row of rules.rows) {
      for (const [account, cell] of row.accounts) {
        const key = `acct/${rules.service}/${account}`;
        const shares = byKey.get(key) ?? new Map<Types.Domain, Limits>();
        const accountDomains = chooseAccountDomains(
          key,
          cell.burst,
          row.domains,
        );
        addEqualShares(shares, toMicros(cell), accountDomains);
        byKey.set(key, shares);
      }
      const scope = `${rules.service}/${row.region}`;
      const link = allocateLink(row, allDomains);
      byKey.set(`cap/${scope}`, new Map(allocateCap(row, allDomains)));
      byKey.set(`link/${scope}/in`, new Map(link));
      byKey.set(`link/${scope}/out`, new Map(link));
    }
  }
  return byKey;
}

/** Returns how many shards divide a domain's share; each gets at least one token where possible. */
function countShards(share: Limits): number {
  const wholeTokens = Math.floor(share.burst / MICROS_PER_TOKEN);
  return Math.max(1, Math.min(SHARDS_PER_DOMAIN, wholeTokens));
}

function buildPlan(table: Types.Table): AllocationPlan {
  const byKey = allocateTable(table);
  const rankings = new Map<
    Types.Domain,
    (key: Contracts.BudgetKey) => PackedRanks
  >();

  function getPackedRanks(
    domain: Types.Domain,
    key: Contracts.BudgetKey,
  ): PackedRanks {
    const ranking = rankings.get(domain) ?? createRanking(domain);
    rankings.set(domain, ranking);
    return ranking(key);
  }

  /** Sums integers, so that rounding errors do not build up. */
  function getShardsShare(
    domain: Types.Domain,
    shards: Iterable<number>,
    key: Contracts.BudgetKey,
  ): Limits {
    const share = byKey.get(key)?.get(domain);
    if (share === undefined) return ZERO_LIMITS;
    const count = countShards(share);
    const ranks = getPackedRanks(domain, key);
    let rate = 0;
    let burst = 0;
    for (const shard of shards) {
      const rank = getRank(ranks, shard);
      if (rank >= count) continue;
      rate += splitInteger(share.rate, count, rank);
      burst += splitInteger(share.burst, count, rank);
    }
    return fromMicros({ rate, burst });
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
      return fromMicros({ rate, burst });
    },
    getDomainShare: (domain, key) =>
      fromMicros(byKey.get(key)?.get(domain) ?? ZERO_LIMITS),
    getShardShare: (domain, shard, key) => getShardsShare(domain, [shard], key),
    getShardsShare,
    getDeadlineMs(key) {
      const service = key.split("/")[1] ?? "";
      return table.services.get(service)?.deadlineMs ?? 0;
    },
  };
}

const plansByTable = new WeakMap<Types.Table, AllocationPlan>();

/**
 * Returns the allocation plan of a table; built once per table, because several
 * modules request it.
 */
export function createAllocationPlan(table: Types.Table): AllocationPlan {
  const plan = plansByTable.get(table) ?? buildPlan(table);
  plansByTable.set(table, plan);
  return plan;
}
