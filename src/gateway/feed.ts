/**
 * Follows the store: the instances that are their domain's store readers watch each
 * prefix of the store. `onChanges` receives the changes that they read.
 */
import type * as Clock from "../clock.ts";
import * as ClockModule from "../clock.ts";
import type * as Log from "../log.ts";
import * as Tasks from "../peer/tasks.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Contracts from "./contracts.ts";
import type * as ItemsModule from "./items.ts";
import * as RelayedObservation from "./relayed_observation.ts";
import * as Revision from "./revision.ts";
import type * as RestoreGuard from "./restore_guard.ts";
import type * as StateModule from "./state.ts";
import type * as StoreContact from "./store_contact.ts";
import type * as GatewayTypes from "./types.ts";

/**
 * Duration of one watch, ms. A connection may become unresponsive without a reset. Until
 * the watch ends, peers report the changes; without peers the next watch finds them.
 */
export const WATCH_WAIT_MS = 5_000;
/**
 * Duration of the first watch after a failed one. Its response shows at once whether
 * the store was restored meanwhile, even if it has counted up to the known revision
 * again and would have nothing to report.
 */
const PROBE_WAIT_MS = 1;
const RETRY_MIN_MS = 100;
/** The store's recovery must be noticed well within the 2 s in which entries may reappear. */
const RETRY_MAX_MS = 400;
/**
 * Delay before the next watch after a change, so that further changes arrive in one
 * response: entries are often added and removed in series, and the store counts
 * every call. Each further change of a series adds as much, up to the maximum. Both
 * are far below the 2.5 s within which a change must be in force.
 */
const BATCH_DELAY_MS = 250;
const MAX_BATCH_DELAY_MS = 750;
/** An outage shorter than this cannot have let entries expire. */
const SHORT_OUTAGE_MS = 1_500;
/** A peer that received a store response less than this ago shows that the store is up. */
const FRESH_PEER_MS = 1_500;
/** An instance that becomes a reader is notified; this bounds the delay if a notification is missed. */
const MAX_IDLE_MS = 60_000;
/** Timers may fire a little early. */
const TIMER_MARGIN_MS = 5;
/**
 * A single call may fail while the store is healthy for this instance; two more
 * attempts fit into this time.
 */
const FAILING_AFTER_MS = 700;
/** An instance that the store rejected is not selected as a reader again for this time. */
const FAILED_READER_PAUSE_MS = 5_000;

/** Source of the state: the store and the items from peers. */
export interface Feed {
  /** Time since the store last responded to any instance, ms; Infinity before the first response. */
  getStoreAgeMs(): number;
  /** True while the store does not respond to this instance, and for 5 s after it was replaced as a failing reader. */
  isFailing(): boolean;
  /** Records that, according to a peer, the store responded to some instance `ageMs` ago; `relays` as read from its report. */
  recordStoreAge(ageMs: number, relays: number): void;
  /** Age to report to peers, ms, and the relays by which this instance knows it; Infinity if peers must not relay it further. */
  getReportedStoreAge(): { readonly ageMs: number; readonly relays: number };
  /** Puts items in force that a peer reports as superseding what the restored store holds. */
  handleSuperseding(items: readonly GatewayTypes.StoreItem[]): void;
  /** Applies items from a peer and returns the changes; `graceMs` is how long missing entries may still reappear. */
  handlePeerItems(
    items: readonly GatewayTypes.StoreItem[],
    graceMs: number,
  ): readonly GatewayTypes.StoreItem[];
  /** Items received from the store since the start. */
  getStoreItemCount(): number;
  /** Begins to follow the store at once if this instance has become a reader. */
  updateRole(): void;
  start(): void;
}

/** Creates the feed; it reads nothing before `start`. */
export function createFeed(opts: {
  readonly prefixes: readonly string[];
  readonly store: Contracts.MetadataStore;
  readonly decode: Contracts.DecodeItem;
  readonly items: ItemsModule.Items;
  readonly state: StateModule.State;
  readonly restoreGuard: RestoreGuard.RestoreGuard;
  /** True while this instance reads the store for its domain. */
  readonly isReader: () => boolean;
  /** Receives changes read from the store after they are applied; `before` are the revisions without them. */
  readonly onChanges: (
    changes: readonly GatewayTypes.StoreItem[],
    before: ItemsModule.Revisions,
  ) => void;
  /** Contact of the domain's readers with the store. */
  readonly contact: Pick<
    StoreContact.StoreContact,
    "check" | "getDelayMs" | "recordResponse"
  >;
  /** Called when the store was restored from a copy. */
  readonly onRestore: () => void;
  /** Time after an outage in which entries may reappear, ms. */
  readonly entryRecoveryMs: number;
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}): Feed {
  const { clock, items, log, state, store } = opts;
  /** Time of the last known store response to any instance. */
  /** The last response of the store to any instance. */
  let storeSeen: RelayedObservation.Observation = {
    atMs: -Infinity,
    relays: 0,
  };
  let failingSinceMs: number | undefined;
  /** Until this time a replaced reader counts as failing; without it, it would be selected again at once. */
  let failedUntilMs = -Infinity;
  let freshPeerReportAtMs = -Infinity;
  let itemsFromStore = 0;
  const roleChanges = Tasks.createNotifier();
  /** Aborts the watches that wait for changes of a generation that the store has left. */
  let previousGeneration = new AbortController();
  let wasReader = false;

  function isFailing(): boolean {
    const now = clock.nowMs();
    if (now < failedUntilMs) return true;
    return failingSinceMs !== undefined &&
      now - failingSinceMs > FAILING_AFTER_MS;
  }

  /** For `graceMs`, keeps targets whose entries are missing; then removes those that did not reappear. */
  function startEntryGrace(graceMs: number): void {
    state.setEntryGrace(clock.nowMs() + graceMs);
    setTimeout(
      state.removeMissingTargets,
      state.getEntryGraceMs() + TIMER_MARGIN_MS,
    ).unref();
  }

  /** Applies to the state what changed; `previousItems` are the received keys' items before. */
  function applyToState(
    changes: readonly GatewayTypes.StoreItem[],
    previousItems: ReadonlyMap<string, GatewayTypes.StoreItem>,
  ): void {
    const stored: RestoreGuard.StoredChange[] = [];
    for (const item of changes) {
      const { key, value } = item;
      const previous = previousItems.get(key);
      const isRestored = items.isRestored(item, previous);
      // What the copy holds unchanged is no news, for example of a target that was cold.
      if (isRestored && previous?.value === value) continue;
      const change = opts.decode(item);
      if (change === undefined) continue;
      stored.push({ key, change, isRestored, previous });
    }
    opts.restoreGuard.apply(stored);
  }

  function adopt(superseding: GatewayTypes.StoreItem): void {
    const { key } = superseding;
    const generation = Revision.getGeneration(
      items.getRestore()?.revision ?? 0,
    );
    const revision = Revision.createRevision(generation, 0);
    const item = items.tryGet(key) ?? { key, value: undefined, revision };
    const inForce = opts.decode(superseding);
    const change = opts.decode(item);
    if (inForce === undefined || change === undefined) return;
    const isRestored = items.isRestored(item, superseding);
    const stored = { key, change, isRestored, previous: superseding };
    opts.restoreGuard.adopt(superseding, inForce, stored);
  }

  /** Applies received items to the known ones, and their changes to the state. */
  function applyItems(
    received: readonly GatewayTypes.StoreItem[],
  ): readonly GatewayTypes.StoreItem[] {
    const previousItems = new Map(
      received.map(({ key }) => items.tryGet(key))
        .filter((item) => item !== undefined)
        .map((item) => [item.key, item]),
    );
    const changes = applyAcrossRestore(received);
    if (changes.length < received.length) logIgnored(received);
    applyToState(changes, previousItems);
    return changes;
  }

  function recordResponse(): void {
    storeSeen = { atMs: clock.nowMs(), relays: 0 };
    opts.contact.recordResponse();
    if (failingSinceMs === undefined) return;
    const outageMs = Math.round(storeSeen.atMs - failingSinceMs);
    log.info("store-regained", { outageMs });
    // Entries expire only in an outage that the targets experience, too. Peers that
    // reached the store during this time show that only this instance was affected.
    const wasStoreUp = freshPeerReportAtMs > failingSinceMs + FRESH_PEER_MS;
    if (outageMs > SHORT_OUTAGE_MS && !wasStoreUp) {
      startEntryGrace(opts.entryRecoveryMs);
    }
    failingSinceMs = undefined;
  }

  function getKnownGeneration(): number {
    return Revision.getGeneration(Math.max(...items.getRevisions()));
  }

  /** True if items of an earlier generation are known, so the store was restored meanwhile. */
  function isRestoreOf(revision: number): boolean {
    const isEmpty = items.getRevisions().every((known) => known === 0);
    return !isEmpty && Revision.getGeneration(revision) > getKnownGeneration();
  }

  /** Applies items; ends the watches of the previous generation if they are the first ones of a restored store. */
  function applyAcrossRestore(
    received: readonly GatewayTypes.StoreItem[],
  ): readonly GatewayTypes.StoreItem[] {
    const revisions = items.getRevisions();
    const generation = getKnownGeneration();
    const changes = items.apply(received);
    const isFirst = revisions.every((revision) => revision === 0);
    if (isFirst || getKnownGeneration() === generation) return changes;
    log.warn("store-restored", {
      before: revisions.map(Revision.formatRevision).join(","),
      now: items.getRevisions().map(Revision.formatRevision).join(","),
    });
    previousGeneration.abort();
    previousGeneration = new AbortController();
    opts.onRestore();
    return changes;
  }

  function recordFailure(detail: string): void {
    if (failingSinceMs !== undefined) return;
    failingSinceMs = clock.nowMs();
    const revisions = items.getRevisions().map(Revision.formatRevision);
    log.warn("store-lost", { detail, revisions: revisions.join(",") });
  }

  /** Logs received items that have no effect although the store's value differs from the one in force. */
  function logIgnored(received: readonly GatewayTypes.StoreItem[]): void {
    const values = new Map(
      items.getAll().map(({ key, value }) => [key, value]),
    );
    const ignored = received.filter(({ key, value }) =>
      values.get(key) !== value
    );
    if (ignored.length === 0) return;
    const { key, revision } = ignored.at(-1)!;
    log.info("items-ignored", {
      count: ignored.length,
      last: `${key}@${Revision.formatRevision(revision)}`,
    });
  }

  /** Applies the items of a store response and reports the changes. */
  function applyFromStore(
    received: readonly GatewayTypes.StoreItem[],
  ): void {
    itemsFromStore += received.length;
    const before = items.getRevisions();
    const changes = applyItems(received);
    if (changes.length > 0) opts.onChanges(changes, before);
  }

  /** Logs changes of the reader role and resumes the watches of a reader. The role changes when members of the domain join or leave, or when the store fails a reader. */
  function updateRole(): void {
    const isReader = opts.isReader();
    if (isReader !== wasReader) log.info("store-reader", { isReader });
    wasReader = isReader;
    if (isReader) roleChanges.notify();
  }

  /** Watches one prefix from the known revision; reads the whole prefix when there is none. */
  async function follow(prefix: string, signal: AbortSignal): Promise<void> {
    const prefixIndex = opts.prefixes.indexOf(prefix);
    // Spreads the responses to the watches of a reader over the time of one watch.
    const firstWaitMs = WATCH_WAIT_MS * (prefixIndex + 1) /
      opts.prefixes.length;
    let nextWaitMs = firstWaitMs;
    let afterRevision: number | undefined;
    let retryMs = RETRY_MIN_MS;
    let batchDelayMs = 0;
    let hasFailed = false;
    let generationSignal = previousGeneration.signal;
    let combinedSignal = AbortSignal.any([signal, generationSignal]);
    while (!signal.aborted) {
      if (!opts.isReader()) {
        await waitForRole();
        continue;
      }
      const isCurrent = afterRevision !== undefined &&
        Revision.getGeneration(afterRevision) === getKnownGeneration();
      const ok = afterRevision === undefined || !isCurrent
        ? await readWhole()
        : await watchOnce(afterRevision);
      hasFailed = !ok;
      if (ok) {
        retryMs = RETRY_MIN_MS;
        continue;
      }
      await ClockModule.sleep(retryMs * (0.75 + Math.random() / 2), signal);
      retryMs = Math.min(retryMs * 2, RETRY_MAX_MS);
    }

    /** Waits until this instance is a reader. The items that readers push are complete, so a watch may continue from them. */
    async function waitForRole(): Promise<void> {
      if (isFailing()) failedUntilMs = clock.nowMs() + FAILED_READER_PAUSE_MS;
      failingSinceMs = undefined;
      await roleChanges.wait(MAX_IDLE_MS, signal);
      const knownRevision = items.getRevisions()[prefixIndex] ?? 0;
      afterRevision = knownRevision > 0 ? knownRevision : undefined;
      nextWaitMs = firstWaitMs;
    }

    async function readWhole(): Promise<boolean> {
      const result = await store.readAll(prefix);
      if (result.isErr()) return handleFailure(result.error.detail);
      recordResponse();
      const { items: received, revision } = result.value;
      const asOf = Revision.formatRevision(revision);
      log.info("prefix-read", { prefix, asOf });
      if (isRestoreOf(revision)) items.recordRestore({ revision, ageMs: 0 });
      const deletions = items.findDeleted(prefix, received, revision);
      applyFromStore([...received, ...deletions]);
      afterRevision = revision;
      return true;
    }

    /** Combines the signals once for all watches of a generation: the combination stays allocated as long as its sources. */
    function getWatchSignal(): AbortSignal {
      if (generationSignal !== previousGeneration.signal) {
        generationSignal = previousGeneration.signal;
        combinedSignal = AbortSignal.any([signal, generationSignal]);
      }
      return combinedSignal;
    }

    async function watchOnce(since: number): Promise<boolean> {
      const waitMs = hasFailed ? PROBE_WAIT_MS : nextWaitMs;
      const watchSignal = getWatchSignal();
      const result = await store.watch(prefix, since, waitMs, watchSignal);
      if (watchSignal.aborted) return true;
      // A watch may be reset or time out while the store is healthy. The next watch
      // continues from the same revision and misses nothing.
      if (result.isErr()) return handleFailure(result.error.detail);
      recordResponse();
      nextWaitMs = hasFailed ? firstWaitMs : WATCH_WAIT_MS;
      if (result.value.kind === "history-gone") {
        const after = Revision.formatRevision(since);
        log.info("store-history-gone", { prefix, after });
        afterRevision = undefined;
        return true;
      }
      const { items: received, revision } = result.value;
      afterRevision = revision;
      applyFromStore(received);
      batchDelayMs = received.length === 0
        ? 0
        : Math.min(batchDelayMs + BATCH_DELAY_MS, MAX_BATCH_DELAY_MS);
      if (batchDelayMs > 0) await ClockModule.sleep(batchDelayMs, signal);
      return true;
    }

    function handleFailure(detail: string): false {
      recordFailure(detail);
      return false;
    }
  }

  return {
    getStoreAgeMs: () => clock.nowMs() - storeSeen.atMs,
    getReportedStoreAge() {
      const { atMs, relays } = storeSeen;
      const isReportable = RelayedObservation.isReportable(storeSeen);
      return { ageMs: isReportable ? clock.nowMs() - atMs : Infinity, relays };
    },
    isFailing,
    recordStoreAge(ageMs, relays) {
      const now = clock.nowMs();
      const received = { atMs: now - ageMs, relays };
      const isLater = RelayedObservation.isLater(received, storeSeen);
      if (isLater) storeSeen = received;
      if (ageMs < FRESH_PEER_MS) freshPeerReportAtMs = now;
    },
    handleSuperseding: (superseding) => superseding.forEach(adopt),
    handlePeerItems(received, graceMs) {
      if (graceMs > 0) startEntryGrace(graceMs);
      return applyItems(received);
    },
    getStoreItemCount: () => itemsFromStore,
    updateRole,
    start() {
      for (const prefix of opts.prefixes) {
        opts.supervisor.run(
          `watch ${prefix}`,
          (signal) => follow(prefix, signal),
        );
      }
      // Both checks in one wake-up; the second may wait for the store.
      opts.supervisor.every("reader-role", opts.contact.getDelayMs, () => {
        updateRole();
        void opts.contact.check();
      });
    },
  };
}
