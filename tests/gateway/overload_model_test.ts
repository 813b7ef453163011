import { describe, expect, it } from "vitest";
import * as OverloadModel from "../../testing/model/overload_model.ts";
import * as Scenarios from "../../testing/model/overload_scenarios.ts";

const SEEDS = [1, 2, 3] as const;
/** Share of the calm rate that must be served within the latency target under overload. */
const MIN_USEFUL_SHARE = 0.95;
/** A kind of request is served at least this share as often as all requests. */
const MIN_KIND_SHARE = 0.25;
/** Intervals of 2 s in which the fleet is calm, and under pressure. */
const CALM = [4, 6] as const;
const PRESSURE = [6, 10] as const;

type Sums = Pick<OverloadModel.Counts, "inTime" | "requested">;

/** Sums over all seeds, per interval. */
function sum(
  outcomes: readonly OverloadModel.Outcome[],
  [from, to]: readonly [number, number],
  select: (interval: OverloadModel.Interval) => readonly Sums[],
): Sums {
  let inTime = 0;
  let requested = 0;
  for (const { intervals } of outcomes) {
    for (const counts of intervals.slice(from, to).flatMap(select)) {
      inTime += counts.inTime / (to - from);
      requested += counts.requested / (to - from);
    }
  }
  return { inTime, requested };
}

const getAll = ({ byKind }: OverloadModel.Interval) => [...byKind.values()];

function play(
  scenario: Scenarios.OverloadScenario,
  policy = OverloadModel.PRODUCT,
) {
  return SEEDS.map((seed) =>
    OverloadModel.playOverload(scenario, policy, seed)
  );
}

/** Rate within the latency target under pressure relative to the calm one. */
function getUsefulShare(
  outcomes: readonly OverloadModel.Outcome[],
  select = getAll as (interval: OverloadModel.Interval) => readonly Sums[],
): number {
  return sum(outcomes, PRESSURE, select).inTime /
    sum(outcomes, CALM, select).inTime;
}

// Load pattern: 2.7 times the usual demand for 8 s, one account at 6.7 times its
// usual rate, a third of the callers return at once after a rejection.
describe("a fleet under overload", () => {
  it("does as much useful work as in calm", () => {
    const outcomes = play({ ...Scenarios.SMALL_Q, replacedShare: 0 });
    expect(getUsefulShare(outcomes)).toBeGreaterThan(MIN_USEFUL_SHARE);
  });

  it("does as much useful work as in calm while a third of the targets is replaced", () => {
    const outcomes = play(Scenarios.SMALL_Q);
    expect(getUsefulShare(outcomes)).toBeGreaterThan(MIN_USEFUL_SHARE);
  });

  // Guards against an overload that lasts because first runs of keys displace each other.
  it("serves as much as in calm right after the pressure ends", () => {
    const outcomes = play(Scenarios.SMALL_Q);
    const after = sum(outcomes, [11, 14], getAll);
    const calm = sum(outcomes, CALM, getAll);
    expect(after.inTime).toBeGreaterThan(MIN_USEFUL_SHARE * calm.inTime);
  });

  it("serves each kind of request at least a quarter as often as all", () => {
    const outcomes = play(Scenarios.SMALL_Q);
    const all = sum(outcomes, PRESSURE, getAll);
    for (const { name } of Scenarios.SMALL_Q.kinds) {
      const kind = sum(
        outcomes,
        PRESSURE,
        ({ byKind }) => [byKind.get(name)!],
      );
      expect(kind.inTime / kind.requested).toBeGreaterThan(
        MIN_KIND_SHARE * all.inTime / all.requested,
      );
    }
  });

  it("serves the other accounts as in calm while one sends 6.7 times its usual rate", () => {
    const outcomes = play(Scenarios.HOT_ACCOUNT);
    const share = getUsefulShare(
      outcomes,
      ({ otherAccounts }) => [otherAccounts],
    );
    expect(share).toBeGreaterThan(MIN_USEFUL_SHARE);
  });

  // Failure: all instances restart and forget their samples, and no coordinator reports usage.
  it("serves more than without admission when its state and the accounts' usage are lost", () => {
    const scenario = {
      ...Scenarios.SMALL_Q,
      restartAtMs: 15_000,
      isUsageKnown: false,
    };
    const product = sum(play(scenario), PRESSURE, getAll);
    const before = sum(play(scenario, OverloadModel.BEFORE), PRESSURE, getAll);
    expect(product.inTime).toBeGreaterThan(1.5 * before.inTime);
  });
});
