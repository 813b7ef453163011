import { describe, expect, it } from "vitest";
import * as Mesh from "../src/peer/mesh.ts";
import * as Rendezvous from "../src/rendezvous.ts";

describe("topology", () => {
  const createMembers = (domains: number, each: number) =>
    Array.from({ length: domains * each }, (_, i) => ({
      id: `i${i}`,
      domain: `d${i % domains}`,
      isUsable: true,
    }));

  it("is a full mesh up to 24 members, then the own domain and one or two of each other", () => {
    const small = createMembers(6, 4);
    expect(Mesh.selectPeers(small[0]!, small).size).toBe(23);
    const large = createMembers(17, 36);
    for (const self of large.slice(0, 40)) {
      const ids = Mesh.selectPeers(self, large);
      expect(ids.has(self.id)).toBe(false);
      expect(ids.size).toBe(35 + 16);
    }
    const manyDomains = createMembers(8, 4);
    for (const self of manyDomains) {
      expect(Mesh.selectPeers(self, manyDomains).size).toBe(3 + 2 * 7);
    }
  });

  it("replaces links to members that do not answer, and keeps trying them", () => {
    const large = createMembers(17, 36);
    const self = large[0]!;
    const before = Mesh.selectPeers(self, large);
    const lost = new Set(
      [...before].filter((id) => Number(id.slice(1)) % 17 === 1),
    );
    const after = Mesh.selectPeers(
      self,
      large.map((m) => ({ ...m, isUsable: !lost.has(m.id) })),
    );
    expect(lost.size).toBe(1);
    expect(after.size).toBe(before.size + 1);
    for (const id of before) expect(after.has(id)).toBe(true);
  });

  it("ranks alike in every process and moves few keys when an id goes", () => {
    // Fixed values: another result would split a fleet of mixed versions.
    expect(Rendezvous.rank("table", ["a", "b", "c", "d"])).toEqual(
      Rendezvous.rank("table", ["d", "c", "b", "a"]),
    );
    const ids = Array.from({ length: 10 }, (_, i) => `i${i}`);
    const keys = Array.from({ length: 2_000 }, (_, i) => `k${i}`);
    const owner = (key: string, among: readonly string[]) =>
      Rendezvous.rank(key, among)[0];
    const rest = ids.slice(1);
    for (const key of keys) {
      const before = owner(key, ids);
      if (before !== "i0") expect(owner(key, rest)).toBe(before);
    }
    const share = keys.filter((key) => owner(key, ids) === "i3").length;
    expect(share).toBeGreaterThan(130);
    expect(share).toBeLessThan(270);
  });

  it("picks in proportion to weights", () => {
    const candidates = [
      { id: "a", weight: 4 },
      { id: "b", weight: 1 },
      { id: "c", weight: 0 },
    ];
    const counts = new Map<string | undefined, number>();
    for (let i = 0; i < 5_000; i++) {
      const id = Rendezvous.pickWeighted(`t1/${i}`, candidates);
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    expect(counts.get("c")).toBeUndefined();
    expect(counts.get("a")! / counts.get("b")!).toBeGreaterThan(3.4);
    expect(counts.get("a")! / counts.get("b")!).toBeLessThan(4.7);
    expect(Rendezvous.pickWeighted("k", [])).toBeUndefined();
  });
});
