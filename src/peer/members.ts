/** Members of the fleet as this instance knows them. */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import type * as Heartbeat from "./heartbeat.ts";
import type * as Listing from "./listing.ts";

/** A peer is unreachable after this time without a heartbeat. */
export const UNREACHABLE_AFTER_MS = 3_000;
/**
 * A member outside the own mesh is known from `members.list` only, which large
 * fleets ask for every two minutes; it counts as reachable for two rounds.
 */
const RELAYED_REACHABLE_MS = 250_000;
/** A member whose process has ended is forgotten after this time. */
const FORGET_ENDED_MS = 120_000;
/** A silent member may be on the other side of a partition that lasts hours. */
const FORGET_SILENT_MS = 24 * 3_600_000;

interface MemberRecord {
  readonly heartbeat: Types.Heartbeat;
  /** Monotonic ms before which the heartbeat was not sent. */
  readonly sentAtMs: number;
  /** The heartbeat came from the member itself. */
  readonly isDirect: boolean;
  /** For relayed ones: the relaying peer reached the member. */
  readonly wasReachable: boolean;
}

/** Table of members. */
export interface Members {
  noteHeartbeat(received: Heartbeat.Received): void;
  /** Takes an answer of `members.list`, asked for at `askedAtMs`; returns the members that were new or changed address. */
  noteChanges(
    changes: Listing.Changes,
    askedAtMs: number,
  ): readonly Types.Heartbeat[];
  tryGet(id: Types.InstanceId): Types.Member | undefined;
  /** What the member said last, without judging whether it is reachable. */
  tryGetHeartbeat(id: Types.InstanceId): Types.Heartbeat | undefined;
  getAll(): readonly Types.Member[];
  /** Drops members that are long gone; `hasEnded` tells whose process has ended. */
  forget(hasEnded: (id: Types.InstanceId) => boolean): void;
}

/**
 * Creates an empty table. `canRelay` tells whether a member without recent
 * heartbeats counts as reachable because of what was known at `sentAtMs`; it is
 * false for members of the own mesh and after a later failure to reach it.
 */
export function createMembers(
  self: Types.InstanceId,
  canRelay: (id: Types.InstanceId, sentAtMs: number) => boolean,
  clock: Clock.Clock,
): Members {
  const records = new Map<Types.InstanceId, MemberRecord>();

  function isReachable(record: MemberRecord, ageMs: number): boolean {
    if (record.isDirect && ageMs < UNREACHABLE_AFTER_MS) return true;
    if (!record.wasReachable || ageMs >= RELAYED_REACHABLE_MS) return false;
    return canRelay(record.heartbeat.id, record.sentAtMs);
  }

  function toMember(record: MemberRecord): Types.Member {
    const ageMs = clock.nowMs() - record.sentAtMs;
    const { heartbeat } = record;
    return { heartbeat, ageMs, isReachable: isReachable(record, ageMs) };
  }

  /** True when a relayed heartbeat says more than what is known already. */
  function isNews(listed: Listing.ListedMember, sentAtMs: number): boolean {
    const { id } = listed.heartbeat;
    const known = records.get(id);
    if (id === self) return false;
    if (known === undefined) {
      return listed.isReachable || listed.ageMs < FORGET_SILENT_MS;
    }
    const ageMs = clock.nowMs() - known.sentAtMs;
    if (known.isDirect && ageMs < UNREACHABLE_AFTER_MS) return false;
    return sentAtMs > known.sentAtMs;
  }

  function noteListed(
    listed: Listing.ListedMember,
    askedAtMs: number,
  ): Types.Heartbeat | undefined {
    const { heartbeat } = listed;
    const sentAtMs = askedAtMs - listed.ageMs;
    if (!isNews(listed, sentAtMs)) return undefined;
    const known = records.get(heartbeat.id);
    records.set(heartbeat.id, {
      heartbeat,
      sentAtMs,
      isDirect: false,
      wasReachable: listed.isReachable,
    });
    const isMoved = known?.heartbeat.peerAddress !== heartbeat.peerAddress;
    return isMoved ? heartbeat : undefined;
  }

  /** A relaying peer still reaches the member. */
  function noteAge(id: Types.InstanceId, sentAtMs: number): void {
    const known = records.get(id);
    if (known === undefined || sentAtMs <= known.sentAtMs) return;
    const ageMs = clock.nowMs() - known.sentAtMs;
    if (known.isDirect && ageMs < UNREACHABLE_AFTER_MS) return;
    // The ages inside the heartbeat are as old as the heartbeat itself.
    const aged = sentAtMs - known.sentAtMs;
    const heartbeat = {
      ...known.heartbeat,
      storeSeenMsAgo: known.heartbeat.storeSeenMsAgo + aged,
      relayedStoreSeenMsAgo: known.heartbeat.relayedStoreSeenMsAgo + aged,
    };
    const isDirect = false;
    records.set(id, { heartbeat, sentAtMs, isDirect, wasReachable: true });
  }

  return {
    noteHeartbeat({ heartbeat, sentAtMs }) {
      records.set(heartbeat.id, {
        heartbeat,
        sentAtMs,
        isDirect: true,
        wasReachable: true,
      });
    },
    noteChanges(changes, askedAtMs) {
      for (const [id, ageMs] of Object.entries(changes.ages)) {
        noteAge(id, askedAtMs - ageMs);
      }
      return changes.members
        .map((one) => noteListed(one, askedAtMs))
        .filter((one) => one !== undefined);
    },
    tryGet(id) {
      const record = records.get(id);
      return record === undefined ? undefined : toMember(record);
    },
    tryGetHeartbeat: (id) => records.get(id)?.heartbeat,
    getAll: () => [...records.values()].map(toMember),
    forget(hasEnded) {
      for (const [id, record] of records) {
        const ageMs = clock.nowMs() - record.sentAtMs;
        const isGone = hasEnded(id) || record.heartbeat.state === "leaving";
        const limitMs = isGone ? FORGET_ENDED_MS : FORGET_SILENT_MS;
        if (ageMs > limitMs) records.delete(id);
      }
    },
  };
}
