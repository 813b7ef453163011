import { describe, expect, it } from "vitest";
import * as Items from "../../src/gateway/items.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

describe("the store's items", () => {
  function create() {
    const clock = ManualTime.createTime();
    return { clock, items: Items.createItems(clock) };
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
    expect(items.apply([put("a", 5)])).toHaveLength(1);
    expect(items.apply([put("a", 4), put("a", 5)])).toHaveLength(0);
    expect(items.getAll()).toEqual([put("a", 5)]);
    expect(items.apply([gone("a", 6)])).toHaveLength(1);
    expect(items.apply([put("a", 5)])).toHaveLength(0);
    expect(items.getAll()).toEqual([]);
  });

  // Guards against targets that left while the history was lost.
  it("notice what a full read no longer has", () => {
    const { items } = create();
    items.apply([put("t/1", 1), put("t/2", 2), put("o/1", 3)]);
    const news = items.replaceAll("t/", [put("t/2", 2)], 9);
    expect(news).toEqual([gone("t/1", 9)]);
    expect(items.getAll().map((item) => item.key)).toEqual(["t/2", "o/1"]);
  });

  // Guards against a read that is older than what a peer told.
  it("keep what is newer than a full read", () => {
    const { items } = create();
    items.apply([put("t/1", 12)]);
    expect(items.replaceAll("t/", [], 9)).toEqual([]);
    expect(items.getAll()).toHaveLength(1);
  });

  it("tell a peer what changed since its revision, deletions too", async () => {
    const { clock, items } = create();
    items.apply([put("a", 1), put("b", 2)]);
    items.apply([gone("a", 3)]);
    expect(items.tryGetSince(1)).toEqual([gone("a", 3), put("b", 2)]);
    await clock.advance(200_000);
    items.apply([put("c", 4)]);
    items.apply([gone("c", 5)]);
    // The deletion at 3 is forgotten: only everything will do.
    expect(items.tryGetSince(2)).toBeUndefined();
  });
});
