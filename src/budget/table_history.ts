/**
 * The tables that some instance may still use, newest last.
 *
 * Guarantee: `getLimits` never exceeds the sum of the shards' shares under any of
 * them, so that holders with different tables stay within the limit of each. A
 * table is out of use `growDelayMs` after the next one arrived anywhere: by then,
 * an instance without the next table rejects keyed requests. The guarantee fails
 * when an instance serves them for longer, as with `when_isolated = "serve"`.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as Bucket from "./bucket.ts";
import type * as AllocationPlan from "./allocation_plan.ts";

/** Tables in use, as allocation plans. */
export interface TableHistory {
  /** Adds the plan of a newer table. */
  add(plan: AllocationPlan.AllocationPlan): void;
  tryGetNewest(): AllocationPlan.AllocationPlan | undefined;
  /** True when this is the newest table and the only one in use. */
  isSettled(revision: number): boolean;
  /** Records that a peer found this table to be the only one in use. */
  recordSettled(revision: number): void;
  /** True when no instance uses a table older than the first one added here. */
  isComplete(): boolean;
  /** Drops tables that are out of use; false when there were none. */
  dropUnused(): boolean;
  /** Returns the limits of a holder of these shards. */
  getLimits(shards: Iterable<number>, key: Contracts.BudgetKey): Bucket.Limits;
  /** Returns the largest burst that a holder of the shard may have had. */
  getLargestBurst(shard: number, key: Contracts.BudgetKey): number;
}

interface Entry {
  readonly plan: AllocationPlan.AllocationPlan;
  /** Monotonic ms from which no instance uses an older table. */
  readonly settledAtMs: number;
}

/** Creates a history without tables. */
export function createTableHistory(
  clock: Clock.Clock,
  domain: Types.Domain,
  growDelayMs: number,
): TableHistory {
  let entries: readonly Entry[] = [];
  let completeAtMs = Infinity;

  return {
    add(plan) {
      const settledAtMs = clock.nowMs() + growDelayMs;
      if (entries.length === 0) completeAtMs = settledAtMs;
      entries = [...entries, { plan, settledAtMs }];
    },
    tryGetNewest: () => entries.at(-1)?.plan,
    isSettled(revision) {
      const newest = entries.at(-1);
      return newest !== undefined && newest.plan.revision === revision &&
        clock.nowMs() >= newest.settledAtMs;
    },
    recordSettled(revision) {
      const now = clock.nowMs();
      const newest = entries.at(-1);
      if (newest?.plan.revision !== revision) return;
      if (newest.settledAtMs <= now) return;
      entries = [...entries.slice(0, -1), { ...newest, settledAtMs: now }];
      completeAtMs = Math.min(completeAtMs, now);
    },
    isComplete: () => clock.nowMs() >= completeAtMs,
    dropUnused() {
      const now = clock.nowMs();
      const firstUsed = entries.findLastIndex((entry) =>
        entry.settledAtMs <= now
      );
      if (firstUsed <= 0) return false;
      entries = entries.slice(firstUsed);
      return true;
    },
    getLimits(shards, key) {
      let rate = Infinity;
      let burst = Infinity;
      for (const { plan } of entries) {
        const share = plan.getShardsShare(domain, shards, key);
        rate = Math.min(rate, share.rate);
        burst = Math.min(burst, share.burst);
      }
      return entries.length === 0 ? { rate: 0, burst: 0 } : { rate, burst };
    },
    getLargestBurst(shard, key) {
      const bursts = entries.map(({ plan }) =>
        plan.getShardShare(domain, shard, key).burst
      );
      return Math.max(0, ...bursts);
    },
  };
}
