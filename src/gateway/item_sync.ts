/**
 * Synchronizes the store's items among peers. A store reader pushes changes to its
 * domain; an instance that stays behind a peer for a while pulls from that peer.
 * Each push and each pull response continues without a gap from a stated revision,
 * so an instance always notices that it missed changes.
 */
import type * as Clock from "../clock.ts";
import * as Json from "../json.ts";
import type * as Log from "../log.ts";
import type * as PeerContracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as Feed from "./feed.ts";
import * as ItemsModule from "./items.ts";
import type * as RestoreGuard from "./restore_guard.ts";
import * as Revision from "./revision.ts";
import type * as StateModule from "./state.ts";
import type * as GatewayTypes from "./types.ts";

const PUSH_METHOD = "gateway.news";
const PULL_METHOD = "gateway.items";
const PULL_TIMEOUT_MS = 800;
/**
 * Upper bound of the timeout, which doubles after each pull that timed out. The peer
 * has queued its response by then, so that repeating the pull with the same timeout
 * over a slow link would queue the items again and again and never receive them.
 */
const MAX_PULL_TIMEOUT_MS = 12_800;
/**
 * Readers receive changes through their own watches at slightly different times,
 * and the other instances receive them by push. An instance that is behind for
 * longer than a random time between this and twice this has missed a change. The
 * first one of a domain to pull forwards the items to the others.
 */
const PUSH_WAIT_MS = 400;

/** A peer may hold more for good, as it knew more when the store was restored. */
const HELD_PULL_INTERVAL_MS = 5_000;

/** Pushes changes to peers and pulls missed items. */
export interface ItemSync {
  /** Sends changes to the instances of the domain that do not read the store; `before` are the revisions without them. */
  push(
    changes: readonly GatewayTypes.StoreItem[],
    before: ItemsModule.Revisions,
  ): void;
  /** Records that a peer has all items up to these revisions; pulls from it when this instance stays behind. */
  recordPeerRevisions(
    peer: Types.InstanceId,
    revisions: ItemsModule.Revisions,
  ): void;
  /** Records how many items are in force at a peer against the restored store; pulls them if this instance has fewer. */
  recordPeerHeldCount(peer: Types.InstanceId, count: number): void;
  /** Pulls sent and items received from peers since the start. */
  getCounts(): { readonly pulls: number; readonly received: number };
}

/** Creates the synchronization and starts to handle messages of peers. */
export function createItemSync(opts: {
  readonly peers: PeerContracts.PeerNet;
  readonly items: ItemsModule.Items;
  readonly feed: Pick<Feed.Feed, "handlePeerItems" | "handleSuperseding">;
  readonly restoreGuard: Pick<
    RestoreGuard.RestoreGuard,
    "getHeldCount" | "getSuperseding"
  >;
  readonly state: Pick<StateModule.State, "getEntryGraceMs">;
  readonly prefixes: readonly string[];
  /** Other instances of the local domain. */
  readonly getDomainPeers: () => readonly Types.InstanceId[];
  /** Instances of the local domain that read the store. */
  readonly getReaders: () => readonly Types.InstanceId[];
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}): ItemSync {
  const { clock, feed, items, log, peers, restoreGuard, state } = opts;
  let peerAhead: PeerAhead | undefined;
  let nextHeldPullAtMs = -Infinity;
  let isPulling = false;
  let pullTimeoutMs = PULL_TIMEOUT_MS;
  let pulls = 0;
  let received = 0;

  function getGraceMs(): number {
    return Math.max(0, Math.round(state.getEntryGraceMs()));
  }

  /** Requests from a peer the items that this instance has missed. */
  async function pull(peer: Types.InstanceId): Promise<void> {
    if (isPulling) return;
    isPulling = true;
    pulls++;
    const after = items.getRevisions();
    const response = await peers.call<unknown>(
      peer,
      PULL_METHOD,
      { after },
      pullTimeoutMs,
    );
    isPulling = false;
    const isTimeout = response.isErr() &&
      response.error.code.name === "peer-timeout";
    pullTimeoutMs = isTimeout
      ? Math.min(pullTimeoutMs * 2, MAX_PULL_TIMEOUT_MS)
      : PULL_TIMEOUT_MS;
    const batch = response.isOk() ? tryReadBatch(response.value) : undefined;
    if (batch === undefined) return;
    if (batch.restore !== undefined) items.recordRestore(batch.restore);
    peerAhead = undefined;
    const changeCount = batch.isAll ? applyAll(batch) : applyBatch(batch);
    items.advanceRevisions(batch.revisions);
    feed.handleSuperseding(batch.superseding);
    if (changeCount === 0) return;
    const domainPeers = opts.getDomainPeers();
    // A change from another domain means that the local readers missed it, so the whole domain is behind.
    if (!domainPeers.includes(peer) && !batch.isAll) {
      send(domainPeers, batch.items, after);
    }
    log.info("items-from-peer", {
      peer,
      after: after.map(Revision.formatRevision).join(","),
      news: changeCount,
    });
  }

  function applyBatch(batch: Batch): number {
    received += batch.items.length;
    return feed.handlePeerItems(batch.items, batch.graceMs).length;
  }

  /** Applies a complete list: items that it does not contain were deleted. */
  function applyAll(batch: Batch): number {
    received += batch.items.length;
    const deletions = opts.prefixes.flatMap((prefix, prefixIndex) =>
      items.findDeleted(
        prefix,
        batch.items,
        batch.revisions[prefixIndex] ?? 0,
      )
    );
    return feed.handlePeerItems([...batch.items, ...deletions], batch.graceMs)
      .length;
  }

  function handlePull(params: unknown): unknown {
    const after = readRevisions(
      Json.isObject(params) ? params["after"] : undefined,
    );
    const changes = items.tryGetSince(after);
    return {
      items: changes ?? items.getAll(),
      isAll: changes === undefined,
      revisions: items.getRevisions(),
      graceMs: getGraceMs(),
      restore: items.getRestore(),
      superseding: restoreGuard.getSuperseding(),
    };
  }

  function handlePush(params: unknown, sender: Types.InstanceId): void {
    const batch = tryReadBatch(params);
    if (batch === undefined) throw new TypeError(`malformed ${PUSH_METHOD}`);
    if (ItemsModule.isBehind(items.getRevisions(), batch.before)) {
      // Changes before this push were missed; applying it alone would hide the gap.
      void pull(sender);
      return;
    }
    if (batch.restore !== undefined) items.recordRestore(batch.restore);
    applyBatch(batch);
  }

  peers.handle(PULL_METHOD, handlePull);
  peers.handle(PUSH_METHOD, handlePush);

  /** Pushes changes to peers; `before` are the revisions without these changes. */
  function send(
    recipients: readonly Types.InstanceId[],
    changes: readonly GatewayTypes.StoreItem[],
    before: ItemsModule.Revisions,
  ): void {
    if (recipients.length === 0) return;
    peers.notify(recipients, PUSH_METHOD, {
      items: changes,
      before,
      graceMs: getGraceMs(),
      restore: items.getRestore(),
    });
  }

  return {
    push(changes, before) {
      const readers = opts.getReaders();
      const recipients = opts.getDomainPeers()
        .filter((id) => !readers.includes(id));
      send(recipients, changes, before);
    },
    recordPeerRevisions(peer, revisions) {
      const now = clock.nowMs();
      const localRevisions = items.getRevisions();
      // Revisions of peers that are behind as well must not reset the wait.
      if (
        peerAhead !== undefined &&
        !ItemsModule.isBehind(localRevisions, peerAhead.peerRevisions)
      ) {
        peerAhead = undefined;
      }
      if (!ItemsModule.isBehind(localRevisions, revisions)) return;
      peerAhead ??= {
        peerRevisions: revisions,
        pullAtMs: now + PUSH_WAIT_MS * (1 + Math.random()),
      };
      // Without any items there is no push to wait for. Links between regions are
      // expensive, so peers of other domains are the second choice.
      const hasNoItems = localRevisions.every((revision) => revision === 0);
      const isLocal = opts.getDomainPeers().includes(peer);
      if (hasNoItems && isLocal || now >= peerAhead.pullAtMs) void pull(peer);
    },
    recordPeerHeldCount(peer, count) {
      if (count <= restoreGuard.getHeldCount()) return;
      if (clock.nowMs() < nextHeldPullAtMs) return;
      nextHeldPullAtMs = clock.nowMs() + HELD_PULL_INTERVAL_MS;
      void pull(peer);
    },
    getCounts: () => ({ pulls, received }),
  };
}

/** A peer that has newer items than this instance. */
interface PeerAhead {
  readonly peerRevisions: ItemsModule.Revisions;
  /** Until this time, a push may still deliver the items. */
  readonly pullAtMs: number;
}

interface Batch {
  readonly items: readonly GatewayTypes.StoreItem[];
  /** Revisions of the sender without these items. */
  readonly before: ItemsModule.Revisions;
  /** Revisions of the sender. */
  readonly revisions: ItemsModule.Revisions;
  /** True when the items are complete rather than the changes since a revision. */
  readonly isAll: boolean;
  /** Remaining time in which missing entries may reappear, ms. */
  readonly graceMs: number;
  /** Latest restore of the store that the sender knows. */
  readonly restore: ItemsModule.Restore | undefined;
  /** Items in force at the sender instead of what the restored store holds. */
  readonly superseding: readonly GatewayTypes.StoreItem[];
}

function tryReadBatch(raw: unknown): Batch | undefined {
  if (!Json.isObject(raw)) return undefined;
  const { graceMs } = raw;
  return {
    items: readItems(raw["items"]),
    before: readRevisions(raw["before"]),
    revisions: readRevisions(raw["revisions"]),
    isAll: raw["isAll"] === true,
    graceMs: typeof graceMs === "number" ? graceMs : 0,
    restore: tryReadRestore(raw["restore"]),
    superseding: readItems(raw["superseding"]),
  };
}

function tryReadRestore(raw: unknown): ItemsModule.Restore | undefined {
  if (!Json.isObject(raw)) return undefined;
  const { ageMs, revision } = raw;
  const isValid = Number.isSafeInteger(revision) && typeof ageMs === "number" &&
    ageMs >= 0;
  return isValid ? { revision: revision as number, ageMs } : undefined;
}

/** Reads the revisions in a peer's message; invalid values become 0. */
export function readRevisions(raw: unknown): ItemsModule.Revisions {
  if (!Array.isArray(raw)) return [];
  return raw.map((revision) =>
    Number.isSafeInteger(revision) ? revision as number : 0
  );
}

function readItems(raw: unknown): readonly GatewayTypes.StoreItem[] {
  if (!Array.isArray(raw)) return [];
  return raw.flatMap((item) => {
    if (!Json.isObject(item)) return [];
    const { key, revision, value } = item;
    const isValid = typeof key === "string" && typeof revision === "number" &&
      (value === undefined || typeof value === "string");
    return isValid ? [{ key, revision, value }] : [];
  });
}
