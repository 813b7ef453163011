/**
 * The shards of the local domain that this instance holds.
 *
 * Guarantee: at any moment at most one instance spends a shard, and a lost
 * message loses the transferred tokens rather than doubling them. Each change of
 * holder is one compare-and-swap on `shards/<domain>/<n>`. The sender stops
 * spending before the write and the receiver starts after it; a receiver that
 * gets no transfer message starts with empty buckets. The guarantee fails when
 * that of the lease does.
 */
import type * as Types from "../types.ts";
import * as Confirm from "./confirm.ts";
import * as AllocationPlan from "./allocation_plan.ts";
import type * as Allocations from "./allocations.ts";
import type * as InstanceDeps from "./instance_deps.ts";
import * as Messages from "./messages.ts";
import * as ShardPlan from "./shard_plan.ts";
import * as ShardStore from "./shard_store.ts";

/** Wait in ms for the transfer message before a shard is adopted without its tokens. */
const TRANSFER_WAIT_MS = 2_000;
/**
 * A shard unclaimed for this long, in ms, is claimed beyond the quota, because
 * the other members may be stuck.
 */
const UNCLAIMED_WAIT_MS = 5_000;
const CALL_TIMEOUT_MS = 1_000;

/** Dependencies of the ownership. */
export interface OwnershipDeps extends InstanceDeps.InstanceDeps {
  readonly allocations: Allocations.Allocations;
  readonly leaseTtlMs: number;
  readonly isLeaseValid: () => boolean;
}

/** The shards of this instance. */
export interface Ownership {
  /** Reads the store's records once, then claims, takes over and rebalances shards. */
  sync(): Promise<void>;
  /**
   * After a lapse: confirms each held shard by compare-and-swap and drops lost
   * ones; false when the store failed.
   */
  tryReconfirmShards(): Promise<boolean>;
  /** Stops spending shards that another instance holds. */
  dropShards(shards: readonly number[]): void;
  /** Transfers every shard to a domain peer, or releases it; claims none afterwards. */
  transferAll(): Promise<void>;
  /** Instances of the domain that were registered at the last sync. */
  getStorePeers(): readonly Types.InstanceId[];
  /** True when the last sync failed or found a shard to claim or to transfer. */
  isBusy(): boolean;
}

/** Creates ownership without shards and handles `shards.confirm` and `shards.handover`. */
export function createOwnership(deps: OwnershipDeps): Ownership {
  const { clock, domain, health, allocations, log, peers } = deps;
  const self = { id: deps.self, incarnation: deps.incarnation };
  const store = ShardStore.createShardStore(deps);
  /** Epoch at which this instance last started to spend a shard. */
  const startEpochs = new Map<number, number>();
  const pendingSinceMs = new Map<number, number>();
  let isLeaving = false;
  let wasBusy = true;

  function startShard(
    shard: number,
    epoch: number,
    shardStart: Allocations.ShardStart,
  ) {
    pendingSinceMs.delete(shard);
    startEpochs.set(shard, epoch);
    if (allocations.isActive(shard)) return;
    allocations.activate(shard, shardStart);
    log.info("shard-held", { domain, shard, epoch, start: shardStart.kind });
  }

  function stopShard(shard: number, reason: string): Allocations.ShardLevels {
    log.info("shard-given-up", { domain, shard, reason });
    return allocations.deactivate(shard);
  }

  async function sync(): Promise<void> {
    wasBusy = true;
    if (!deps.isLeaseValid()) return;
    const entries = await store.listShards();
    if (entries === undefined || !(await store.listMembers())) return;
    wasBusy = false;
    for (let shard = 0; shard < AllocationPlan.SHARDS_PER_DOMAIN; shard++) {
      const entry = entries.get(shard);
      // Seen before but not listed now: the list is out of date for this shard.
      if (entry === undefined && store.tryGetNewest(shard)) continue;
      await syncShard(shard, entry);
    }
    await rebalance(entries);
  }

  async function syncShard(
    shard: number,
    entry: ShardPlan.ShardEntry | undefined,
  ): Promise<void> {
    const isActive = allocations.isActive(shard);
    const step = ShardPlan.planShard(entry, self, isActive, store.getMembers());
    if (step.kind === "lost") return void stopShard(shard, "other-holder");
    if (step.kind === "none" || isLeaving) {
      pendingSinceMs.delete(shard);
      return;
    }
    wasBusy = true;
    const sinceMs = pendingSinceMs.get(shard) ?? clock.nowMs();
    pendingSinceMs.set(shard, sinceMs);
    const waitedMs = clock.nowMs() - sinceMs;
    if (step.kind === "adopt") {
      if (waitedMs < TRANSFER_WAIT_MS) return;
    } else if (isOverQuota() && waitedMs < UNCLAIMED_WAIT_MS) {
      return;
    }
    await claim(shard, entry, step);
  }

  function isOverQuota(): boolean {
    const quota = ShardPlan.getShardQuota(store.getMembers().size);
    return allocations.getShards().length >= quota;
  }

  function canClaim(kind: ShardPlan.ShardStep["kind"]): boolean {
    return allocations.tryGetPlan() !== undefined && ShardPlan.canClaim(kind, {
      knowsTablesInUse: allocations.knowsTablesInUse(),
      hasReachedStore: health.getReachableForMs() >= deps.leaseTtlMs,
    });
  }

  async function claim(
    shard: number,
    entry: ShardPlan.ShardEntry | undefined,
    step: ShardPlan.ShardStep,
  ): Promise<void> {
    if (!canClaim(step.kind)) return;
    if (step.kind === "take-over" && step.from !== deps.self) {
      const response = await queryHolder(step.from, [shard]);
      if (response?.isValid && response.held.includes(shard)) return;
    }
    const failuresBefore = health.getFailures();
    const epoch = (entry?.record.epoch ?? 0) + 1;
    const version = await store.tryWrite(
      shard,
      entry?.version ?? 0,
      epoch,
      self,
    );
    if (version === undefined) return;
    // After a store failure, a disconnected holder may rely on this instance to
    // wait for another full lease period. A later sync adopts the shard.
    if (health.getFailures() !== failuresBefore || !deps.isLeaseValid()) return;
    const kind = step.kind === "claim-new" ? "full" : "empty";
    startShard(shard, epoch, { kind });
  }

  function queryHolder(id: Types.InstanceId, shards: readonly number[]) {
    return Confirm.queryHeldShards(peers, id, domain, shards, CALL_TIMEOUT_MS);
  }

  function getReceivers(): readonly Types.InstanceId[] {
    return ShardPlan.listReceivers(store.getMembers(), peers);
  }

  /**
   * Returns the receivers that would take a shard. One that is not ready would leave
   * it unused for a lease period, where any instance may claim a released one.
   */
  async function queryReadyReceivers(
    shards: readonly number[],
  ): Promise<ReadonlySet<Types.InstanceId>> {
    const ready = new Set<Types.InstanceId>();
    await Promise.all(
      getReceivers().map(async (id) => {
        const response = await queryHolder(id, shards);
        if (response?.canReceive) ready.add(id);
      }),
    );
    return ready;
  }

  async function rebalance(
    entries: ReadonlyMap<number, ShardPlan.ShardEntry>,
  ): Promise<void> {
    if (isLeaving || !allocations.knowsTablesInUse()) return;
    const counts = ShardPlan.countShards(entries.values(), store.getMembers());
    const receiver = ShardPlan.planRebalance(counts, deps.self, getReceivers());
    const shard = allocations.getShards()[0];
    if (receiver === undefined || shard === undefined) return;
    wasBusy = true;
    const response = await queryHolder(receiver, [shard]);
    if (response?.canReceive) await transferShard(shard, receiver);
  }

  async function transferShard(
    shard: number,
    to: Types.InstanceId,
  ): Promise<void> {
    const incarnation = store.getMembers().get(to);
    const old = store.tryGetNewest(shard);
    if (!incarnation || !old) return;
    const levels = stopShard(shard, "handover");
    const epoch = old.epoch + 1;
    const owner = { id: to, incarnation };
    const version = await store.tryWrite(
      shard,
      old.version,
      epoch,
      owner,
    );
    if (version === undefined) return;
    const params: Messages.TransferRequest = {
      domain,
      shard,
      incarnation,
      epoch,
      version,
      levels,
    };
    const method = Messages.METHODS.transfer;
    const sent = await peers.call(to, method, params, CALL_TIMEOUT_MS);
    if (sent.isErr()) log.warn("handover-content-lost", { shard, to });
  }

  function canReceive(): boolean {
    return deps.isLeaseValid() && allocations.knowsTablesInUse() && !isLeaving;
  }

  function tryReceive(req: Messages.TransferRequest): boolean {
    const { shard, epoch } = req;
    const isAddressedHere = req.domain === domain &&
      req.incarnation === deps.incarnation;
    // A late or repeated message must not refill a shard that has changed its
    // holder since.
    const isNew = epoch > (startEpochs.get(shard) ?? 0) &&
      epoch >= (store.tryGetNewest(shard)?.epoch ?? 0);
    if (
      !isAddressedHere || !isNew || !canReceive() || allocations.isActive(shard)
    ) {
      return false;
    }
    store.recordVersion(shard, req.version, epoch);
    startShard(shard, epoch, { kind: "levels", levels: req.levels });
    return true;
  }

  async function tryReconfirmShards(): Promise<boolean> {
    const entries = await store.listShards();
    if (entries === undefined) return false;
    for (const shard of allocations.getShards()) {
      const entry = entries.get(shard);
      const record = entry?.record;
      const isOwner = record?.owner === self.id &&
        record.incarnation === self.incarnation &&
        record.epoch === startEpochs.get(shard);
      if (entry === undefined || !isOwner) {
        stopShard(shard, "lost-while-lapsed");
        continue;
      }
      // The write changes the version, so that a take-over decided before it fails.
      const failuresBefore = health.getFailures();
      const epoch = entry.record.epoch + 1;
      const version = await store.tryWrite(
        shard,
        entry.version,
        epoch,
        self,
      );
      if (version !== undefined) startEpochs.set(shard, epoch);
      else if (health.getFailures() !== failuresBefore) return false;
      else stopShard(shard, "lost-while-lapsed");
    }
    return true;
  }

  async function transferAll(): Promise<void> {
    isLeaving = true;
    const entries = await store.listShards();
    await store.listMembers();
    const storeEntries = entries?.values() ?? [];
    const counts = new Map(
      ShardPlan.countShards(storeEntries, store.getMembers()),
    );
    const shards = allocations.getShards();
    const ready = await queryReadyReceivers(shards);
    for (const shard of shards) {
      const receivers = getReceivers().filter((id) => ready.has(id));
      const receiver = ShardPlan.chooseReceiver(counts, receivers);
      if (receiver !== undefined) {
        counts.set(receiver, (counts.get(receiver) ?? 0) + 1);
        await transferShard(shard, receiver);
        continue;
      }
      stopShard(shard, "release");
      const old = store.tryGetNewest(shard);
      const nobody = { id: "", incarnation: "" };
      if (old) await store.tryWrite(shard, old.version, old.epoch + 1, nobody);
    }
  }

  Confirm.handleConfirm(peers, domain, {
    isActive: allocations.isActive,
    isValid: deps.isLeaseValid,
    canReceive,
  });
  peers.handle(Messages.METHODS.transfer, (params) => {
    const req = Messages.tryReadTransfer(params);
    if (req === undefined) throw new Error("malformed shards.handover");
    const isTaken = tryReceive(req);
    if (!isTaken) log.warn("handover-refused", { shard: req.shard });
    return { isTaken };
  });

  return {
    sync,
    tryReconfirmShards,
    dropShards(shards) {
      for (const shard of shards) stopShard(shard, "held-by-peer");
    },
    transferAll,
    getStorePeers: () => [...store.getMembers().keys()],
    isBusy: () => wasBusy,
  };
}
