/**
 * What this instance holds: one bucket per budget key, made of the key's
 * shares of all shards held, and the tokens borrowed from peers.
 *
 * Promise: the limits of a bucket never exceed the shares of the shards held
 * under the table in force, nor those under any table that another instance may
 * still use. It breaks when two instances hold one shard, which ownership and
 * lease prevent, or when the table history's promise does.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as Borrowed from "./borrowed.ts";
import * as Bucket from "./bucket.ts";
import type * as AllocationPlan from "./allocation_plan.ts";
import * as RateMeter from "./rate_meter.ts";
import type * as Spends from "./spends.ts";
import * as TableHistory from "./table_history.ts";

/** How long borrowed tokens live, from the sending of the request. */
export const LOAN_MS = 2_000;

/** Everything known of one budget key. */
export interface KeyState {
  readonly key: Contracts.BudgetKey;
  readonly bucket: Bucket.Bucket;
  /** Recent use by this instance's own callers. */
  readonly demand: RateMeter.RateMeter;
  /** Soonest expiry first. */
  readonly borrowed: Borrowed.BorrowedTokens[];
  /** Loans taken, with those that ended since the last look. */
  readonly loans: Borrowed.Loan[];
  /** Recent takes, newest last. */
  readonly spends: Spends.Spend[];
  /** True once borrowed tokens were spent. */
  hasSpentLoans: boolean;
}

/** Content of one key's part of a shard, as handed to another holder. */
export interface LevelPart {
  readonly level: number;
  readonly lent: number;
  /** Ms for which `lent` still counts as lent. */
  readonly lentMs: number;
}

/** Content of a shard by budget key. */
export type ShardLevels = Readonly<Record<Contracts.BudgetKey, LevelPart>>;

/** How a newly held shard's buckets start. */
export type ShardStart =
  /** Never held before. */
  | { readonly kind: "full" }
  /** The previous holder may have spent or lent everything just before. */
  | { readonly kind: "empty" }
  | { readonly kind: "levels"; readonly levels: ShardLevels };

/** The buckets and shards of this instance. */
export interface Holdings {
  setDivision(division: AllocationPlan.AllocationPlan): void;
  tryGetDivision(): AllocationPlan.AllocationPlan | undefined;
  /** True when every table that another instance may use bounds the limits here. */
  knowsTablesInUse(): boolean;
  /** True when no instance uses a table from before that revision. */
  isTableSettled(revision: number): boolean;
  /** Takes a peer's word that a table is settled. */
  noteTableSettled(revision: number): void;
  /** Raises limits that a table now out of use kept lower. */
  applyGrowth(): void;
  activate(shard: number, start: ShardStart): void;
  /** Stops spending a shard's shares at once; gives its content. */
  deactivate(shard: number): ShardLevels;
  /** Empties every bucket, for a holder that resumes without proof of sole holding. */
  emptyAll(): void;
  getShards(): readonly number[];
  isActive(shard: number): boolean;
  tryGet(key: Contracts.BudgetKey): KeyState | undefined;
}

/** What holdings are made of. */
export interface HoldingsDeps {
  readonly clock: Clock.Clock;
  readonly domain: Types.Domain;
  readonly growDelayMs: number;
}

/** Creates holdings without shards and table. */
export function createHoldings(deps: HoldingsDeps): Holdings {
  const { clock, domain } = deps;
  const states = new Map<Contracts.BudgetKey, KeyState>();
  const shards = new Set<number>();
  const history = TableHistory.createTableHistory(
    clock,
    domain,
    deps.growDelayMs,
  );

  function getOrCreate(key: Contracts.BudgetKey): KeyState {
    const known = states.get(key);
    if (known !== undefined) return known;
    const state: KeyState = {
      key,
      bucket: Bucket.createBucket(clock.nowMs()),
      demand: RateMeter.createRateMeter(),
      borrowed: [],
      loans: [],
      spends: [],
      hasSpentLoans: false,
    };
    states.set(key, state);
    return state;
  }

  function updateLimits(): void {
    const now = clock.nowMs();
    for (const { bucket, key } of states.values()) {
      // Set rather than summed, so that rounding does not build up.
      bucket.setLimits(history.getLimits(shards, key), now);
    }
  }

  /** Content of a shard that adds `gained`; `largestBurst` bounds what is lent of it. */
  function createPart(
    key: Contracts.BudgetKey,
    gained: Bucket.Limits,
    largestBurst: number,
    start: ShardStart,
    now: number,
  ): Bucket.BucketPart {
    switch (start.kind) {
      case "full":
        return { level: gained.burst, lent: 0, lentUntilMs: now };
      case "empty":
        // Tokens that the last holder lent may live for one loan period more.
        return { level: 0, lent: largestBurst, lentUntilMs: now + LOAN_MS };
      case "levels": {
        const given = start.levels[key] ?? { level: 0, lent: 0, lentMs: 0 };
        const lent = Math.min(given.lent, largestBurst);
        const room = Math.max(0, gained.burst - lent);
        return {
          level: Math.min(given.level, room),
          lent,
          lentUntilMs: now + given.lentMs,
        };
      }
    }
  }

  return {
    setDivision(next) {
      history.add(next);
      for (const key of next.keys) {
        getOrCreate(key).bucket.setHorizon(next.getDeadlineMs(key));
      }
      updateLimits();
    },
    tryGetDivision: history.tryGetNewest,
    knowsTablesInUse: history.isComplete,
    isTableSettled: history.isSettled,
    noteTableSettled: history.noteSettled,
    applyGrowth() {
      if (history.dropUnused()) updateLimits();
    },
    activate(shard, start) {
      const division = history.tryGetNewest();
      if (shards.has(shard) || division === undefined) return;
      shards.add(shard);
      const now = clock.nowMs();
      for (const key of division.keys) {
        const { bucket } = getOrCreate(key);
        const limits = history.getLimits(shards, key);
        const gained = subtract(limits, bucket.getLimits());
        const largestBurst = history.getLargestBurst(shard, key);
        if (gained.rate === 0 && largestBurst === 0) continue;
        const part = createPart(key, gained, largestBurst, start, now);
        bucket.addPart(gained, part, now);
        bucket.setLimits(limits, now);
      }
    },
    deactivate(shard) {
      const levels: Record<Contracts.BudgetKey, LevelPart> = {};
      if (!shards.delete(shard)) return levels;
      const now = clock.nowMs();
      for (const [key, { bucket }] of states) {
        const limits = history.getLimits(shards, key);
        const lost = subtract(bucket.getLimits(), limits);
        if (lost.burst === 0 && lost.rate === 0) continue;
        const part = bucket.removePart(lost, now);
        const lentMs = Math.max(0, part.lentUntilMs - now);
        levels[key] = { level: part.level, lent: part.lent, lentMs };
        bucket.setLimits(limits, now);
      }
      return levels;
    },
    emptyAll() {
      const now = clock.nowMs();
      for (const state of states.values()) {
        state.bucket.holdEmpty(now + LOAN_MS, now);
      }
    },
    getShards: () => [...shards].sort((a, b) => a - b),
    isActive: (shard) => shards.has(shard),
    tryGet: (key) => states.get(key),
  };
}

/** What `a` has beyond `b`; at least 0. */
function subtract(a: Bucket.Limits, b: Bucket.Limits): Bucket.Limits {
  return {
    rate: Math.max(0, a.rate - b.rate),
    burst: Math.max(0, a.burst - b.burst),
  };
}
