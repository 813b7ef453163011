/**
 * Spreads the store's items among peers. A reader pushes news to its domain; an
 * instance that finds itself behind a peer for a while asks that peer. What a
 * push or an answer holds follows on from a stated revision without a gap, so
 * that an instance is never behind without noticing.
 */
import type * as Clock from "../clock.ts";
import * as Json from "../json.ts";
import type * as Log from "../log.ts";
import type * as PeerContracts from "../contracts.ts";
import type * as Types from "../types.ts";
import type * as Feed from "./feed.ts";
import * as ItemsModule from "./items.ts";
import type * as StateModule from "./state.ts";
import type * as GatewayTypes from "./types.ts";

const PUSH_METHOD = "gateway.news";
const PULL_METHOD = "gateway.items";
const PULL_TIMEOUT_MS = 800;
/**
 * News reach readers by their own watches at slightly different times, and the
 * others by pushes; who is behind for longer than this, and up to twice as long,
 * has missed something. One of a domain that hears nothing asks first, and passes
 * on what it gets.
 */
const PATIENCE_MS = 400;

/** Pushes and pulls. */
export interface Sharing {
  /** Sends news to the instances of the domain that do not follow the store. */
  push(
    news: readonly GatewayTypes.StoreItem[],
    before: ItemsModule.Revisions,
  ): void;
  /** A peer knows items up to these revisions. */
  recordPeerRevisions(
    id: Types.InstanceId,
    revisions: ItemsModule.Revisions,
  ): void;
  getCounts(): { readonly pulls: number; readonly received: number };
}

/** Creates the exchange and starts to answer peers. */
export function createSharing(opts: {
  readonly peers: PeerContracts.PeerNet;
  readonly items: ItemsModule.Items;
  readonly feed: Pick<Feed.Feed, "handlePeerItems">;
  readonly state: Pick<StateModule.State, "getEntryGraceMs">;
  readonly prefixes: readonly string[];
  /** Other instances of the own domain. */
  readonly getNeighbours: () => readonly Types.InstanceId[];
  /** Those of the own domain that follow the store. */
  readonly getReaders: () => readonly Types.InstanceId[];
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}): Sharing {
  const { clock, feed, items, log, peers, state } = opts;
  let behind: Behind | undefined;
  let isPulling = false;
  let pulls = 0;
  let received = 0;

  function getGraceMs(): number {
    return Math.max(0, Math.round(state.getEntryGraceMs()));
  }

  /** Asks a peer for what it knows and this instance does not. */
  async function pull(id: Types.InstanceId): Promise<void> {
    if (isPulling) return;
    isPulling = true;
    pulls++;
    const after = items.getRevisions();
    const reply = await peers.call<unknown>(
      id,
      PULL_METHOD,
      { after },
      PULL_TIMEOUT_MS,
    );
    isPulling = false;
    const batch = reply.isOk() ? tryReadBatch(reply.value) : undefined;
    if (batch === undefined) return;
    behind = undefined;
    const news = batch.isAll ? takeAll(batch) : take(batch);
    items.recordComplete(batch.revisions);
    if (news === 0) return;
    const neighbours = opts.getNeighbours();
    // The domain's readers hear nothing, so its other instances are behind, too.
    if (!neighbours.includes(id) && !batch.isAll) {
      send(neighbours, batch.items, after);
    }
    log.info("items-from-peer", { peer: id, after: after.join(","), news });
  }

  function take(batch: Batch): number {
    received += batch.items.length;
    return feed.handlePeerItems(batch.items, batch.graceMs).length;
  }

  /** Everything that the peer knows: what it does not name is gone. */
  function takeAll(batch: Batch): number {
    received += batch.items.length;
    const news = opts.prefixes.flatMap((prefix, place) =>
      items.findDeleted(
        prefix,
        batch.items,
        batch.revisions[place] ?? 0,
      )
    );
    return feed.handlePeerItems([...batch.items, ...news], batch.graceMs)
      .length;
  }

  function answerPull(params: unknown): unknown {
    const after = readRevisions(
      Json.isObject(params) ? params["after"] : undefined,
    );
    const since = items.tryGetSince(after);
    return {
      items: since ?? items.getAll(),
      isAll: since === undefined,
      revisions: items.getRevisions(),
      graceMs: getGraceMs(),
    };
  }

  function receivePush(params: unknown, from: Types.InstanceId): void {
    const batch = tryReadBatch(params);
    if (batch === undefined) return;
    if (ItemsModule.isBehind(items.getRevisions(), batch.before)) {
      // Something between was missed; the items alone would hide that.
      void pull(from);
      return;
    }
    take(batch);
  }

  peers.handle(PULL_METHOD, answerPull);
  peers.handle(PUSH_METHOD, receivePush);

  /** `before` is what was known without the items. */
  function send(
    listeners: readonly Types.InstanceId[],
    news: readonly GatewayTypes.StoreItem[],
    before: ItemsModule.Revisions,
  ): void {
    if (listeners.length === 0) return;
    const graceMs = getGraceMs();
    peers.notify(listeners, PUSH_METHOD, { items: news, before, graceMs });
  }

  return {
    push(news, before) {
      const readers = opts.getReaders();
      const listeners = opts.getNeighbours()
        .filter((id) => !readers.includes(id));
      send(listeners, news, before);
    },
    recordPeerRevisions(id, revisions) {
      const now = clock.nowMs();
      const own = items.getRevisions();
      // Peers that know no more say nothing of one that does.
      if (behind !== undefined && !ItemsModule.isBehind(own, behind.of)) {
        behind = undefined;
      }
      if (!ItemsModule.isBehind(own, revisions)) return;
      behind ??= {
        of: revisions,
        untilMs: now + PATIENCE_MS * (1 + Math.random()),
      };
      // Nothing is known yet: no reader's push can be on its way.
      const isNew = own.every((revision) => revision === 0);
      if (isNew || now >= behind.untilMs) void pull(id);
    },
    getCounts: () => ({ pulls, received }),
  };
}

/** A peer was heard that knows more. */
interface Behind {
  readonly of: ItemsModule.Revisions;
  /** Until then news may come by themselves. */
  readonly untilMs: number;
}

interface Batch {
  readonly items: readonly GatewayTypes.StoreItem[];
  /** What the sender knew before these. */
  readonly before: ItemsModule.Revisions;
  /** What the sender knows. */
  readonly revisions: ItemsModule.Revisions;
  readonly isAll: boolean;
  /** How long entries that are missing may still come back, ms. */
  readonly graceMs: number;
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
  };
}

/** Revisions as a peer sends them; unknown ones are 0. */
export function readRevisions(raw: unknown): ItemsModule.Revisions {
  if (!Array.isArray(raw)) return [];
  return raw.map((one) => Number.isSafeInteger(one) ? one as number : 0);
}

function readItems(raw: unknown): readonly GatewayTypes.StoreItem[] {
  if (!Array.isArray(raw)) return [];
  return raw.flatMap((one) => {
    if (!Json.isObject(one)) return [];
    const { key, revision, value } = one;
    const isGood = typeof key === "string" && typeof revision === "number" &&
      (value === undefined || typeof value === "string");
    return isGood ? [{ key, revision, value }] : [];
  });
}
