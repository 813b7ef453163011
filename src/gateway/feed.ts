/**
 * Follows the store: a watch on each of its prefixes, by those instances that are
 * the readers of their domain. What they learn is handed to `onNews`.
 */
import type * as Clock from "../clock.ts";
import * as ClockModule from "../clock.ts";
import type * as Log from "../log.ts";
import * as Tasks from "../peer/tasks.ts";
import type * as Supervisor from "../supervisor.ts";
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
 * and go in series, and the store counts every call. Far below the 2.5 s in which
 * a change must be in force. It grows by as much with each change of a series.
 */
const GATHER_MS = 250;
const MAX_GATHER_MS = 750;
/** An outage shorter than this can't have made entries lapse. */
const SHORT_OUTAGE_MS = 1_500;
/** A peer that heard from the store this lately shows that the store is up. */
const FRESH_PEER_MS = 1_500;
/** How often an instance that is no reader looks whether it has become one. */
const ROLE_CHECK_MS = 250;
/** An instance that becomes a reader is woken up; this only bounds a missed call. */
const MAX_REST_MS = 60_000;
/** Timers may fire a little early. */
const TIMER_MARGIN_MS = 5;
/**
 * A single call may fail while the store serves the instance well; within this
 * time two more are tried.
 */
const FAILING_AFTER_MS = 700;
/** An instance that the store turned away is not tried again for this time. */
const FAILING_FOR_MS = 5_000;

/** Where the state comes from. */
export interface Feed {
  /** Age of the last sign that the store answers anybody, ms; Infinity before the first one. */
  getStoreAgeMs(): number;
  /** True while the store does not answer this instance. */
  isFailing(): boolean;
  /** A peer knows that the store answered somebody `ageMs` ago. */
  recordStoreAge(ageMs: number): void;
  /** Takes in what a peer knows; `graceMs` is how long its entries may still be missing. */
  handlePeerItems(
    items: readonly GatewayTypes.StoreItem[],
    graceMs: number,
  ): readonly GatewayTypes.StoreItem[];
  getItemsFromStore(): number;
  start(): void;
}

/** Creates the feed; nothing happens before `start`. */
export function createFeed(opts: {
  readonly prefixes: readonly string[];
  readonly store: Contracts.MetadataStore;
  readonly decode: Contracts.DecodeItem;
  readonly items: ItemsModule.Items;
  readonly state: StateModule.State;
  /** True while this instance follows the store for its domain. */
  readonly isReader: () => boolean;
  /** News from the store, as they are taken in; `before` is what was known. */
  readonly onNews: (
    news: readonly GatewayTypes.StoreItem[],
    before: ItemsModule.Revisions,
  ) => void;
  readonly entryReturnMs: number;
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}): Feed {
  const { clock, items, log, state, store } = opts;
  /** The store answered somebody then. */
  let signAtMs = -Infinity;
  let failingSinceMs: number | undefined;
  /** An instance that has handed on the reading would otherwise be chosen again at once. */
  let failedUntilMs = -Infinity;
  let freshPeerAtMs = -Infinity;
  let itemsFromStore = 0;
  const roleChanges = Tasks.createNotifier();
  let wasReader = false;

  function isFailing(): boolean {
    const now = clock.nowMs();
    if (now < failedUntilMs) return true;
    return failingSinceMs !== undefined &&
      now - failingSinceMs > FAILING_AFTER_MS;
  }

  /** Entries that vanish until then may come back; those that have not are dropped at its end. */
  function startEntryGrace(graceMs: number): void {
    state.setEntryGrace(clock.nowMs() + graceMs);
    setTimeout(
      state.dropLapsed,
      state.getEntryGraceMs() + TIMER_MARGIN_MS,
    ).unref();
  }

  function takeIn(news: readonly GatewayTypes.StoreItem[]): void {
    state.applyAll(
      news.map(opts.decode).filter((change) => change !== undefined),
    );
  }

  function noteAnswer(): void {
    signAtMs = clock.nowMs();
    if (failingSinceMs === undefined) return;
    const outageMs = Math.round(signAtMs - failingSinceMs);
    log.info("store-regained", { outageMs });
    // Entries lapse only in an outage that the targets see too; peers with a
    // working store show that this one was not.
    const wasUp = freshPeerAtMs > failingSinceMs + FRESH_PEER_MS;
    if (outageMs > SHORT_OUTAGE_MS && !wasUp) {
      startEntryGrace(opts.entryReturnMs);
    }
    failingSinceMs = undefined;
  }

  function noteFailure(detail: string): void {
    if (failingSinceMs !== undefined) return;
    failingSinceMs = clock.nowMs();
    const revisions = items.getRevisions().join(",");
    log.warn("store-lost", { detail, revisions });
  }

  /** Applies what a call returned and tells of what was news. */
  function takeFromStore(
    received: readonly GatewayTypes.StoreItem[],
    apply: () => readonly GatewayTypes.StoreItem[],
  ): void {
    itemsFromStore += received.length;
    const before = items.getRevisions();
    const news = apply();
    takeIn(news);
    if (news.length > 0) opts.onNews(news, before);
  }

  /** Others of the domain come and go, or the store fails them. */
  function checkRole(): void {
    const isReader = opts.isReader();
    if (isReader !== wasReader) log.info("store-reader", { isReader });
    wasReader = isReader;
    if (isReader) roleChanges.notify();
  }

  /** Watches one prefix from the revision that is known; without one it is read as a whole. */
  async function follow(prefix: string, signal: AbortSignal): Promise<void> {
    const place = opts.prefixes.indexOf(prefix);
    let after: number | undefined;
    let retryMs = RETRY_MIN_MS;
    let gatherMs = 0;
    while (!signal.aborted) {
      if (!opts.isReader()) {
        await rest();
        continue;
      }
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

    /** Others follow the store; what they pass on is complete, so a watch may continue from it. */
    async function rest(): Promise<void> {
      if (isFailing()) failedUntilMs = clock.nowMs() + FAILING_FOR_MS;
      failingSinceMs = undefined;
      await roleChanges.wait(MAX_REST_MS, signal);
      const known = items.getRevisions()[place] ?? 0;
      after = known > 0 ? known : undefined;
    }

    async function readAnew(): Promise<boolean> {
      const read = await store.readAll(prefix);
      if (read.isErr()) return fail(read.error.detail);
      noteAnswer();
      const { items: received, revision } = read.value;
      takeFromStore(
        received,
        () => items.replaceAll(prefix, received, revision),
      );
      after = revision;
      return true;
    }

    async function watchOnce(since: number): Promise<boolean> {
      const got = await store.watch(prefix, since, WATCH_WAIT_MS, signal);
      if (signal.aborted) return true;
      // A watch may be cut, or silent, while the store is well: the next one
      // continues from the same revision and misses nothing.
      if (got.isErr()) return fail(got.error.detail);
      noteAnswer();
      if (got.value.kind === "history-gone") {
        log.info("store-history-gone", { prefix, after: since });
        after = undefined;
        return true;
      }
      const { items: received, revision } = got.value;
      after = revision;
      takeFromStore(received, () => items.apply(received));
      gatherMs = received.length === 0
        ? 0
        : Math.min(gatherMs + GATHER_MS, MAX_GATHER_MS);
      if (gatherMs > 0) await ClockModule.sleep(gatherMs, signal);
      return true;
    }

    function fail(detail: string): false {
      noteFailure(detail);
      return false;
    }
  }

  return {
    getStoreAgeMs: () => clock.nowMs() - signAtMs,
    isFailing,
    recordStoreAge(ageMs) {
      const now = clock.nowMs();
      signAtMs = Math.max(signAtMs, now - ageMs);
      if (ageMs < FRESH_PEER_MS) freshPeerAtMs = now;
    },
    handlePeerItems(received, graceMs) {
      if (graceMs > 0) startEntryGrace(graceMs);
      const news = items.apply(received);
      takeIn(news);
      return news;
    },
    getItemsFromStore: () => itemsFromStore,
    start() {
      for (const prefix of opts.prefixes) {
        opts.supervisor.run(
          `watch ${prefix}`,
          (signal) => follow(prefix, signal),
        );
      }
      opts.supervisor.every("reader-role", ROLE_CHECK_MS, checkRole);
    },
  };
}
