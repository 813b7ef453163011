/**
 * Decisions about shards; pure functions of the store's records.
 *
 * Guarantee: a shard is claimed only when the records show that no live instance
 * holds it. `canClaim` checks that the right to spend of a holder that did not
 * release the shard has ended as well: this instance must have reached the store
 * for a full lease period.
 */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as AllocationPlan from "./allocation_plan.ts";
import type * as Messages from "./messages.ts";

/** A shard's record with its version in the store. */
export interface ShardEntry {
  readonly record: Messages.ShardRecord;
  readonly version: number;
}

/** The next step for one shard. */
export type ShardStep =
  | { readonly kind: "none" }
  /** The record names another instance: stop spending. */
  | { readonly kind: "lost" }
  /** No instance has held the shard before. */
  | { readonly kind: "claim-new" }
  /** The last holder released the shard. */
  | { readonly kind: "claim-released" }
  /** The holder's member record was removed. */
  | { readonly kind: "take-over"; readonly from: Types.InstanceId }
  /**
   * The record names this instance, which does not hold the shard: a transfer
   * message or a store response was lost.
   */
  | { readonly kind: "adopt" };

/** Registered members of a domain with their incarnations. */
export type MemberMap = ReadonlyMap<Types.InstanceId, string>;

/**
 * Decides on the next step for one shard; `entry` is undefined when no instance
 * has held the shard.
 */
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

/** Conditions of a claim apart from the records. */
export interface ClaimConditions {
  /** True when the share is bounded by every table that other instances may use. */
  readonly knowsTablesInUse: boolean;
  /** True when the store was reachable for one full lease period. */
  readonly hasReachedStore: boolean;
}

/**
 * True when a step may claim a shard. An older table that is unknown here may
 * give the shard's share to other shards. A shard that was never held is claimed
 * anyway, or a fleet that starts could not serve requests.
 */
export function canClaim(
  kind: ShardStep["kind"],
  conditions: ClaimConditions,
): boolean {
  if (kind === "claim-new") return true;
  if (!conditions.knowsTablesInUse) return false;
  return kind === "claim-released" || conditions.hasReachedStore;
}

/** Returns the most shards that a member claims, so that the other members get their share. */
export function getShardQuota(memberCount: number): number {
  return Math.ceil(AllocationPlan.SHARDS_PER_DOMAIN / Math.max(1, memberCount));
}

/** Returns the number of shards that the records assign to each live member. */
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
 * Lists domain peers that can receive a shard: registered, reachable and live.
 * Their table may differ, because every holder is bounded by each table in use.
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

/** Returns the member with the fewest shards among `candidates`; undefined when there is none. */
export function chooseReceiver(
  counts: ReadonlyMap<Types.InstanceId, number>,
  candidates: readonly Types.InstanceId[],
): Types.InstanceId | undefined {
  let chosen: Types.InstanceId | undefined;
  for (const id of [...candidates].sort()) {
    const isFewer = chosen === undefined ||
      (counts.get(id) ?? 0) < (counts.get(chosen) ?? 0);
    if (isFewer) chosen = id;
  }
  return chosen;
}

/**
 * Returns the peer to transfer one shard to, when this instance holds the most
 * shards and at least 2 more than that peer.
 */
export function planRebalance(
  counts: ReadonlyMap<Types.InstanceId, number>,
  self: Types.InstanceId,
  candidates: readonly Types.InstanceId[],
): Types.InstanceId | undefined {
  const ownCount = counts.get(self) ?? 0;
  const receiver = chooseReceiver(counts, candidates);
  if (receiver === undefined || ownCount - (counts.get(receiver) ?? 0) < 2) {
    return undefined;
  }
  const isLargestHolder = [...counts].every(([id, count]) =>
    count < ownCount || (count === ownCount && id >= self)
  );
  return isLargestHolder ? receiver : undefined;
}
