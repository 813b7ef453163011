import { describe, expect, it } from "vitest";
import * as WorkingSet from "../../src/gateway/working_set.ts";

const AFFINITY_KEYS = Array.from({ length: 200 }, (_, i) => `object ${i}`);

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
    advanceMs: (ms: number) => now += ms,
    getServedKeys: () => AFFINITY_KEYS.filter((key) => sets.has(key, "t1")),
    /** Sends requests, of which `rejectedOf10` in ten are rejected for lack of room. */
    send(count: number, rejectedOf10: number) {
      for (let i = 0; i < count; i++) {
        now += 100;
        sets.recordAdmission("t1", i % 10 >= rejectedOf10);
      }
    },
  };
}

describe("a target's working set", () => {
  // Guards against callers whose every retry is rejected although a retry would
  // find room without a limit.
  it("contains all affinity keys while half of the requests are admitted", () => {
    const { send, getServedKeys, changes, sets } = createSets();
    send(500, 5);
    expect(getServedKeys()).toHaveLength(AFFINITY_KEYS.length);
    expect(sets.isLimited("t1")).toBe(false);
    expect(changes).toEqual([]);
  });

  it("contains a subset of the affinity keys at several times the target's capacity", () => {
    const { send, getServedKeys, changes } = createSets();
    send(150, 9);
    const servedFraction = getServedKeys().length / AFFINITY_KEYS.length;
    expect(servedFraction).toBeGreaterThan(0.05);
    expect(servedFraction).toBeLessThan(0.5);
    expect(changes).toEqual(["t1 true"]);
  });

  // Guards against instances whose sets differ, so that their affinity keys evict each other.
  it("contains every smaller set of another instance", () => {
    const [smaller, larger] = [createSets(), createSets()];
    smaller.send(200, 9);
    larger.send(120, 9);
    const largerSet = new Set(larger.getServedKeys());
    expect(smaller.getServedKeys().length).toBeLessThan(largerSet.size);
    expect(smaller.getServedKeys().every((key) => largerSet.has(key))).toBe(
      true,
    );
  });

  // Guards against rejections by a target with free slots after the overload has ended.
  it("contains all affinity keys again ten seconds after the last rejection", () => {
    const { send, changes, getServedKeys, advanceMs } = createSets();
    send(300, 9);
    advanceMs(4_000);
    expect(getServedKeys().length).toBeLessThan(AFFINITY_KEYS.length / 2);
    advanceMs(6_000);
    expect(getServedKeys()).toHaveLength(AFFINITY_KEYS.length);
    send(20, 2);
    expect(getServedKeys()).toHaveLength(AFFINITY_KEYS.length);
    expect(changes).toEqual(["t1 true", "t1 false"]);
  });

  it("affects no other target and ends when the target is removed", () => {
    const { send, sets, getServedKeys } = createSets();
    send(300, 9);
    expect(sets.isLimited("t2")).toBe(false);
    sets.removeTarget("t1");
    expect(getServedKeys()).toHaveLength(AFFINITY_KEYS.length);
  });
});
