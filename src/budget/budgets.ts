/**
 * The conserved limits of this instance: allocation plan, allocations, lease,
 * shard ownership and loans behind `Contracts.Budgets`.
 *
 * Guarantee: in any window of t seconds, the tokens of a key that all instances
 * together acquire, less their refunds, stay within burst + rate x t. While a
 * table changes, the larger of both limits counts. Each module named above
 * states when its own guarantee fails.
 */
import * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Log from "../log.ts";
import type * as Settings from "../settings/settings.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as AllocationPlan from "./allocation_plan.ts";
import * as Allocations from "./allocations.ts";
import * as Lease from "./lease.ts";
import * as Lenders from "./lenders.ts";
import * as Loans from "./loans.ts";
import * as Ownership from "./ownership.ts";
import * as StoreHealth from "./store_health.ts";

/** Added to the staleness limit before a raised share applies, in ms. */
const GROW_EXTRA_MS = 500;
/** How often the periodic tasks check whether their next run is due. */
const POLL_INTERVAL_MS = 500;
const RETRY_INTERVAL_MS = 1_000;

/** Dependencies of the budgets. */
export interface BudgetsDeps {
  readonly self: Types.InstanceId;
  readonly incarnation: string;
  readonly domain: Types.Domain;
  readonly region: Types.Region;
  readonly platform: Contracts.PlatformClient;
  readonly peers: Contracts.PeerNet;
  readonly supervisor: Supervisor.Supervisor;
  readonly log: Log.Logger;
  readonly clock: Clock.Clock;
  readonly cfg: Pick<Settings.Settings, "lease" | "keys" | "platform">;
  /** Sleeps for some ms; replaceable so that tests control time. */
  readonly sleep?: (ms: number) => Promise<void>;
  /** Source of jitter; replaceable so that tests repeat from a seed. */
  readonly random?: () => number;
}

/** Budgets with their life cycle. */
export interface Budgets extends Contracts.Budgets {
  /**
   * With `acquiredAtMs` (monotonic, read after the tokens were acquired) the
   * refund is exact; without it, fewer tokens may be refunded.
   */
  refund(key: Contracts.BudgetKey, tokens: number, acquiredAtMs?: number): void;
  /** Registers the instance and starts the periodic tasks on the supervisor. */
  start(): Promise<void>;
  /** Graceful shutdown: transfers every shard to a domain peer, or releases it. */
  transferAll(): Promise<void>;
  /** Ends all spending and releases the lease; the supervisor's owner stops the tasks. */
  stop(): Promise<void>;
  getMode(): "connected" | "disconnected";
  /** True when no instance uses a table older than that revision. */
  isTableSettled(revision: number): boolean;
  getLoanStats(): Loans.LoanStats;
}

/** Creates budgets without table and shards; `start` acquires the lease and shards. */
export function createBudgets(deps: BudgetsDeps): Budgets {
  const { cfg, clock, domain, peers, supervisor } = deps;
  const log = deps.log.child({ module: "budget" });
  const sleep = deps.sleep ?? Clock.sleep;
  const health = StoreHealth.createStoreHealth(clock, cfg.lease.ttlMs);
  const allocations = Allocations.createAllocations({
    clock,
    domain,
    growDelayMs: cfg.keys.stalenessLimitMs + GROW_EXTRA_MS,
  });
  const ownership = Ownership.createOwnership({
    ...deps,
    log,
    health,
    allocations,
    leaseTtlMs: cfg.lease.ttlMs,
    isLeaseValid: () => lease.isValid(),
  });
  const lease: Lease.Lease = Lease.createLease({
    ...deps,
    log,
    health,
    cfg: { ...cfg.lease, callTimeoutMs: cfg.platform.timeoutMs },
    getStorePeers: ownership.getStorePeers,
    getShards: allocations.getShards,
    tryReconfirmShards: ownership.tryReconfirmShards,
    dropShards: ownership.dropShards,
    emptyAll: allocations.emptyAll,
  });
  const lenders = Lenders.createLenders(
    domain,
    peers,
    clock,
    allocations.tryGetPlan,
  );
  const loans = Loans.createLoans({
    peers,
    clock,
    sleep,
    random: deps.random ?? Math.random,
    allocations,
    lenders,
    isValid: lease.isValid,
  });
  let nextRenewAtMs = -Infinity;
  let nextSyncAtMs = -Infinity;

  async function renewWhenDue(): Promise<void> {
    const startedAtMs = clock.nowMs();
    if (startedAtMs < nextRenewAtMs) return;
    const oldUntilMs = lease.getValidUntilMs();
    await lease.renew();
    const isRenewed = lease.isValid() && lease.getValidUntilMs() > oldUntilMs;
    const retryMs = Math.min(RETRY_INTERVAL_MS, cfg.lease.renewMs);
    nextRenewAtMs = startedAtMs + (isRenewed ? cfg.lease.renewMs : retryMs);
  }

  /**
   * Records that the table is settled when a peer reports it, so that a
   * starting instance does not wait out `growDelayMs`.
   */
  function adoptSettledTable(): void {
    const revision = allocations.tryGetPlan()?.revision;
    if (revision === undefined || allocations.isTableSettled(revision)) return;
    for (const { heartbeat } of peers.getMembers()) {
      if (!heartbeat.isTableSettled) continue;
      allocations.recordTableSettled(heartbeat.tableRevision);
    }
  }

  async function syncWhenDue(): Promise<void> {
    const startedAtMs = clock.nowMs();
    if (startedAtMs < nextSyncAtMs && !ownership.isBusy()) return;
    if (allocations.tryGetPlan() === undefined) return;
    await ownership.sync();
    nextSyncAtMs = startedAtMs + cfg.lease.renewMs;
  }

  return {
    tryAcquire: loans.tryAcquire,
    acquire: loans.acquire,
    refund: loans.refund,
    reacquire: loans.reacquire,
    getAllocation(key) {
      const limits = allocations.tryGet(key)?.bucket.getLimits();
      return {
        tokens: loans.getAvailableTokens(key),
        rate: limits?.rate ?? 0,
        burst: limits?.burst ?? 0,
      };
    },
    isScarce: loans.isScarce,
    getWaitMs(key, tokens) {
      const limits = allocations.tryGet(key)?.bucket.getLimits();
      const shortfall = tokens - loans.getAvailableTokens(key);
      if (shortfall <= 0) return 0;
      if (limits === undefined || limits.rate <= 0) return Infinity;
      if (tokens > limits.burst) return Infinity;
      return (shortfall / limits.rate) * 1000;
    },
    setTable(table) {
      const current = allocations.tryGetPlan()?.revision ?? -1;
      if (table.revision <= current) return;
      allocations.setPlan(AllocationPlan.createAllocationPlan(table));
      nextSyncAtMs = -Infinity;
    },
    isValid: lease.isValid,
    getShards: allocations.getShards,
    async start() {
      await renewWhenDue();
      await syncWhenDue();
      supervisor.every("budget-tick", Lease.TICK_INTERVAL_MS, () => {
        // Only a renewal ends the suspension, and the regular one may be far off.
        if (lease.tick()) nextRenewAtMs = -Infinity;
        adoptSettledTable();
        allocations.applyRaisedLimits();
      });
      supervisor.every("lease", POLL_INTERVAL_MS, renewWhenDue);
      supervisor.every("shards", POLL_INTERVAL_MS, syncWhenDue);
    },
    transferAll: ownership.transferAll,
    async stop() {
      loans.stop();
      await lease.release();
    },
    getMode: lease.getMode,
    isTableSettled: allocations.isTableSettled,
    getLoanStats: loans.getStats,
  };
}
