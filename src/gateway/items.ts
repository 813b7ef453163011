/**
 * The store's items as this instance knows them, by key and revision. Items may
 * come from the store's watch, from a full read or from a peer, in any order:
 * for each key the highest revision wins, so nothing ever goes back.
 */
import type * as Clock from "../clock.ts";
import type * as GatewayTypes from "./types.ts";

/** Deletions are remembered this long, for peers that missed them. */
const TOMBSTONE_MS = 120_000;

interface Known {
  readonly item: GatewayTypes.StoreItem;
  readonly learntAtMs: number;
}

/** The items and what changed. */
export interface Items {
  /** Takes items in; returns those that were news. */
  apply(
    items: readonly GatewayTypes.StoreItem[],
  ): readonly GatewayTypes.StoreItem[];
  /** Takes everything under a prefix as of `revision`; what is missing was deleted. */
  replaceAll(
    prefix: string,
    items: readonly GatewayTypes.StoreItem[],
    revision: number,
  ): readonly GatewayTypes.StoreItem[];
  /** Items that changed after `revision`, deletions included; undefined when some deletions are forgotten. */
  tryGetSince(
    revision: number,
  ): readonly GatewayTypes.StoreItem[] | undefined;
  getAll(): readonly GatewayTypes.StoreItem[];
  /** Highest revision of any item. */
  getRevision(): number;
}

/** Creates an empty set. */
export function createItems(clock: Clock.Clock): Items {
  const known = new Map<string, Known>();
  let revision = 0;
  /** Deletions up to this revision may be forgotten. */
  let forgottenRevision = 0;

  function forgetOldDeletions(): void {
    const now = clock.nowMs();
    for (const [key, { item, learntAtMs }] of known) {
      if (item.value !== undefined) continue;
      if (now - learntAtMs < TOMBSTONE_MS) continue;
      forgottenRevision = Math.max(forgottenRevision, item.revision);
      known.delete(key);
    }
  }

  function applyOne(item: GatewayTypes.StoreItem): boolean {
    const before = known.get(item.key);
    if (before !== undefined && before.item.revision >= item.revision) {
      return false;
    }
    if (before === undefined && item.value === undefined) return false;
    known.set(item.key, { item, learntAtMs: clock.nowMs() });
    revision = Math.max(revision, item.revision);
    return true;
  }

  function apply(
    items: readonly GatewayTypes.StoreItem[],
  ): readonly GatewayTypes.StoreItem[] {
    const news = items.filter(applyOne);
    if (news.some((item) => item.value === undefined)) forgetOldDeletions();
    return news;
  }

  return {
    apply,
    replaceAll(prefix, items, asOf) {
      const present = new Set(items.map((item) => item.key));
      const gone = [...known.values()]
        .map(({ item }) => item)
        .filter((item) =>
          item.key.startsWith(prefix) && item.value !== undefined &&
          item.revision <= asOf && !present.has(item.key)
        )
        .map((item) => ({ ...item, value: undefined, revision: asOf }));
      return apply([...items, ...gone]);
    },
    tryGetSince(since) {
      if (since < forgottenRevision) return undefined;
      return [...known.values()]
        .map(({ item }) => item)
        .filter((item) => item.revision > since);
    },
    getAll: () =>
      [...known.values()].map(({ item }) => item)
        .filter((item) => item.value !== undefined),
    getRevision: () => revision,
  };
}
