import { describe, expect, it } from "vitest";
import * as Items from "../../src/gateway/items.ts";
import * as Revision from "../../src/gateway/revision.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

describe("store items", () => {
  function create() {
    const clock = ManualTime.createTime();
    return { clock, items: Items.createItems(clock, ["a/", "b/"]) };
  }
  /** Applies all items under a prefix, as a full read does. */
  function replaceAll(
    items: Items.Items,
    ...[prefix, list, revision]: Parameters<Items.Items["findDeleted"]>
  ) {
    return items.apply([...list, ...items.findDeleted(prefix, list, revision)]);
  }
  const put = (key: string, revision: number, value = `v${revision}`) => ({
    key,
    revision,
    value,
  });
  const deletion = (key: string, revision: number) => ({
    key,
    revision,
    value: undefined,
  });

  // Guards against an item that reverts to an older revision when a peer's late copy arrives.
  it("keep the highest revision of a key in any order of arrival", () => {
    const { items } = create();
    expect(items.apply([put("a/1", 5)])).toHaveLength(1);
    expect(items.apply([put("a/1", 4), put("a/1", 5)])).toHaveLength(0);
    expect(items.getAll()).toEqual([put("a/1", 5)]);
    expect(items.apply([deletion("a/1", 6)])).toHaveLength(1);
    expect(items.apply([put("a/1", 5)])).toHaveLength(0);
    expect(items.getAll()).toEqual([]);
  });

  // Guards against writes without effect after the store's counter of changes fell back.
  it("prefer what a restored store holds, also under a lower count", () => {
    const { items } = create();
    const lost = Revision.createRevision(1, 57);
    const written = Revision.createRevision(2, 50);
    items.apply([put("a/1", lost), put("a/2", lost)]);
    items.apply([deletion("a/2", lost + 1)]);
    const restored = [put("a/1", written), put("a/2", written)];
    expect(replaceAll(items, "a/", restored, written + 3)).toEqual(restored);
    expect(items.apply([put("a/1", lost + 9)])).toEqual([]);
    expect(Revision.formatRevision(items.getRevisions()[0]!)).toBe("2:50");
  });

  // Guards against an item written in the first moments after a restore that counts as old.
  it("count as restored up to the revision of the restore, unless their own change was lost before", () => {
    const { items } = create();
    const inGeneration = (generation: number, count: number) =>
      put("a/1", Revision.createRevision(generation, count));
    items.recordRestore({ revision: inGeneration(2, 56).revision, ageMs: 500 });
    items.recordRestore({ revision: inGeneration(2, 60).revision, ageMs: 0 });
    const known = inGeneration(1, 54);
    expect(items.isRestored(inGeneration(2, 52), known)).toBe(true);
    expect(items.isRestored(inGeneration(2, 54), known)).toBe(false);
    expect(items.isRestored(inGeneration(2, 56), undefined)).toBe(true);
    expect(items.isRestored(inGeneration(2, 57), undefined)).toBe(false);
    expect(items.isRestored(known, undefined)).toBe(false);
    expect(items.getRestore()?.ageMs).toBe(500);
  });

  // Guards against a target that is dropped at once as one reader reads later than another.
  it("date what a restored store lacks to the restore", () => {
    const { items } = create();
    items.apply([put("a/1", Revision.createRevision(1, 57))]);
    const known = items.tryGet("a/1");
    items.recordRestore({
      revision: Revision.createRevision(2, 60),
      ageMs: 0,
    });
    const listedAt = Revision.createRevision(2, 64);
    const [missing] = replaceAll(items, "a/", [], listedAt);
    expect(missing).toMatchObject({ key: "a/1", value: undefined });
    expect(items.isRestored(missing!, known)).toBe(true);
  });

  // Guards against targets that stay in use although they were removed while the
  // store's history was lost.
  it("delete what a full read no longer contains", () => {
    const { items } = create();
    items.apply([put("a/1", 1), put("a/2", 2), put("b/1", 3)]);
    const changes = replaceAll(items, "a/", [put("a/2", 2)], 9);
    expect(changes).toEqual([deletion("a/1", 9)]);
    expect(items.getAll().map((item) => item.key)).toEqual(["a/2", "b/1"]);
  });

  // Guards against a full read that deletes items which a peer sent at a later revision.
  it("keep items that are newer than a full read", () => {
    const { items } = create();
    items.apply([put("a/1", 12)]);
    expect(replaceAll(items, "a/", [], 9)).toEqual([]);
    expect(items.getAll()).toHaveLength(1);
  });

  // Guards against a peer that misses a deletion, also one that was pruned here.
  it("list the changes since a peer's revisions, including deletions", async () => {
    const { clock, items } = create();
    items.apply([put("a/1", 1), put("a/2", 2)]);
    items.apply([deletion("a/1", 3)]);
    const changes = [deletion("a/1", 3), put("a/2", 2)];
    expect(items.tryGetSince([1, 0])).toEqual(changes);
    await clock.advance(200_000);
    items.apply([put("a/3", 4)]);
    items.apply([deletion("a/3", 5)]);
    // The deletion at revision 3 was pruned, so only a complete list is correct.
    expect(items.tryGetSince([2, 0])).toBeUndefined();
  });

  // Guards against a missed configuration change that a later change of a target hides.
  it("track missing changes for each prefix", () => {
    const { items } = create();
    items.apply([put("b/1", 7)]);
    expect(items.getRevisions()).toEqual([0, 7]);
    expect(Items.isBehind(items.getRevisions(), [5, 7])).toBe(true);
    items.apply([put("a/1", 5)]);
    expect(Items.isBehind(items.getRevisions(), [5, 7])).toBe(false);
  });

  // Guards against instances that pull the deletion of a key they never had from each
  // other forever.
  it("advance their revision after the deletion of an unknown key", () => {
    const { items } = create();
    expect(items.apply([deletion("a/1", 9)])).toEqual([]);
    expect(items.getRevisions()).toEqual([9, 0]);
  });
});
