import { describe, expect, it } from "vitest";
import * as Placement from "../../src/gateway/placement.ts";
import * as RegionPlan from "../../src/gateway/region_plan.ts";
import * as Data from "../../testing/fakes/gateway_data.ts";

const evenDemand = new Map([["north", 1], ["south", 1], ["west", 1]]);

function sum(shares: RegionPlan.Shares): number {
  return [...shares.values()].reduce((a, b) => a + b, 0);
}

describe("the plan of regions", () => {
  // Two of twenty targets in one region: what the users' first site looks like.
  const slots = new Map([["north", 18], ["south", 72], ["west", 90]]);

  it("keeps the objects of a region that has room", () => {
    const shares = RegionPlan.planShares("west", slots, evenDemand);
    expect(shares.get("west")).toBe(1);
    expect(shares.get("north")).toBeLessThan(0.01);
  });

  it("places what a small region can't carry where targets are spare", () => {
    const shares = RegionPlan.planShares("north", slots, evenDemand);
    expect(shares.get("north")).toBeGreaterThan(0.29);
    expect(shares.get("north")).toBeLessThan(0.4);
    expect(shares.get("west")).toBeGreaterThan(shares.get("south")!);
    expect(sum(shares)).toBeCloseTo(1, 1);
  });

  // Guards against a lost region whose callers find no place.
  it("places everything elsewhere when the own region has no targets", () => {
    const left = new Map([["south", 72], ["west", 90]]);
    const shares = RegionPlan.planShares("north", left, evenDemand);
    expect(shares.get("north")).toBeUndefined();
    expect(sum(shares)).toBeGreaterThan(0.99);
  });

  it("uses the only region that is left", () => {
    const left = new Map([["west", 90]]);
    const shares = RegionPlan.planShares("north", left, evenDemand);
    expect(shares.get("west")).toBeGreaterThan(0);
  });
});

describe("the ranking of targets", () => {
  const all = [
    ...Data.createTargets("n", 2, "north"),
    ...Data.createTargets("s", 8, "south"),
    ...Data.createTargets("w", 10, "west"),
  ];
  const rankOf = (origin: string, targets: typeof all) => {
    const weights = Placement.getRegionWeights(origin, targets, evenDemand);
    return (key: string) => Placement.rankTargets(key, targets, weights, 4);
  };
  const keys = Array.from({ length: 300 }, (_, index) => `object-${index}`);

  it("stays in a region with room", () => {
    const rank = rankOf("west", all);
    const home = keys.filter((key) => rank(key)[0]?.region === "west");
    expect(home.length).toBeGreaterThan(290);
  });

  // Guards against objects that lose their warm target because another one went.
  it("moves only the objects of a target that went", () => {
    const before = rankOf("west", all);
    const rest = all.filter((one) => one.entry.id !== "w3");
    const after = rankOf("west", rest);
    const moved = keys.filter((key) =>
      before(key)[0]?.entry.id !== "w3" &&
      before(key)[0]?.entry.id !== after(key)[0]?.entry.id
    );
    expect(moved.length).toBeLessThan(15);
  });

  it("does not depend on the order of the targets", () => {
    const one = rankOf("south", all);
    const other = rankOf("south", all.toReversed());
    for (const key of keys) {
      expect(other(key).map((target) => target.entry.id))
        .toEqual(one(key).map((target) => target.entry.id));
    }
  });

  // Guards against a ranking that outlives the set of targets it was made of.
  it("is made anew when the set of targets changes", () => {
    const placement = Placement.createPlacement({
      origin: "west",
      demand: evenDemand,
    });
    const first = placement.rank("orders", "object-1", 1, all)[0]!;
    const rest = all.filter((one) => one !== first);
    expect(placement.rank("orders", "object-1", 2, rest)[0]).not.toBe(first);
  });
});
