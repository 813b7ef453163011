/**
 * What to do about one shard, as a pure decision on the store's records.
 *
 * Promise: a shard is claimed only when the records show that no living
 * instance holds it. Whether the holder's own validity has ended as well is
 * for the caller: it must have reached the store for a full lease period.
 */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as AllocationPlan from "./allocation_plan.ts";
import type * as Messages from "./messages.ts";

/** A shard's record with the store's version; undefined when never held. */
export interface ShardEntry {
  readonly record: Messages.ShardRecord;
  readonly version: number;
}

/** The next step for one shard. */
export type ShardStep =
  | { readonly kind: "none" }
  /** Another instance is named: stop spending. */
  | { readonly kind: "lost" }
  /** Never held. */
  | { readonly kind: "claim-new" }
  /** Given back by its last holder. */
  | { readonly kind: "claim-released" }
  /** The holder's member record is gone. */
  | { readonly kind: "take-over"; readonly from: Types.InstanceId }
  /** The record names this instance, which does not hold it: a lost handover or answer. */
  | { readonly kind: "adopt" };

/** Registered members of a domain with their incarnations. */
export type MemberMap = ReadonlyMap<Types.InstanceId, string>;

/** Decides on one shard. */
export function planShard(
  entry: ShardEntry | undefined,
  self: { readonly id: Types.InstanceId; readonly incarnation: string },
  isActive: boolean,
  members: MemberMap,
): ShardStep {
  if (entry === undefined) return { kind: "claim-new" };
  const { owner, incarnation } = entry.record;
  if (owner === self.id && incarnation === self.incarnation) {
    return isActive ? { kind: "none" } : { kind: "adopt" };
  }
  if (isActive) return { kind: "lost" };
  if (owner === "") return { kind: "claim-released" };
  if (members.get(owner) === incarnation) return { kind: "none" };
  return { kind: "take-over", from: owner };
}

/** What a claim depends on beside the records. */
export interface ClaimConditions {
  /** True when the share is bounded by every table that others may use. */
  readonly knowsTablesInUse: boolean;
  /** True when the store was reachable for one full lease period. */
  readonly hasReachedStore: boolean;
}

/**
 * An older table that is unknown here may give the share to others. A shard
 * that was never held is claimed anyway, or a fleet that starts could not serve.
 */
export function mayClaim(
  kind: ShardStep["kind"],
  now: ClaimConditions,
): boolean {
  if (kind === "claim-new") return true;
  if (!now.knowsTablesInUse) return false;
  return kind === "claim-released" || now.hasReachedStore;
}

/** Most shards that a member claims by itself, so that others get their part. */
export function getQuota(memberCount: number): number {
  return Math.ceil(AllocationPlan.SHARDS_PER_DOMAIN / Math.max(1, memberCount));
}

/** Number of shards that the records give each living member. */
export function countShards(
  entries: Iterable<ShardEntry>,
  members: MemberMap,
): ReadonlyMap<Types.InstanceId, number> {
  const counts = new Map<Types.InstanceId, number>();
  for (const id of members.keys()) counts.set(id, 0);
  for (const { record } of entries) {
    const isAlive = members.get(record.owner) === record.incarnation;
    if (!isAlive) continue;
    counts.set(record.owner, (counts.get(record.owner) ?? 0) + 1);
  }
  return counts;
}

/**
 * Domain peers that can receive a shard: registered and live. Their table may
 * differ, as every holder is bounded by each table in use.
 */
export function listReceivers(
  members: MemberMap,
  peers: Contracts.PeerNet,
): readonly Types.InstanceId[] {
  return [...members].filter(([id, incarnation]) => {
    const member = id === peers.self ? undefined : peers.tryGetMember(id);
    return member !== undefined && member.isReachable &&
      member.heartbeat.state === "live" &&
      member.heartbeat.incarnation === incarnation;
  }).map(([id]) => id);
}

/** The member with the fewest shards among `candidates`; undefined when there is none. */
export function chooseReceiver(
  counts: ReadonlyMap<Types.InstanceId, number>,
  candidates: readonly Types.InstanceId[],
): Types.InstanceId | undefined {
  let best: Types.InstanceId | undefined;
  for (const id of [...candidates].sort()) {
    const isFewer = best === undefined ||
      (counts.get(id) ?? 0) < (counts.get(best) ?? 0);
    if (isFewer) best = id;
  }
  return best;
}

/** The newcomer to hand one shard to, when this instance holds most and at least 2 more. */
export function planBalance(
  counts: ReadonlyMap<Types.InstanceId, number>,
  self: Types.InstanceId,
  candidates: readonly Types.InstanceId[],
): Types.InstanceId | undefined {
  const own = counts.get(self) ?? 0;
  const receiver = chooseReceiver(counts, candidates);
  if (receiver === undefined || own - (counts.get(receiver) ?? 0) < 2) {
    return undefined;
  }
  const isTop = [...counts].every(([id, count]) =>
    count < own || (count === own && id >= self)
  );
  return isTop ? receiver : undefined;
}
