/**
 * Allocations of this instance: one bucket per budget key, with the key's shares
 * of all held shards, and the tokens borrowed from peers.
 *
 * Guarantee: the limits of a bucket never exceed the shares of the held shards
 * under the current table, nor those under any table that another instance may
 * still use. It fails when two instances hold the same shard, which ownership
 * and lease prevent, or when the guarantee of the table history fails.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as Borrowed from "./borrowed.ts";
import * as Bucket from "./bucket.ts";
import type * as AllocationPlan from "./allocation_plan.ts";
import * as RateMeter from "./rate_meter.ts";
import type * as Acquisitions from "./acquisitions.ts";
import * as TableHistory from "./table_history.ts";

/** Lifetime of borrowed tokens in ms, from the sending of the request. */
export const LOAN_MS = 2_000;

/** State of one budget key. */
export interface KeyState {
  readonly key: Contracts.BudgetKey;
  readonly bucket: Bucket.Bucket;
  /** Recent demand of this instance's callers. */
  readonly demand: RateMeter.RateMeter;
  /** Borrowed tokens, soonest expiry first. */
  readonly borrowed: Borrowed.BorrowedTokens[];
  /** Loans from peers; expired ones stay until the next time that reports are collected. */
  readonly loans: Borrowed.Loan[];
  /** Recent acquisitions, newest last. */
  readonly acquired: Acquisitions.Acquisition[];
  /** True once borrowed tokens were spent. */
  hasSpentBorrowed: boolean;
}

/** Tokens of one key in a shard, as transferred to another holder. */
export interface KeyLevel {
  readonly level: number;
  readonly lent: number;
  /** Ms for which `lent` still counts as lent. */
  readonly lentMs: number;
}

/** Tokens of a shard by budget key. */
export type ShardLevels = Readonly<Record<Contracts.BudgetKey, KeyLevel>>;

/** How the buckets of a newly held shard start. */
export type ShardStart =
  /** No instance has held the shard before. */
  | { readonly kind: "full" }
  /** The previous holder may have spent or lent every token just before. */
  | { readonly kind: "empty" }
  | { readonly kind: "levels"; readonly levels: ShardLevels };

/** The buckets and shards of this instance. */
export interface Allocations {
  /** Adds the allocation plan of a newer table and updates all limits. */
  setPlan(plan: AllocationPlan.AllocationPlan): void;
  /** Returns the plan of the newest table; undefined before the first one. */
  tryGetPlan(): AllocationPlan.AllocationPlan | undefined;
  /** True when the limits are bounded by every table that another instance may use. */
  knowsTablesInUse(): boolean;
  /** True when no instance uses a table older than that revision. */
  isTableSettled(revision: number): boolean;
  /** Records that a peer reported the table as settled. */
  recordTableSettled(revision: number): void;
  /** Raises limits that an older table, now out of use, kept lower. */
  applyRaisedLimits(): void;
  /** Starts to spend a shard's shares. */
  activate(shard: number, start: ShardStart): void;
  /** Stops spending a shard's shares at once; returns its tokens. */
  deactivate(shard: number): ShardLevels;
  /**
   * Empties every bucket; used when the instance resumes without proof that it
   * is the only holder.
   */
  emptyAll(): void;
  getShards(): readonly number[];
  isActive(shard: number): boolean;
  /** Returns the state of a key; undefined when no table had it. */
  tryGet(key: Contracts.BudgetKey): KeyState | undefined;
}

/** Dependencies of the allocations. */
export interface AllocationsDeps {
  readonly clock: Clock.Clock;
  readonly domain: Types.Domain;
  readonly growDelayMs: number;
}

/** Creates allocations without shards or table. */
export function createAllocations(deps: AllocationsDeps): Allocations {
  const { clock, domain } = deps;
  const states = new Map<Contracts.BudgetKey, KeyState>();
  const shards = new Set<number>();
  const history = TableHistory.createTableHistory(
    clock,
    domain,
    deps.growDelayMs,
  );

  function getOrCreate(key: Contracts.BudgetKey): KeyState {
    const existing = states.get(key);
    if (existing !== undefined) return existing;
    const state: KeyState = {
      key,
      bucket: Bucket.createBucket(clock.nowMs()),
      demand: RateMeter.createRateMeter(),
      borrowed: [],
      loans: [],
      acquired: [],
      hasSpentBorrowed: false,
    };
    states.set(key, state);
    return state;
  }

  function updateLimits(): void {
    const now = clock.nowMs();
    for (const { bucket, key } of states.values()) {
      // Set rather than added up, so that rounding errors do not accumulate.
      bucket.setLimits(history.getLimits(shards, key), now);
    }
  }

  /**
   * Returns the tokens of a shard that adds the limits `added`; `largestBurst`
   * bounds its lent tokens.
   */
  function createContents(
    key: Contracts.BudgetKey,
    added: Bucket.Limits,
    largestBurst: number,
    start: ShardStart,
    now: number,
  ): Bucket.BucketContents {
    switch (start.kind) {
      case "full":
        return { level: added.burst, lent: 0, lentUntilMs: now };
      case "empty":
        // Tokens that the last holder lent may live for one more loan period.
        return { level: 0, lent: largestBurst, lentUntilMs: now + LOAN_MS };
      case "levels": {
        const previous = start.levels[key] ?? { level: 0, lent: 0, lentMs: 0 };
        const lent = Math.min(previous.lent, largestBurst);
        const room = Math.max(0, added.burst - lent);
        return {
          level: Math.min(previous.level, room),
          lent,
          lentUntilMs: now + previous.lentMs,
        };
      }
    }
  }

  return {
    setPlan(plan) {
      history.add(plan);
      for (const key of plan.keys) {
        getOrCreate(key).bucket.setRefundWindow(plan.getDeadlineMs(key));
      }
      updateLimits();
    },
    tryGetPlan: history.tryGetNewest,
    knowsTablesInUse: history.isComplete,
    isTableSettled: history.isSettled,
    recordTableSettled: history.recordSettled,
    applyRaisedLimits() {
      if (history.dropUnused()) updateLimits();
    },
    activate(shard, start) {
      const plan = history.tryGetNewest();
      if (shards.has(shard) || plan === undefined) return;
      shards.add(shard);
      const now = clock.nowMs();
      for (const key of plan.keys) {
        const { bucket } = getOrCreate(key);
        const limits = history.getLimits(shards, key);
        const added = subtract(limits, bucket.getLimits());
        const largestBurst = history.getLargestBurst(shard, key);
        if (added.rate === 0 && largestBurst === 0) continue;
        const contents = createContents(key, added, largestBurst, start, now);
        bucket.addShare(added, contents, now);
        bucket.setLimits(limits, now);
      }
    },
    deactivate(shard) {
      const levels: Record<Contracts.BudgetKey, KeyLevel> = {};
      if (!shards.delete(shard)) return levels;
      const now = clock.nowMs();
      for (const [key, { bucket }] of states) {
        const limits = history.getLimits(shards, key);
        const removed = subtract(bucket.getLimits(), limits);
        if (removed.burst === 0 && removed.rate === 0) continue;
        const contents = bucket.removeShare(removed, now);
        const lentMs = Math.max(0, contents.lentUntilMs - now);
        levels[key] = { level: contents.level, lent: contents.lent, lentMs };
        bucket.setLimits(limits, now);
      }
      return levels;
    },
    emptyAll() {
      const now = clock.nowMs();
      for (const state of states.values()) {
        state.bucket.keepEmpty(now + LOAN_MS, now);
      }
    },
    getShards: () => [...shards].sort((a, b) => a - b),
    isActive: (shard) => shards.has(shard),
    tryGet: (key) => states.get(key),
  };
}

/** Subtracts limits; the result is at least 0. */
function subtract(
  minuend: Bucket.Limits,
  subtrahend: Bucket.Limits,
): Bucket.Limits {
  return {
    rate: Math.max(0, minuend.rate - subtrahend.rate),
    burst: Math.max(0, minuend.burst - subtrahend.burst),
  };
}
