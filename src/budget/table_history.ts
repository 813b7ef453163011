/**
 * The tables that some instance may still use, newest last.
 *
 * Promise: `getLimits` never exceeds the sum of the shards' shares under any of
 * them, so that holders with different tables stay within the limit of each.
 * A table is out of use `growDelayMs` after the next one arrived anywhere: by
 * then an instance without the next one refuses keyed requests. It breaks when
 * an instance serves them for longer, as with `when_isolated = "serve"`.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as Bucket from "./bucket.ts";
import type * as AllocationPlan from "./allocation_plan.ts";

/** Tables in use, as divisions of their limits. */
export interface TableHistory {
  add(division: AllocationPlan.AllocationPlan): void;
  tryGetNewest(): AllocationPlan.AllocationPlan | undefined;
  /** True when this is the newest table and the only one in use. */
  isSettled(revision: number): boolean;
  /** A peer found that this table is the only one in use. */
  noteSettled(revision: number): void;
  /** True when no instance uses a table from before the first one seen here. */
  isComplete(): boolean;
  /** Drops tables that went out of use; false when there were none. */
  dropUnused(): boolean;
  /** Limits of a holder of these shards. */
  getLimits(shards: Iterable<number>, key: Contracts.BudgetKey): Bucket.Limits;
  /** The largest burst that a holder of the shard may have had. */
  getLargestBurst(shard: number, key: Contracts.BudgetKey): number;
}

interface Entry {
  readonly division: AllocationPlan.AllocationPlan;
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
    add(division) {
      const settledAtMs = clock.nowMs() + growDelayMs;
      if (entries.length === 0) completeAtMs = settledAtMs;
      entries = [...entries, { division, settledAtMs }];
    },
    tryGetNewest: () => entries.at(-1)?.division,
    isSettled(revision) {
      const newest = entries.at(-1);
      return newest !== undefined && newest.division.revision === revision &&
        clock.nowMs() >= newest.settledAtMs;
    },
    noteSettled(revision) {
      const now = clock.nowMs();
      const newest = entries.at(-1);
      if (newest?.division.revision !== revision) return;
      if (newest.settledAtMs <= now) return;
      entries = [...entries.slice(0, -1), { ...newest, settledAtMs: now }];
      completeAtMs = Math.min(completeAtMs, now);
    },
    isComplete: () => clock.nowMs() >= completeAtMs,
    dropUnused() {
      const now = clock.nowMs();
      const first = entries.findLastIndex((one) => one.settledAtMs <= now);
      if (first <= 0) return false;
      entries = entries.slice(first);
      return true;
    },
    getLimits(shards, key) {
      let rate = Infinity;
      let burst = Infinity;
      for (const { division } of entries) {
        const sum = division.getShardsShare(domain, shards, key);
        rate = Math.min(rate, sum.rate);
        burst = Math.min(burst, sum.burst);
      }
      return entries.length === 0 ? { rate: 0, burst: 0 } : { rate, burst };
    },
    getLargestBurst(shard, key) {
      const bursts = entries.map(({ division }) =>
        division.getShardShare(domain, shard, key).burst
      );
      return Math.max(0, ...bursts);
    },
  };
}
