/** The fleet members that this instance knows, and whether they are reachable. */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import type * as Heartbeat from "./heartbeat.ts";
import type * as Listing from "./listing.ts";

/** Age of the last heartbeat in ms from which a connected member is unreachable. */
export const UNREACHABLE_AFTER_MS = 3_000;
/**
 * Age in ms up to which a member counts as reachable if another peer reported it
 * so. A member outside this instance's mesh is known from `members.list` only,
 * which large fleets query every two minutes; the limit spans two queries.
 */
const RELAYED_REACHABLE_MS = 250_000;
/** Age in ms after which a member whose process has ended is removed. */
const REMOVE_ENDED_AFTER_MS = 120_000;
/**
 * Age in ms after which an unresponsive member is removed; network partitions
 * may last for hours.
 */
const REMOVE_UNRESPONSIVE_AFTER_MS = 24 * 3_600_000;

interface MemberRecord {
  readonly heartbeat: Types.Heartbeat;
  /** Monotonic ms; the heartbeat was not sent before. */
  readonly sentAtMs: number;
  /** True if the member itself sent the heartbeat, false if another peer relayed it. */
  readonly isDirect: boolean;
  /** For a relayed heartbeat: true if the member was reachable for the relaying peer. */
  readonly wasReachable: boolean;
}

/** Table of the known members, without this instance. */
export interface Members {
  /** Records a heartbeat that the member itself sent. */
  recordHeartbeat(received: Heartbeat.ReceivedHeartbeat): void;
  /**
   * Applies a response of `members.list` that was requested at `requestedAtMs`.
   * Returns the heartbeats of members that are new or changed their address.
   */
  applyChanges(
    changes: Listing.Changes,
    requestedAtMs: number,
  ): readonly Types.Heartbeat[];
  tryGet(id: Types.InstanceId): Types.Member | undefined;
  /** Returns the last heartbeat of the member, reachable or not. */
  tryGetHeartbeat(id: Types.InstanceId): Types.Heartbeat | undefined;
  getAll(): readonly Types.Member[];
  /**
   * Removes members whose last heartbeat is too old; the limit is shorter if
   * the process has ended.
   */
  removeExpired(hasProcessEnded: (id: Types.InstanceId) => boolean): void;
}

/**
 * Creates an empty table. `canTrustRelay` returns true if a member without
 * recent direct heartbeats counts as reachable on evidence from `sentAtMs`. It
 * returns false for members of this instance's mesh, and if the member could not
 * be reached after `sentAtMs`.
 */
export function createMembers(
  self: Types.InstanceId,
  canTrustRelay: (id: Types.InstanceId, sentAtMs: number) => boolean,
  clock: Clock.Clock,
): Members {
  const records = new Map<Types.InstanceId, MemberRecord>();

  function isReachable(record: MemberRecord, ageMs: number): boolean {
    if (record.isDirect && ageMs < UNREACHABLE_AFTER_MS) return true;
    if (!record.wasReachable || ageMs >= RELAYED_REACHABLE_MS) return false;
    return canTrustRelay(record.heartbeat.id, record.sentAtMs);
  }

  function toMember(record: MemberRecord): Types.Member {
    const ageMs = clock.nowMs() - record.sentAtMs;
    const { heartbeat } = record;
    return { heartbeat, ageMs, isReachable: isReachable(record, ageMs) };
  }

  /**
   * True if a relayed heartbeat is newer than the existing record and no
   * recent direct one exists.
   */
  function isNewer(listed: Listing.ListedMember, sentAtMs: number): boolean {
    const { id } = listed.heartbeat;
    const existing = records.get(id);
    if (id === self) return false;
    if (existing === undefined) {
      return listed.isReachable || listed.ageMs < REMOVE_UNRESPONSIVE_AFTER_MS;
    }
    const ageMs = clock.nowMs() - existing.sentAtMs;
    if (existing.isDirect && ageMs < UNREACHABLE_AFTER_MS) return false;
    return sentAtMs > existing.sentAtMs;
  }

  function applyListedMember(
    listed: Listing.ListedMember,
    requestedAtMs: number,
  ): Types.Heartbeat | undefined {
    const { heartbeat } = listed;
    const sentAtMs = requestedAtMs - listed.ageMs;
    if (!isNewer(listed, sentAtMs)) return undefined;
    const existing = records.get(heartbeat.id);
    records.set(heartbeat.id, {
      heartbeat,
      sentAtMs,
      isDirect: false,
      wasReachable: listed.isReachable,
    });
    const isAddressChanged =
      existing?.heartbeat.peerAddress !== heartbeat.peerAddress;
    return isAddressChanged ? heartbeat : undefined;
  }

  /** Updates the age of a member that is still reachable for the relaying peer. */
  function applyRelayedAge(id: Types.InstanceId, sentAtMs: number): void {
    const existing = records.get(id);
    if (existing === undefined || sentAtMs <= existing.sentAtMs) return;
    const ageMs = clock.nowMs() - existing.sentAtMs;
    if (existing.isDirect && ageMs < UNREACHABLE_AFTER_MS) return;
    // The ages in the heartbeat grow with the age of the heartbeat.
    const elapsedMs = sentAtMs - existing.sentAtMs;
    const heartbeat = {
      ...existing.heartbeat,
      storeSeenMsAgo: existing.heartbeat.storeSeenMsAgo + elapsedMs,
      relayedStoreSeenMsAgo: existing.heartbeat.relayedStoreSeenMsAgo +
        elapsedMs,
    };
    const isDirect = false;
    records.set(id, { heartbeat, sentAtMs, isDirect, wasReachable: true });
  }

  return {
    recordHeartbeat({ heartbeat, sentAtMs }) {
      records.set(heartbeat.id, {
        heartbeat,
        sentAtMs,
        isDirect: true,
        wasReachable: true,
      });
    },
    applyChanges(changes, requestedAtMs) {
      for (const [id, ageMs] of Object.entries(changes.ages)) {
        applyRelayedAge(id, requestedAtMs - ageMs);
      }
      return changes.members
        .map((listed) => applyListedMember(listed, requestedAtMs))
        .filter((heartbeat) => heartbeat !== undefined);
    },
    tryGet(id) {
      const record = records.get(id);
      return record === undefined ? undefined : toMember(record);
    },
    tryGetHeartbeat: (id) => records.get(id)?.heartbeat,
    getAll: () => [...records.values()].map(toMember),
    removeExpired(hasProcessEnded) {
      for (const [id, record] of records) {
        const ageMs = clock.nowMs() - record.sentAtMs;
        const isEnded = hasProcessEnded(id) ||
          record.heartbeat.state === "leaving";
        const maxAgeMs = isEnded
          ? REMOVE_ENDED_AFTER_MS
          : REMOVE_UNRESPONSIVE_AFTER_MS;
        if (ageMs > maxAgeMs) records.delete(id);
      }
    },
  };
}
