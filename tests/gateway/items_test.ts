import { describe, expect, it } from "vitest";
import * as Items from "../../src/gateway/items.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

describe("the store's items", () => {
  function create() {
    const clock = ManualTime.createTime();
    return { clock, items: Items.createItems(clock, ["a/", "b/"]) };
  }
  const put = (key: string, revision: number, value = `v${revision}`) => ({
    key,
    revision,
    value,
  });
  const gone = (key: string, revision: number) => ({
    key,
    revision,
    value: undefined,
  });

  // Guards against a version that goes back when a peer's late copy arrives.
  it("keep the highest revision of a key, in whatever order it comes", () => {
    const { items } = create();
    expect(items.apply([put("a/1", 5)])).toHaveLength(1);
    expect(items.apply([put("a/1", 4), put("a/1", 5)])).toHaveLength(0);
    expect(items.getAll()).toEqual([put("a/1", 5)]);
    expect(items.apply([gone("a/1", 6)])).toHaveLength(1);
    expect(items.apply([put("a/1", 5)])).toHaveLength(0);
    expect(items.getAll()).toEqual([]);
  });

  // Guards against targets that left while the history was lost.
  it("notice what a full read no longer has", () => {
    const { items } = create();
    items.apply([put("a/1", 1), put("a/2", 2), put("b/1", 3)]);
    const news = items.replaceAll("a/", [put("a/2", 2)], 9);
    expect(news).toEqual([gone("a/1", 9)]);
    expect(items.getAll().map((item) => item.key)).toEqual(["a/2", "b/1"]);
  });

  // Guards against a read that is older than what a peer told.
  it("keep what is newer than a full read", () => {
    const { items } = create();
    items.apply([put("a/1", 12)]);
    expect(items.replaceAll("a/", [], 9)).toEqual([]);
    expect(items.getAll()).toHaveLength(1);
  });

  it("tell a peer what changed since its revisions, deletions too", async () => {
    const { clock, items } = create();
    items.apply([put("a/1", 1), put("a/2", 2)]);
    items.apply([gone("a/1", 3)]);
    const changes = [gone("a/1", 3), put("a/2", 2)];
    expect(items.tryGetSince([1, 0])).toEqual(changes);
    await clock.advance(200_000);
    items.apply([put("a/3", 4)]);
    items.apply([gone("a/3", 5)]);
    // The deletion at 3 is forgotten: only everything will do.
    expect(items.tryGetSince([2, 0])).toBeUndefined();
  });

  // Guards against a configuration that is missed because targets changed after it.
  it("know what is missing under each prefix", () => {
    const { items } = create();
    items.apply([put("b/1", 7)]);
    expect(items.getRevisions()).toEqual([0, 7]);
    expect(Items.isBehind(items.getRevisions(), [5, 7])).toBe(true);
    items.apply([put("a/1", 5)]);
    expect(Items.isBehind(items.getRevisions(), [5, 7])).toBe(false);
  });

  // Guards against instances that ask each other for ever for a deletion of what they never knew.
  it("are as current after the deletion of an unknown key", () => {
    const { items } = create();
    expect(items.apply([gone("a/1", 9)])).toEqual([]);
    expect(items.getRevisions()).toEqual([9, 0]);
  });
});
