import { describe, expect, it } from "vitest";
import * as Placement from "../../src/gateway/placement.ts";
import * as RegionPlan from "../../src/gateway/region_plan.ts";
import * as Data from "../../testing/fakes/gateway_data.ts";

const evenDemand = new Map([["north", 1], ["south", 1], ["west", 1]]);

function sum(shares: RegionPlan.Shares): number {
  return [...shares.values()].reduce((a, b) => a + b, 0);
}

describe("the region plan", () => {
  // Two of twenty targets are in one region, as at the users' first site.
  const slots = new Map([["north", 18], ["south", 72], ["west", 90]]);

  it("keeps the affinity keys of a region with enough capacity there", () => {
    const shares = RegionPlan.planShares("west", slots, evenDemand);
    expect(shares.get("west")).toBe(1);
    expect(shares.get("north")).toBeLessThan(0.01);
  });

  it("moves the excess of a small region to regions with unused capacity", () => {
    const shares = RegionPlan.planShares("north", slots, evenDemand);
    expect(shares.get("north")).toBeGreaterThan(0.29);
    expect(shares.get("north")).toBeLessThan(0.4);
    expect(shares.get("west")).toBeGreaterThan(shares.get("south")!);
    expect(sum(shares)).toBeCloseTo(1, 1);
  });

  // Guards against a lost region whose requests get no target.
  it("places all affinity keys in other regions when the local region has no targets", () => {
    const remainingSlots = new Map([["south", 72], ["west", 90]]);
    const shares = RegionPlan.planShares("north", remainingSlots, evenDemand);
    expect(shares.get("north")).toBeUndefined();
    expect(sum(shares)).toBeGreaterThan(0.99);
  });

  it("uses the only region that still has targets", () => {
    const remainingSlots = new Map([["west", 90]]);
    const shares = RegionPlan.planShares("north", remainingSlots, evenDemand);
    expect(shares.get("west")).toBeGreaterThan(0);
  });
});

describe("the ranking of targets", () => {
  const targets = [
    ...Data.createTargets("n", 2, "north"),
    ...Data.createTargets("s", 8, "south"),
    ...Data.createTargets("w", 10, "west"),
  ];
  const createRank = (origin: string, rankedTargets: typeof targets) => {
    const weights = Placement.getRegionWeights(
      origin,
      rankedTargets,
      evenDemand,
    );
    return (key: string) =>
      Placement.rankTargets(key, rankedTargets, weights, 4);
  };
  const keys = Array.from({ length: 300 }, (_, index) => `object-${index}`);

  it("places affinity keys in a region with enough capacity", () => {
    const rank = createRank("west", targets);
    const localKeys = keys.filter((key) => rank(key)[0]?.region === "west");
    expect(localKeys.length).toBeGreaterThan(290);
  });

  // Guards against affinity keys that lose the target that has them cached because another target was removed.
  it("moves only the affinity keys of a removed target", () => {
    const rankBefore = createRank("west", targets);
    const remainingTargets = targets.filter((target) =>
      target.entry.id !== "w3"
    );
    const rankAfter = createRank("west", remainingTargets);
    const movedKeys = keys.filter((key) =>
      rankBefore(key)[0]?.entry.id !== "w3" &&
      rankBefore(key)[0]?.entry.id !== rankAfter(key)[0]?.entry.id
    );
    expect(movedKeys.length).toBeLessThan(15);
  });

  it("doesn't depend on the order of the targets", () => {
    const rank = createRank("south", targets);
    const rankReversed = createRank("south", targets.toReversed());
    for (const key of keys) {
      expect(rankReversed(key).map((target) => target.entry.id))
        .toEqual(rank(key).map((target) => target.entry.id));
    }
  });

  // Guards against a cached ranking that outlives its set of targets.
  it("recomputes the ranking when the set of targets changes", () => {
    const placement = Placement.createPlacement({
      origin: "west",
      demand: evenDemand,
    });
    const first = placement.rank("orders", "object-1", 1, targets)[0]!;
    const remainingTargets = targets.filter((target) => target !== first);
    expect(placement.rank("orders", "object-1", 2, remainingTargets)[0]).not
      .toBe(first);
  });
});
