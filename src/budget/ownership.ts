/**
 * Which shards of the own domain this instance holds.
 *
 * Promise: at any moment at most one instance spends a shard, and content that
 * moves between holders is lost rather than doubled when a message is. Each
 * change of holder is one compare-and-swap on `shards/<domain>/<n>`; the giver
 * stops spending before it, the receiver starts after it, and a receiver
 * without the giver's message starts empty. It breaks when the lease's promise
 * does.
 */
import type * as Types from "../types.ts";
import * as Confirm from "./confirm.ts";
import * as AllocationPlan from "./allocation_plan.ts";
import type * as Allocations from "./allocations.ts";
import type * as InstanceDeps from "./instance_deps.ts";
import * as Messages from "./messages.ts";
import * as Plan from "./shard_plan.ts";
import * as ShardStore from "./shard_store.ts";

/** Wait for a giver's message before a shard is adopted without its content. */
const HANDOVER_WAIT_MS = 2_000;
/** Unclaimed for this long, a shard is claimed beyond the quota: the others may be stuck. */
const UNCLAIMED_WAIT_MS = 5_000;
const CALL_TIMEOUT_MS = 1_000;

/** What ownership needs of its surroundings. */
export interface OwnershipDeps extends InstanceDeps.InstanceDeps {
  readonly holdings: Allocations.Holdings;
  readonly leaseTtlMs: number;
  readonly isLeaseValid: () => boolean;
}

/** The shards of this instance. */
export interface Ownership {
  /** One pass over the store's records: claims, take-overs, balancing. */
  sync(): Promise<void>;
  /** After a lapse: confirms each held shard by compare-and-swap, drops lost ones; false when the store failed. */
  reconfirm(): Promise<boolean>;
  /** Stops spending shards that another instance holds. */
  dropShards(shards: readonly number[]): void;
  /** Hands every shard to a domain peer, or releases it; no claims afterwards. */
  handOverAll(): Promise<void>;
  /** Instances of the domain registered at the last pass. */
  getStorePeers(): readonly Types.InstanceId[];
  /** True when the last pass saw a shard to claim or to hand over. */
  isBusy(): boolean;
}

/** Creates ownership without shards and handles `shards.confirm` and `shards.handover`. */
export function createOwnership(deps: OwnershipDeps): Ownership {
  const { clock, domain, health, holdings, log, peers } = deps;
  const self = { id: deps.self, incarnation: deps.incarnation };
  const store = ShardStore.createShardStore(deps);
  /** Epoch at which this instance last started to spend a shard. */
  const startedEpoch = new Map<number, number>();
  const waitingSince = new Map<number, number>();
  let isLeaving = false;
  let wasBusy = true;

  function start(shard: number, epoch: number, how: Allocations.ShardStart) {
    waitingSince.delete(shard);
    startedEpoch.set(shard, epoch);
    if (holdings.isActive(shard)) return;
    holdings.activate(shard, how);
    log.info("shard-held", { domain, shard, epoch, start: how.kind });
  }

  function stop(shard: number, reason: string): Allocations.ShardLevels {
    log.info("shard-given-up", { domain, shard, reason });
    return holdings.deactivate(shard);
  }

  async function sync(): Promise<void> {
    wasBusy = true;
    if (!deps.isLeaseValid()) return;
    const entries = await store.listShards();
    if (entries === undefined || !(await store.listMembers())) return;
    wasBusy = false;
    for (let shard = 0; shard < AllocationPlan.SHARDS_PER_DOMAIN; shard++) {
      const entry = entries.get(shard);
      // Known but not listed: the list was out of date for this shard.
      if (entry === undefined && store.tryGetKnown(shard)) continue;
      await syncShard(shard, entry);
    }
    await balance(entries);
  }

  async function syncShard(
    shard: number,
    entry: Plan.ShardEntry | undefined,
  ): Promise<void> {
    const isActive = holdings.isActive(shard);
    const step = Plan.planShard(entry, self, isActive, store.getMembers());
    if (step.kind === "lost") return void stop(shard, "other-holder");
    if (step.kind === "none" || isLeaving) {
      waitingSince.delete(shard);
      return;
    }
    wasBusy = true;
    const since = waitingSince.get(shard) ?? clock.nowMs();
    waitingSince.set(shard, since);
    const waitedMs = clock.nowMs() - since;
    if (step.kind === "adopt") {
      if (waitedMs < HANDOVER_WAIT_MS) return;
    } else if (isOverQuota() && waitedMs < UNCLAIMED_WAIT_MS) {
      return;
    }
    await claim(shard, entry, step);
  }

  function isOverQuota(): boolean {
    const quota = Plan.getQuota(store.getMembers().size);
    return holdings.getShards().length >= quota;
  }

  function mayClaim(kind: Plan.ShardStep["kind"]): boolean {
    return holdings.tryGetDivision() !== undefined && Plan.mayClaim(kind, {
      knowsTablesInUse: holdings.knowsTablesInUse(),
      hasReachedStore: health.getReachableForMs() >= deps.leaseTtlMs,
    });
  }

  async function claim(
    shard: number,
    entry: Plan.ShardEntry | undefined,
    step: Plan.ShardStep,
  ): Promise<void> {
    if (!mayClaim(step.kind)) return;
    if (step.kind === "take-over" && step.from !== deps.self) {
      const answer = await ask(step.from, shard);
      if (answer?.isValid && answer.held.includes(shard)) return;
    }
    const failures = health.getFailures();
    const epoch = (entry?.record.epoch ?? 0) + 1;
    const version = await store.write(shard, entry?.version ?? 0, epoch, self);
    if (version === undefined) return;
    // A failure since lets a disconnected holder count on another full wait;
    // the record is then adopted by a later pass.
    if (health.getFailures() !== failures || !deps.isLeaseValid()) return;
    const kind = step.kind === "claim-new" ? "full" : "empty";
    start(shard, epoch, { kind });
  }

  function ask(id: Types.InstanceId, shard: number) {
    return Confirm.askHeld(peers, id, domain, [shard], CALL_TIMEOUT_MS);
  }

  function getReceivers(): readonly Types.InstanceId[] {
    return Plan.listReceivers(store.getMembers(), peers);
  }

  async function balance(
    entries: ReadonlyMap<number, Plan.ShardEntry>,
  ): Promise<void> {
    if (isLeaving || !holdings.knowsTablesInUse()) return;
    const counts = Plan.countShards(entries.values(), store.getMembers());
    const receiver = Plan.planBalance(counts, deps.self, getReceivers());
    const shard = holdings.getShards()[0];
    if (receiver === undefined || shard === undefined) return;
    wasBusy = true;
    // A newcomer that is not ready would leave the shard unused for a while.
    const answer = await ask(receiver, shard);
    if (answer?.canReceive) await handOver(shard, receiver);
  }

  async function handOver(
    shard: number,
    to: Types.InstanceId,
  ): Promise<void> {
    const incarnation = store.getMembers().get(to);
    const old = store.tryGetKnown(shard);
    if (!incarnation || !old) return;
    const levels = stop(shard, "handover");
    const epoch = old.epoch + 1;
    const owner = { id: to, incarnation };
    const version = await store.write(shard, old.version, epoch, owner);
    if (version === undefined) return;
    const params: Messages.HandOverRequest = {
      domain,
      shard,
      incarnation,
      epoch,
      version,
      levels,
    };
    const method = Messages.METHODS.handOver;
    const sent = await peers.call(to, method, params, CALL_TIMEOUT_MS);
    if (sent.isErr()) log.warn("handover-content-lost", { shard, to });
  }

  function isReady(): boolean {
    return deps.isLeaseValid() && holdings.knowsTablesInUse() && !isLeaving;
  }

  function receive(req: Messages.HandOverRequest): boolean {
    const { shard, epoch } = req;
    const isForThis = req.domain === domain &&
      req.incarnation === deps.incarnation;
    // A late or doubled message must not refill a shard that moved on.
    const isNew = epoch > (startedEpoch.get(shard) ?? 0) &&
      epoch >= (store.tryGetKnown(shard)?.epoch ?? 0);
    if (!isForThis || !isNew || !isReady() || holdings.isActive(shard)) {
      return false;
    }
    store.note(shard, req.version, epoch);
    start(shard, epoch, { kind: "levels", levels: req.levels });
    return true;
  }

  async function reconfirm(): Promise<boolean> {
    const entries = await store.listShards();
    if (entries === undefined) return false;
    for (const shard of holdings.getShards()) {
      const entry = entries.get(shard);
      const record = entry?.record;
      const isNamed = record?.owner === self.id &&
        record.incarnation === self.incarnation &&
        record.epoch === startedEpoch.get(shard);
      if (entry === undefined || !isNamed) {
        stop(shard, "lost-while-lapsed");
        continue;
      }
      // The write makes a take-over decided before it fail.
      const failures = health.getFailures();
      const epoch = entry.record.epoch + 1;
      const version = await store.write(shard, entry.version, epoch, self);
      if (version !== undefined) startedEpoch.set(shard, epoch);
      else if (health.getFailures() !== failures) return false;
      else stop(shard, "lost-while-lapsed");
    }
    return true;
  }

  async function handOverAll(): Promise<void> {
    isLeaving = true;
    const entries = await store.listShards();
    await store.listMembers();
    const known = entries?.values() ?? [];
    const counts = new Map(Plan.countShards(known, store.getMembers()));
    for (const shard of holdings.getShards()) {
      const receiver = Plan.chooseReceiver(counts, getReceivers());
      if (receiver !== undefined) {
        counts.set(receiver, (counts.get(receiver) ?? 0) + 1);
        await handOver(shard, receiver);
        continue;
      }
      stop(shard, "release");
      const old = store.tryGetKnown(shard);
      const nobody = { id: "", incarnation: "" };
      if (old) await store.write(shard, old.version, old.epoch + 1, nobody);
    }
  }

  Confirm.handleConfirm(peers, domain, {
    isActive: holdings.isActive,
    isValid: deps.isLeaseValid,
    isReady,
  });
  peers.handle(Messages.METHODS.handOver, (params) => {
    const req = Messages.tryReadHandOver(params);
    if (req === undefined) throw new Error("malformed shards.handover");
    const isTaken = receive(req);
    if (!isTaken) log.warn("handover-refused", { shard: req.shard });
    return { isTaken };
  });

  return {
    sync,
    reconfirm,
    dropShards(shards) {
      for (const shard of shards) stop(shard, "held-by-peer");
    },
    handOverAll,
    getStorePeers: () => [...store.getMembers().keys()],
    isBusy: () => wasBusy,
  };
}
