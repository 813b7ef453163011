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
import type * as GatewayTypes from "./types.ts";

/** Deletions are kept for this time, for peers that missed them. */
const TOMBSTONE_MS = 120_000;

/** Highest revision received under each prefix, in the order of the prefixes. */
export type Revisions = readonly number[];

interface StoredItem {
  readonly item: GatewayTypes.StoreItem;
  readonly receivedAtMs: number;
}

/** The store's items and their changes. */
export interface Items {
  /** Applies items; returns those that changed something. */
  apply(
    items: readonly GatewayTypes.StoreItem[],
  ): readonly GatewayTypes.StoreItem[];
  /** Applies all items under a prefix as of `revision`, deletes the others there, and returns the changes. */
  replaceAll(
    prefix: string,
    items: readonly GatewayTypes.StoreItem[],
    revision: number,
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
    return [...storedItems.values()]
      .map(({ item }) => item)
      .filter((item) =>
        item.key.startsWith(prefix) && item.value !== undefined &&
        item.revision <= revision && !present.has(item.key)
      )
      .map((item) => ({ ...item, value: undefined, revision }));
  }

  return {
    apply,
    findDeleted,
    replaceAll: (prefix, items, revision) =>
      apply([...items, ...findDeleted(prefix, items, revision)]),
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
    getRevisions: () => [...revisions],
  };
}
