/**
 * Keeps the state current: a watch on each of the store's prefixes, and the
 * peers' items where the store does not answer or a watch has gone silent.
 */
import type * as Clock from "../clock.ts";
import * as ClockModule from "../clock.ts";
import * as Json from "../json.ts";
import type * as Log from "../log.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as PeerContracts from "../contracts.ts";
import type * as Contracts from "./contracts.ts";
import type * as ItemsModule from "./items.ts";
import type * as StateModule from "./state.ts";
import type * as GatewayTypes from "./types.ts";

/**
 * Length of one watch. A connection may go silent without a reset; peers tell of
 * changes in the meantime, and without peers the next watch finds them.
 */
const WATCH_WAIT_MS = 5_000;
const RETRY_MIN_MS = 100;
/** The store's return must be noticed well within the 2 s in which entries come back. */
const RETRY_MAX_MS = 400;
/**
 * Changes within this time after a first one come with one answer: entries come
 * and go in series, each instance watches, and the store counts every call. Far
 * below the 2.5 s in which a change must be in force.
 */
const GATHER_MS = 250;
/** An outage shorter than this can't have made entries lapse. */
const SHORT_OUTAGE_MS = 1_500;
/** A peer that heard from the store this lately shows that the store is up. */
const FRESH_PEER_MS = 1_500;
const PULL_TIMEOUT_MS = 800;
const PULL_METHOD = "gateway.items";

/** Where the state comes from. */
export interface Feed {
  /** Milliseconds since the store answered this instance; Infinity before the first answer. */
  getStoreAgeMs(): number;
  /** A peer knows items up to this revision and heard from the store `storeAgeMs` ago. */
  notePeer(id: string, revision: number, storeAgeMs: number): void;
  getRevision(): number;
  /** From now on peers are asked, and answered. */
  usePeers(net: PeerContracts.PeerNet): void;
  start(): void;
}

/** Creates the feed; nothing happens before `start`. */
export function createFeed(opts: {
  readonly prefixes: readonly string[];
  readonly store: Contracts.MetadataStore;
  readonly decode: Contracts.DecodeItem;
  readonly items: ItemsModule.Items;
  readonly state: StateModule.State;
  readonly entryReturnMs: number;
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}): Feed {
  const { clock, items, log, state, store } = opts;
  let answeredAtMs = -Infinity;
  let failingSinceMs: number | undefined;
  let freshPeerAtMs = -Infinity;
  let isPulling = false;
  let peers: PeerContracts.PeerNet | undefined;

  function takeIn(news: readonly GatewayTypes.StoreItem[]): void {
    for (const item of news) {
      const change = opts.decode(item);
      if (change !== undefined) state.apply(change);
    }
  }

  function noteAnswer(): void {
    answeredAtMs = clock.nowMs();
    if (failingSinceMs === undefined) return;
    const outageMs = Math.round(answeredAtMs - failingSinceMs);
    log.info("store-regained", { outageMs });
    // Entries lapse only in an outage that the targets see too; peers with a
    // working store show that this one was not.
    const wasUp = freshPeerAtMs > failingSinceMs + FRESH_PEER_MS;
    if (outageMs > SHORT_OUTAGE_MS && !wasUp) {
      state.setEntryGrace(answeredAtMs + opts.entryReturnMs);
    }
    failingSinceMs = undefined;
  }

  function noteFailure(detail: string): void {
    if (failingSinceMs !== undefined) return;
    failingSinceMs = clock.nowMs();
    log.warn("store-lost", { detail, revision: items.getRevision() });
  }

  /** Watches one prefix until the store fails; then reads it anew. */
  async function follow(prefix: string, signal: AbortSignal): Promise<void> {
    let after: number | undefined;
    let retryMs = RETRY_MIN_MS;
    while (!signal.aborted) {
      const ok = after === undefined
        ? await readAnew()
        : await watchOnce(after);
      if (ok) {
        retryMs = RETRY_MIN_MS;
        continue;
      }
      await ClockModule.sleep(retryMs * (0.75 + Math.random() / 2), signal);
      retryMs = Math.min(retryMs * 2, RETRY_MAX_MS);
    }

    async function readAnew(): Promise<boolean> {
      const read = await store.readAll(prefix);
      if (read.isErr()) return fail(read.error.detail);
      noteAnswer();
      const { revision } = read.value;
      takeIn(items.replaceAll(prefix, read.value.items, revision));
      after = revision;
      return true;
    }

    async function watchOnce(since: number): Promise<boolean> {
      const got = await store.watch(prefix, since, WATCH_WAIT_MS, signal);
      if (signal.aborted) return true;
      if (got.isErr()) {
        // A watch may be cut, or silent, while the store is well: read anew.
        after = undefined;
        return fail(got.error.detail);
      }
      noteAnswer();
      if (got.value.kind === "history-gone") {
        log.info("store-history-gone", { prefix, after: since });
        after = undefined;
        return true;
      }
      after = got.value.revision;
      takeIn(items.apply(got.value.items));
      // Spares the store a call for each change of a series.
      const isBusy = got.value.items.length > 0;
      if (isBusy) await ClockModule.sleep(GATHER_MS, signal);
      return true;
    }

    function fail(detail: string): false {
      noteFailure(detail);
      return false;
    }
  }

  /** Asks a peer for what it knows and this instance does not. */
  async function pull(id: string): Promise<void> {
    if (isPulling || peers === undefined) return;
    isPulling = true;
    const after = items.getRevision();
    const reply = await peers.call<unknown>(
      id,
      PULL_METHOD,
      { after },
      PULL_TIMEOUT_MS,
    );
    isPulling = false;
    if (reply.isErr()) return;
    const received = readItems(reply.value);
    const news = items.apply(received);
    if (news.length === 0) return;
    log.info("items-from-peer", { peer: id, after, news: news.length });
    takeIn(news);
  }

  function answerPull(params: unknown): unknown {
    const after = Json.isObject(params) ? Number(params["after"]) : 0;
    const since = Number.isFinite(after) ? after : 0;
    return { items: items.tryGetSince(since) ?? items.getAll() };
  }

  return {
    getStoreAgeMs: () => clock.nowMs() - answeredAtMs,
    getRevision: items.getRevision,
    notePeer(id, revision, storeAgeMs) {
      if (storeAgeMs < FRESH_PEER_MS) freshPeerAtMs = clock.nowMs();
      if (revision > items.getRevision()) void pull(id);
    },
    usePeers(net) {
      peers = net;
      net.handle(PULL_METHOD, answerPull);
    },
    start() {
      for (const prefix of opts.prefixes) {
        opts.supervisor.run(
          `watch ${prefix}`,
          (signal) => follow(prefix, signal),
        );
      }
      opts.supervisor.every("lapsed-targets", 100, state.dropLapsed);
    },
  };
}

function readItems(raw: unknown): readonly GatewayTypes.StoreItem[] {
  const list = Json.isObject(raw) ? raw["items"] : undefined;
  if (!Array.isArray(list)) return [];
  return list.flatMap((one) => {
    if (!Json.isObject(one)) return [];
    const { key, revision, value } = one;
    const isGood = typeof key === "string" && typeof revision === "number" &&
      (value === undefined || typeof value === "string");
    return isGood ? [{ key, revision, value }] : [];
  });
}
