/** Members of the fleet as this instance knows them. */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import * as Heartbeat from "./heartbeat.ts";
import * as Wire from "./wire.ts";

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

/** One member in the answer of `members.list`. */
export interface ListedMember {
  readonly heartbeat: Types.Heartbeat;
  readonly ageMs: number;
  readonly isReachable: boolean;
}

/** Table of members. */
export interface Members {
  noteHeartbeat(received: Heartbeat.Received): void;
  /** Takes an answer of `members.list`, asked for at `askedAtMs`; returns the members that were new or changed address. */
  noteList(raw: unknown, askedAtMs: number): readonly Types.Heartbeat[];
  tryGet(id: Types.InstanceId): Types.Member | undefined;
  getAll(): readonly Types.Member[];
  isDirect(id: Types.InstanceId): boolean;
  /** Drops members that are long gone; `hasEnded` tells whose process has ended. */
  forget(hasEnded: (id: Types.InstanceId) => boolean): void;
}

/** Answer of `members.list`. */
export function encodeList(
  self: Types.Heartbeat,
  members: readonly Types.Member[],
): readonly ListedMember[] {
  const all = [{ heartbeat: self, ageMs: 0, isReachable: true }, ...members];
  return all.map(({ heartbeat, ageMs, isReachable }) => ({
    heartbeat: {
      ...heartbeat,
      storeSeenMsAgo: Heartbeat.encodeAge(heartbeat.storeSeenMsAgo),
      relayedStoreSeenMsAgo: Heartbeat.encodeAge(
        heartbeat.relayedStoreSeenMsAgo,
      ),
    },
    ageMs: Heartbeat.encodeAge(ageMs),
    isReachable,
  }));
}

function tryReadListed(raw: unknown): ListedMember | undefined {
  if (!Wire.isObject(raw)) return undefined;
  const { ageMs, isReachable } = raw;
  const heartbeat = Heartbeat.tryReadHeartbeat(raw.heartbeat);
  if (heartbeat === undefined || typeof isReachable !== "boolean") {
    return undefined;
  }
  if (typeof ageMs !== "number" || !(ageMs >= 0)) return undefined;
  return { heartbeat, ageMs, isReachable };
}

/** Creates an empty table. `isMeshed` tells which members this instance connects to by itself. */
export function createMembers(
  self: Types.InstanceId,
  isMeshed: (id: Types.InstanceId) => boolean,
  clock: Clock.Clock,
): Members {
  const records = new Map<Types.InstanceId, MemberRecord>();

  function isReachable(record: MemberRecord, ageMs: number): boolean {
    if (record.isDirect) return ageMs < UNREACHABLE_AFTER_MS;
    // What others reach does not help when the own link is lost.
    if (isMeshed(record.heartbeat.id)) return false;
    return record.wasReachable && ageMs < RELAYED_REACHABLE_MS;
  }

  function toMember(record: MemberRecord): Types.Member {
    const ageMs = clock.nowMs() - record.sentAtMs;
    const { heartbeat } = record;
    return { heartbeat, ageMs, isReachable: isReachable(record, ageMs) };
  }

  /** True when a relayed heartbeat says more than what is known already. */
  function isNews(listed: ListedMember, sentAtMs: number): boolean {
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
    listed: ListedMember,
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

  return {
    noteHeartbeat({ heartbeat, sentAtMs }) {
      records.set(heartbeat.id, {
        heartbeat,
        sentAtMs,
        isDirect: true,
        wasReachable: true,
      });
    },
    noteList(raw, askedAtMs) {
      if (!Array.isArray(raw)) return [];
      return raw
        .map(tryReadListed)
        .filter((one) => one !== undefined)
        .map((one) => noteListed(one, askedAtMs))
        .filter((one) => one !== undefined);
    },
    tryGet(id) {
      const record = records.get(id);
      return record === undefined ? undefined : toMember(record);
    },
    getAll: () => [...records.values()].map(toMember),
    isDirect: (id) => records.get(id)?.isDirect === true,
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
