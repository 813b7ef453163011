/**
 * The conserved limits of this instance: division, holdings, lease, shard
 * ownership and loans behind `Contracts.Budgets`.
 *
 * Promise: over any window of t seconds, what all instances together take of a
 * key, less what they give back, stays within burst + rate x t. See the parts
 * for what would break it; while a table changes, the larger of both limits
 * counts.
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

/** Added to the staleness limit before a grown share applies. */
const GROW_EXTRA_MS = 500;
/** How often the tasks look whether their next run is due. */
const POLL_INTERVAL_MS = 500;
const RETRY_INTERVAL_MS = 1_000;

/** What budgets are made of. */
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
  /** Waits; replaceable so that tests control time. */
  readonly sleep?: (ms: number) => Promise<void>;
  /** Jitter; replaceable so that tests repeat from a seed. */
  readonly random?: () => number;
}

/** Budgets with their life cycle. */
export interface Budgets extends Contracts.Budgets {
  /** With `takenAtMs` (monotonic, read after the take) a refund is exact; without, it may be less. */
  refund(key: Contracts.BudgetKey, tokens: number, takenAtMs?: number): void;
  /** Registers the instance and starts the periodic tasks on the supervisor. */
  start(): Promise<void>;
  /** Graceful shutdown: hands every shard to a domain peer, or releases it. */
  transferAll(): Promise<void>;
  /** Ends all spending and releases the lease; the supervisor's owner stops the tasks. */
  stop(): Promise<void>;
  getMode(): "connected" | "disconnected";
  /** True when no instance uses a table from before that revision. */
  isTableSettled(revision: number): boolean;
  getLoanStats(): Loans.LoanStats;
}

/** Creates budgets without table and shards; `start` begins to hold. */
export function createBudgets(deps: BudgetsDeps): Budgets {
  const { cfg, clock, domain, peers, supervisor } = deps;
  const log = deps.log.child({ module: "budget" });
  const sleep = deps.sleep ?? Clock.sleep;
  const health = StoreHealth.createStoreHealth(clock, cfg.lease.ttlMs);
  const holdings = Allocations.createHoldings({
    clock,
    domain,
    growDelayMs: cfg.keys.stalenessLimitMs + GROW_EXTRA_MS,
  });
  const ownership = Ownership.createOwnership({
    ...deps,
    log,
    health,
    holdings,
    leaseTtlMs: cfg.lease.ttlMs,
    isLeaseValid: () => lease.isValid(),
  });
  const lease: Lease.Lease = Lease.createLease({
    ...deps,
    log,
    health,
    cfg: { ...cfg.lease, callTimeoutMs: cfg.platform.timeoutMs },
    getStorePeers: ownership.getStorePeers,
    getShards: holdings.getShards,
    reconfirm: ownership.reconfirm,
    dropShards: ownership.dropShards,
    emptyAll: holdings.emptyAll,
  });
  const lenders = Lenders.createLenders(
    domain,
    peers,
    clock,
    holdings.tryGetDivision,
  );
  const loans = Loans.createLoans({
    peers,
    clock,
    sleep,
    random: deps.random ?? Math.random,
    holdings,
    lenders,
    isValid: lease.isValid,
  });
  let nextRenewMs = -Infinity;
  let nextSyncMs = -Infinity;

  async function renewWhenDue(): Promise<void> {
    const startedMs = clock.nowMs();
    if (startedMs < nextRenewMs) return;
    const oldUntilMs = lease.getValidUntilMs();
    await lease.renew();
    const isRenewed = lease.isValid() && lease.getValidUntilMs() > oldUntilMs;
    const retryMs = Math.min(RETRY_INTERVAL_MS, cfg.lease.renewMs);
    nextRenewMs = startedMs + (isRenewed ? cfg.lease.renewMs : retryMs);
  }

  /** Spares an instance that starts the wait which a peer has behind it. */
  function learnSettledTable(): void {
    const revision = holdings.tryGetDivision()?.revision;
    if (revision === undefined || holdings.isTableSettled(revision)) return;
    for (const { heartbeat } of peers.getMembers()) {
      if (!heartbeat.isTableSettled) continue;
      holdings.noteTableSettled(heartbeat.tableRevision);
    }
  }

  async function syncWhenDue(): Promise<void> {
    const startedMs = clock.nowMs();
    if (startedMs < nextSyncMs && !ownership.isBusy()) return;
    if (holdings.tryGetDivision() === undefined) return;
    await ownership.sync();
    nextSyncMs = startedMs + cfg.lease.renewMs;
  }

  return {
    tryAcquire: loans.tryTake,
    acquire: loans.take,
    refund: loans.giveBack,
    reacquire: loans.retake,
    getAllocation(key) {
      const limits = holdings.tryGet(key)?.bucket.getLimits();
      return {
        tokens: loans.getTokens(key),
        rate: limits?.rate ?? 0,
        burst: limits?.burst ?? 0,
      };
    },
    isScarce: loans.isScarce,
    getWaitMs(key, tokens) {
      const limits = holdings.tryGet(key)?.bucket.getLimits();
      const short = tokens - loans.getTokens(key);
      if (short <= 0) return 0;
      if (limits === undefined || limits.rate <= 0) return Infinity;
      if (tokens > limits.burst) return Infinity;
      return (short / limits.rate) * 1000;
    },
    setTable(table) {
      const current = holdings.tryGetDivision()?.revision ?? -1;
      if (table.revision <= current) return;
      holdings.setDivision(AllocationPlan.createAllocationPlan(table));
      nextSyncMs = -Infinity;
    },
    isValid: lease.isValid,
    getShards: holdings.getShards,
    async start() {
      await renewWhenDue();
      await syncWhenDue();
      supervisor.every("budget-tick", Lease.TICK_INTERVAL_MS, () => {
        // Only a renewal ends the suspension; the regular one may be far.
        if (lease.tick()) nextRenewMs = -Infinity;
        learnSettledTable();
        holdings.applyGrowth();
      });
      supervisor.every("lease", POLL_INTERVAL_MS, renewWhenDue);
      supervisor.every("shards", POLL_INTERVAL_MS, syncWhenDue);
    },
    transferAll: ownership.handOverAll,
    async stop() {
      loans.stop();
      await lease.release();
    },
    getMode: lease.getMode,
    isTableSettled: holdings.isTableSettled,
    getLoanStats: loans.getStats,
  };
}
