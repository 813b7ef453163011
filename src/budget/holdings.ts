/**
 * What this instance holds: one bucket per budget key, made of the key's
 * shares of all shards held, and the tokens borrowed from peers.
 *
 * Promise: the limits of a bucket never exceed the shares of the shards held
 * under the table in force, nor, for `growDelayMs` after a table change, those
 * under the table before. It breaks when two instances hold one shard, which
 * ownership and lease prevent.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as Bucket from "./bucket.ts";
import * as Division from "./division.ts";
import * as RateMeter from "./rate_meter.ts";

/** How long borrowed tokens live, from the sending of the request. */
export const LOAN_MS = 2_000;

/** Borrowed tokens, spendable before `expiresAtMs`. */
export interface BorrowedTokens {
  tokens: number;
  readonly expiresAtMs: number;
}

/** Everything known of one budget key. */
export interface KeyState {
  readonly key: Contracts.BudgetKey;
  readonly bucket: Bucket.Bucket;
  /** Recent use by this instance's own callers. */
  readonly demand: RateMeter.RateMeter;
  /** Soonest expiry first. */
  readonly borrowed: BorrowedTokens[];
  /** Spent borrowed tokens, newest last, for refunds. */
  readonly spentBorrowed: BorrowedTokens[];
  /** Limits to grow to at a time; undefined when none are pending. */
  growth: { readonly limits: Bucket.Limits; readonly atMs: number } | undefined;
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
  setDivision(division: Division.Division): void;
  tryGetDivision(): Division.Division | undefined;
  /** False for `growDelayMs` after each table: other instances may use the one before. */
  isSettled(): boolean;
  /** True once a second table arrived. */
  hasChangedTable(): boolean;
  /** Applies the growth that is due. */
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
  let division: Division.Division | undefined;
  let tables = 0;
  let settledAtMs = Infinity;

  function getTarget(key: Contracts.BudgetKey): Bucket.Limits {
    return division?.getShardsShare(domain, shards, key) ??
      { rate: 0, burst: 0 };
  }

  function getOrCreate(key: Contracts.BudgetKey): KeyState {
    const known = states.get(key);
    if (known !== undefined) return known;
    const state: KeyState = {
      key,
      bucket: Bucket.createBucket(clock.nowMs()),
      demand: RateMeter.createRateMeter(),
      borrowed: [],
      spentBorrowed: [],
      growth: undefined,
    };
    states.set(key, state);
    return state;
  }

  function changeLimits(state: KeyState, isFirst: boolean): void {
    const now = clock.nowMs();
    const target = getTarget(state.key);
    const old = state.bucket.getLimits();
    const reduced = {
      rate: Math.min(old.rate, target.rate),
      burst: Math.min(old.burst, target.burst),
    };
    state.bucket.setLimits(isFirst ? target : reduced, now);
    if (isFirst || areEqual(reduced, target)) {
      state.growth = undefined;
    } else if (!areEqual(state.growth?.limits, target)) {
      state.growth = { limits: target, atMs: now + deps.growDelayMs };
    }
  }

  function createPart(
    key: Contracts.BudgetKey,
    share: Bucket.Limits,
    start: ShardStart,
    now: number,
  ): Bucket.BucketPart {
    switch (start.kind) {
      case "full":
        return { level: share.burst, lent: 0, lentUntilMs: now };
      case "empty":
        // Tokens that the last holder lent may live for one loan period more.
        return { level: 0, lent: share.burst, lentUntilMs: now + LOAN_MS };
      case "levels": {
        const given = start.levels[key] ?? { level: 0, lent: 0, lentMs: 0 };
        const lent = Math.min(given.lent, share.burst);
        return {
          level: Math.min(given.level, share.burst - lent),
          lent,
          lentUntilMs: now + given.lentMs,
        };
      }
    }
  }

  return {
    setDivision(next) {
      const isFirst = tables === 0;
      division = next;
      tables++;
      settledAtMs = clock.nowMs() + deps.growDelayMs;
      for (const key of next.keys) {
        getOrCreate(key).bucket.setHorizon(next.getDeadlineMs(key));
      }
      for (const state of states.values()) changeLimits(state, isFirst);
    },
    tryGetDivision: () => division,
    isSettled: () => clock.nowMs() >= settledAtMs,
    hasChangedTable: () => tables > 1,
    applyGrowth() {
      const now = clock.nowMs();
      for (const state of states.values()) {
        if (state.growth === undefined || state.growth.atMs > now) continue;
        state.bucket.setLimits(state.growth.limits, now);
        state.growth = undefined;
      }
    },
    activate(shard, start) {
      if (shards.has(shard) || division === undefined) return;
      shards.add(shard);
      const now = clock.nowMs();
      for (const key of division.keys) {
        const share = division.getShardShare(domain, shard, key);
        if (share.burst === 0 && share.rate === 0) continue;
        const part = createPart(key, share, start, now);
        const state = getOrCreate(key);
        state.bucket.addPart(share, part, now);
        if (state.growth === undefined) {
          // Set rather than summed, so that rounding does not build up.
          state.bucket.setLimits(getTarget(key), now);
        } else {
          state.growth = { ...state.growth, limits: getTarget(key) };
        }
      }
    },
    deactivate(shard) {
      const levels: Record<Contracts.BudgetKey, LevelPart> = {};
      if (!shards.delete(shard) || division === undefined) return levels;
      const now = clock.nowMs();
      for (const key of division.keys) {
        const share = division.getShardShare(domain, shard, key);
        if (share.burst === 0 && share.rate === 0) continue;
        const state = getOrCreate(key);
        const part = state.bucket.removePart(share, now);
        const lentMs = Math.max(0, part.lentUntilMs - now);
        levels[key] = { level: part.level, lent: part.lent, lentMs };
        changeLimits(state, state.growth === undefined);
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

function areEqual(a: Bucket.Limits | undefined, b: Bucket.Limits): boolean {
  return a !== undefined && a.rate === b.rate && a.burst === b.burst;
}
