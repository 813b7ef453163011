import { describe, expect, it } from "vitest";
import * as WorkingSet from "../../src/gateway/working_set.ts";

const OBJECTS = Array.from({ length: 200 }, (_, i) => `object ${i}`);

function createSets() {
  let now = 0;
  const changes: string[] = [];
  const sets = WorkingSet.createWorkingSets(
    { nowMs: () => now, wallMs: () => now },
    (target, isLimited) => changes.push(`${target} ${isLimited}`),
  );
  return {
    sets,
    changes,
    pass: (ms: number) => now += ms,
    getServed: () => OBJECTS.filter((one) => sets.has(one, "t1")),
    /** Requests of the target's objects, `refusedOf10` in ten of which find no room. */
    ask(count: number, refusedOf10: number) {
      for (let i = 0; i < count; i++) {
        now += 100;
        sets.recordAdmission("t1", i % 10 >= refusedOf10);
      }
    },
  };
}

describe("the objects that a target is kept to", () => {
  // Guards against callers who would find room when they come back, and are
  // refused again and again instead.
  it("are all of them while half of the requests find room", () => {
    const { ask, getServed, changes, sets } = createSets();
    ask(500, 5);
    expect(getServed()).toHaveLength(OBJECTS.length);
    expect(sets.isLimited("t1")).toBe(false);
    expect(changes).toEqual([]);
  });

  it("are a part under several times the load that it can run", () => {
    const { ask, getServed, changes } = createSets();
    ask(150, 9);
    const served = getServed().length / OBJECTS.length;
    expect(served).toBeGreaterThan(0.05);
    expect(served).toBeLessThan(0.5);
    expect(changes).toEqual(["t1 true"]);
  });

  // Guards against instances that send different objects, which push each other out.
  it("are the same on all instances, the smaller part within the larger", () => {
    const [few, more] = [createSets(), createSets()];
    few.ask(200, 9);
    more.ask(120, 9);
    const inMore = new Set(more.getServed());
    expect(few.getServed().length).toBeLessThan(inMore.size);
    expect(few.getServed().every((one) => inMore.has(one))).toBe(true);
  });

  // Guards against refusals with a target free, when the load has ended.
  it("are all of them again ten seconds after the last refusal", () => {
    const { ask, changes, getServed, pass } = createSets();
    ask(300, 9);
    pass(4_000);
    expect(getServed().length).toBeLessThan(OBJECTS.length / 2);
    pass(6_000);
    expect(getServed()).toHaveLength(OBJECTS.length);
    ask(20, 2);
    expect(getServed()).toHaveLength(OBJECTS.length);
    expect(changes).toEqual(["t1 true", "t1 false"]);
  });

  it("say nothing of other targets, nor of one that is new at the address", () => {
    const { ask, sets, getServed } = createSets();
    ask(300, 9);
    expect(sets.isLimited("t2")).toBe(false);
    sets.removeTarget("t1");
    expect(getServed()).toHaveLength(OBJECTS.length);
  });
});
