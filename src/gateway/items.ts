/**
 * The store's items as this instance knows them, by key and revision. Items may
 * come from the store's watch, from a full read or from a peer, in any order:
 * for each key the highest revision wins, so nothing ever goes back.
 *
 * Each prefix is followed by a watch of its own, so what is known is complete up
 * to a revision for each prefix, not for all of them together.
 */
import type * as Clock from "../clock.ts";
import type * as GatewayTypes from "./types.ts";

/** Deletions are remembered this long, for peers that missed them. */
const TOMBSTONE_MS = 120_000;

/** Highest revision known under each prefix, in the order of the prefixes. */
export type Revisions = readonly number[];

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
  /** Known items under a prefix that a list as of `revision` does not name, as deletions. */
  findDeleted(
    prefix: string,
    items: readonly GatewayTypes.StoreItem[],
    revision: number,
  ): readonly GatewayTypes.StoreItem[];
  /** Everything up to these revisions is known, deletions of unknown keys included. */
  recordComplete(revisions: Revisions): void;
  /** Items that changed after these revisions, deletions included; undefined when some deletions are forgotten. */
  tryGetSince(
    revisions: Revisions,
  ): readonly GatewayTypes.StoreItem[] | undefined;
  getAll(): readonly GatewayTypes.StoreItem[];
  getRevisions(): Revisions;
}

/** True when one of the prefixes is behind. */
export function isBehind(own: Revisions, other: Revisions): boolean {
  return other.some((revision, index) => revision > (own[index] ?? 0));
}

/** Creates an empty set of items under some prefixes. */
export function createItems(
  clock: Clock.Clock,
  prefixes: readonly string[],
): Items {
  const known = new Map<string, Known>();
  const revisions = prefixes.map(() => 0);
  /** Deletions up to this revision may be forgotten. */
  const forgotten = prefixes.map(() => 0);

  function getPlace(key: string): number {
    return prefixes.findIndex((prefix) => key.startsWith(prefix));
  }

  function forgetOldDeletions(): void {
    const now = clock.nowMs();
    for (const [key, { item, learntAtMs }] of known) {
      if (item.value !== undefined) continue;
      if (now - learntAtMs < TOMBSTONE_MS) continue;
      const place = getPlace(key);
      forgotten[place] = Math.max(forgotten[place] ?? 0, item.revision);
      known.delete(key);
    }
  }

  function applyOne(item: GatewayTypes.StoreItem): boolean {
    const place = getPlace(item.key);
    if (place < 0) return false;
    // Also for what is ignored below: a peer that knows no more must not look ahead.
    revisions[place] = Math.max(revisions[place] ?? 0, item.revision);
    const before = known.get(item.key);
    if (before !== undefined && before.item.revision >= item.revision) {
      return false;
    }
    if (before === undefined && item.value === undefined) return false;
    known.set(item.key, { item, learntAtMs: clock.nowMs() });
    return true;
  }

  function apply(
    items: readonly GatewayTypes.StoreItem[],
  ): readonly GatewayTypes.StoreItem[] {
    const news = items.filter(applyOne);
    if (news.some((item) => item.value === undefined)) forgetOldDeletions();
    return news;
  }

  function findGone(
    prefix: string,
    items: readonly GatewayTypes.StoreItem[],
    asOf: number,
  ): readonly GatewayTypes.StoreItem[] {
    const present = new Set(items.map((item) => item.key));
    return [...known.values()]
      .map(({ item }) => item)
      .filter((item) =>
        item.key.startsWith(prefix) && item.value !== undefined &&
        item.revision <= asOf && !present.has(item.key)
      )
      .map((item) => ({ ...item, value: undefined, revision: asOf }));
  }

  return {
    apply,
    findDeleted: findGone,
    replaceAll: (prefix, items, asOf) =>
      apply([...items, ...findGone(prefix, items, asOf)]),
    recordComplete(complete) {
      complete.forEach((revision, place) => {
        revisions[place] = Math.max(revisions[place] ?? 0, revision);
      });
    },
    tryGetSince(since) {
      const isForgotten = forgotten.some((revision, place) =>
        (since[place] ?? 0) < revision
      );
      if (isForgotten) return undefined;
      return [...known.values()]
        .map(({ item }) => item)
        .filter((item) => item.revision > (since[getPlace(item.key)] ?? 0));
    },
    getAll: () =>
      [...known.values()].map(({ item }) => item)
        .filter((item) => item.value !== undefined),
    getRevisions: () => [...revisions],
  };
}
