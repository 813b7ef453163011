/**
 * The store's items as this instance knows them, by key and revision. Items arrive
 * from the store's watch, from a full read or from a peer, in any order. For each
 * key the highest revision wins, so an item never reverts to an older revision.
 * Revisions also order what was written before and after a restore of the store
 * (`revision.ts`).
 *
 * Each prefix has its own watch, so the items are complete up to one revision per
 * prefix, not up to one revision for all prefixes.
 */
import type * as Clock from "../clock.ts";
import * as Revision from "./revision.ts";
import type * as GatewayTypes from "./types.ts";

/** Deletions are kept for this time, for peers that missed them. */
const TOMBSTONE_MS = 120_000;

/** Highest revision received under each prefix, in the order of the prefixes. */
export type Revisions = readonly number[];

interface StoredItem {
  readonly item: GatewayTypes.StoreItem;
  readonly receivedAtMs: number;
}

/** The latest restore of the store from a copy. */
export interface Restore {
  /** The store's revision when it was first read after the restore. */
  readonly revision: number;
  /** Time since then, ms. */
  readonly ageMs: number;
}

/** The store's items and their changes. */
export interface Items {
  /** Applies items; returns those that changed something. */
  apply(
    items: readonly GatewayTypes.StoreItem[],
  ): readonly GatewayTypes.StoreItem[];
  /** Returns deletions for the items under a prefix that a full list as of `revision` does not contain. */
  findDeleted(
    prefix: string,
    items: readonly GatewayTypes.StoreItem[],
    revision: number,
  ): readonly GatewayTypes.StoreItem[];
  /** Records that all changes up to these revisions are applied, including deletions of unknown keys. */
  advanceRevisions(revisions: Revisions): void;
  /** Returns changes after these revisions, including deletions; undefined when some of these deletions were pruned. */
  tryGetSince(
    revisions: Revisions,
  ): readonly GatewayTypes.StoreItem[] | undefined;
  getAll(): readonly GatewayTypes.StoreItem[];
  /** Returns the item or its deletion; undefined for an unknown key. */
  tryGet(key: string): GatewayTypes.StoreItem | undefined;
  /** Records a restore that this instance or a peer has noticed; the lowest revision of a generation counts. */
  recordRestore(restore: Restore): void;
  getRestore(): Restore | undefined;
  /**
   * True for an item that a restored store may hold from its copy. `previous` is the
   * item that was known before. If its change was lost, the copy was made earlier, so
   * what has the same or a higher count of changes was written since the restore.
   */
  isRestored(
    item: GatewayTypes.StoreItem,
    previous: GatewayTypes.StoreItem | undefined,
  ): boolean;
  getRevisions(): Revisions;
}

/** Returns true when a peer has a higher revision for one of the prefixes. */
export function isBehind(local: Revisions, peer: Revisions): boolean {
  return peer.some((revision, index) => revision > (local[index] ?? 0));
}

/** Creates an empty set of items for these prefixes. */
export function createItems(
  clock: Clock.Clock,
  prefixes: readonly string[],
): Items {
  const storedItems = new Map<string, StoredItem>();
  const revisions = prefixes.map(() => 0);
  let restore: { readonly revision: number; readonly atMs: number } | undefined;
  /** For each prefix, the highest revision among the pruned deletions. */
  const prunedRevisions = prefixes.map(() => 0);

  function getPrefixIndex(key: string): number {
    return prefixes.findIndex((prefix) => key.startsWith(prefix));
  }

  function pruneDeletions(): void {
    const now = clock.nowMs();
    for (const [key, { item, receivedAtMs }] of storedItems) {
      if (item.value !== undefined) continue;
      if (now - receivedAtMs < TOMBSTONE_MS) continue;
      const index = getPrefixIndex(key);
      prunedRevisions[index] = Math.max(
        prunedRevisions[index] ?? 0,
        item.revision,
      );
      storedItems.delete(key);
    }
  }

  function tryApplyItem(item: GatewayTypes.StoreItem): boolean {
    const index = getPrefixIndex(item.key);
    if (index < 0) return false;
    // Also for items that are ignored below: a peer with the same revisions must not seem to be ahead.
    revisions[index] = Math.max(revisions[index] ?? 0, item.revision);
    const previous = storedItems.get(item.key);
    if (previous !== undefined && previous.item.revision >= item.revision) {
      return false;
    }
    if (previous === undefined && item.value === undefined) return false;
    storedItems.set(item.key, { item, receivedAtMs: clock.nowMs() });
    return true;
  }

  function apply(
    items: readonly GatewayTypes.StoreItem[],
  ): readonly GatewayTypes.StoreItem[] {
    const changes = items.filter(tryApplyItem);
    if (changes.some((item) => item.value === undefined)) pruneDeletions();
    return changes;
  }

  function findDeleted(
    prefix: string,
    items: readonly GatewayTypes.StoreItem[],
    revision: number,
  ): readonly GatewayTypes.StoreItem[] {
    const present = new Set(items.map((item) => item.key));
    const generation = Revision.getGeneration(revision);
    // What an earlier generation held is missing since the restore itself.
    const getDeletionRevision = (item: GatewayTypes.StoreItem) =>
      Revision.getGeneration(item.revision) < generation
        ? Revision.createRevision(generation, 0)
        : revision;
    return [...storedItems.values()]
      .map(({ item }) => item)
      .filter((item) =>
        item.key.startsWith(prefix) && item.value !== undefined &&
        item.revision <= revision && !present.has(item.key)
      )
      .map((item) => ({
        ...item,
        value: undefined,
        revision: getDeletionRevision(item),
      }));
  }

  return {
    apply,
    findDeleted,
    advanceRevisions(completeRevisions) {
      completeRevisions.forEach((revision, index) => {
        revisions[index] = Math.max(revisions[index] ?? 0, revision);
      });
    },
    tryGetSince(since) {
      const isPruned = prunedRevisions.some((revision, index) =>
        (since[index] ?? 0) < revision
      );
      if (isPruned) return undefined;
      return [...storedItems.values()]
        .map(({ item }) => item)
        .filter((item) =>
          item.revision > (since[getPrefixIndex(item.key)] ?? 0)
        );
    },
    getAll: () =>
      [...storedItems.values()].map(({ item }) => item)
        .filter((item) => item.value !== undefined),
    tryGet: (key) => storedItems.get(key)?.item,
    recordRestore({ ageMs, revision }) {
      const atMs = clock.nowMs() - ageMs;
      const generation = Revision.getGeneration(revision);
      const knownGeneration = Revision.getGeneration(restore?.revision ?? 0);
      if (generation < knownGeneration) return;
      const isNew = restore === undefined || generation > knownGeneration;
      restore = isNew ? { revision, atMs } : {
        revision: Math.min(restore!.revision, revision),
        atMs: Math.min(restore!.atMs, atMs),
      };
    },
    getRestore: () =>
      restore && {
        revision: restore.revision,
        ageMs: Math.round(clock.nowMs() - restore.atMs),
      },
    isRestored(item, previous) {
      const { getCount, getGeneration } = Revision;
      if (restore === undefined || item.revision > restore.revision) {
        return false;
      }
      if (getGeneration(item.revision) < getGeneration(restore.revision)) {
        return false;
      }
      return previous === undefined ||
        getGeneration(previous.revision) >= getGeneration(item.revision) ||
        getCount(item.revision) < getCount(previous.revision);
    },
    getRevisions: () => [...revisions],
  };
}
