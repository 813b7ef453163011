import { describe, expect, it } from "vitest";
import * as LoadExchange from "../../src/gateway/load_exchange.ts";
import * as FleetModel from "../../testing/model/fleet_model.ts";
import * as Scenarios from "../../testing/model/scenarios.ts";

const SEEDS = [1, 2, 3] as const;

function playAllSeeds(name: Scenarios.ScenarioName, policy: FleetModel.Policy) {
  return SEEDS.map((seed) =>
    FleetModel.playScenario(Scenarios.scenarios[name], policy, seed)
  );
}

/** Lowest share over all seeds of the requests with a response within the latency target. */
function getLowestOnTimeShare(
  outcomes: readonly FleetModel.Outcome[],
  from = 0,
  to = Infinity,
): number {
  return Math.min(...outcomes.map(({ seconds }) => {
    const { requested, withinTarget } = FleetModel.sumCounts(
      seconds.slice(from, to),
    );
    return withinTarget / requested;
  }));
}

describe("placement and waiting under load", () => {
  // On a calm day, only the cache misses of the first requests exceed the latency target.
  it("responds within the latency target on a calm day once affinity keys are cached", () => {
    const outcomes = playAllSeeds("calm", "product");
    expect(getLowestOnTimeShare(outcomes, 6)).toBeGreaterThan(0.95);
    for (const { total } of outcomes) expect(total.rejected).toBe(0);
  });

  // Load pattern: all affinity keys are requested at once and none is cached.
  it("causes few cache misses for each affinity key when traffic starts", () => {
    const affinityKeys = 3 *
      Scenarios.scenarios["cold-start"].affinityKeysPerRegion;
    for (const outcome of playAllSeeds("cold-start", "product")) {
      expect(outcome.cacheMisses).toBeLessThan(2.5 * affinityKeys);
    }
  });

  it.each(["cold-start", "burst", "loss", "overload"] as const)(
    "serves more requests within the latency target than primary targets alone: %s",
    (name) => {
      const actual = getLowestOnTimeShare(playAllSeeds(name, "product"));
      const baseline = getLowestOnTimeShare(playAllSeeds(name, "own-place"));
      expect(actual).toBeGreaterThan(baseline + 0.05);
    },
  );

  // Load pattern: lasting overload. Guards against queues that make every response late.
  it("serves most admitted requests within the latency target under lasting overload", () => {
    for (const { total } of playAllSeeds("overload", "product")) {
      expect(total.withinTarget).toBeGreaterThan(3 * total.late);
    }
  });

  // Load pattern: two targets get requests for six times the affinity keys that
  // they can cache, so nearly every request is a cache miss.
  it("serves more requests within the latency target with working sets", () => {
    const actual = getLowestOnTimeShare(playAllSeeds("homed", "product"), 10);
    const baseline = getLowestOnTimeShare(
      playAllSeeds("homed", "all-objects"),
      10,
    );
    expect(actual).toBeGreaterThan(baseline + 0.04);
  });

  // Load pattern: an instance sends to a target every 7 s and sees no queue by itself.
  it("serves more requests within the latency target when instances pass on load reports", () => {
    const scenario = {
      ...Scenarios.scenarios["small-queues"],
      durationMs: 12_000,
    };
    const [actual, baseline] = (["product", "own-reports"] as const).map(
      (policy) => FleetModel.playScenario(scenario, policy, 1),
    );
    expect(actual!.total.withinTarget)
      .toBeGreaterThan(baseline!.total.withinTarget);
    expect(actual!.total.late).toBeLessThan(baseline!.total.late);
    expect(actual!.sheds).toBeLessThan(baseline!.sheds / 2);
    expect(actual!.spread).toBeLessThan(baseline!.spread);
    expect(actual!.exchange.maxBytesPerS)
      .toBeLessThan(LoadExchange.BUDGET_BYTES_PER_S);
  });

  it("recovers within four seconds after half a region is lost", () => {
    const outcomes = playAllSeeds("loss", "product");
    expect(getLowestOnTimeShare(outcomes, 14)).toBeGreaterThan(0.9);
  });

  it("produces the same outcome for the same seed", () => {
    const [first, second] = [
      playAllSeeds("burst", "product"),
      playAllSeeds("burst", "product"),
    ];
    expect(first).toEqual(second);
  });
});
