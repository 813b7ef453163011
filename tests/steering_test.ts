import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import * as Shares from "../src/steering/shares.ts";
import * as Steering from "../src/steering/steering.ts";
import type * as Types from "../src/types.ts";

type Weights = Readonly<Record<string, number>>;

function row(region: string, weight: number, shift: number): Types.Row {
  return {
    service: "s",
    region,
    domains: [`${region}-1`],
    weight,
    capRps: 100,
    shiftPctPerS: shift,
    linkMbps: 100,
    accounts: new Map(),
  };
}

function table(weights: Weights, shift = 5): Types.Table {
  const rows = Object.entries(weights).map(([region, weight]) =>
    row(region, weight, shift)
  );
  const rules = { service: "s", once: [], open: [], deadlineMs: 1_000, rows };
  return {
    revision: 1,
    services: new Map([["s", rules]]),
    accounts: [],
    domains: new Map(),
  };
}

/** Steering in region a under a clock that the test moves. */
function createRig(getPeerRamp?: () => Promise<unknown>) {
  let now = 1_000;
  const clock = { nowMs: () => now, wallMs: () => now };
  const peer = getPeerRamp === undefined ? {} : { getPeerRamp };
  const steering = Steering.createSteering({ region: "a", clock, ...peer });
  return {
    steering,
    pass: (ms: number) => now += ms,
    shares: () => Object.fromEntries(steering.getEffectiveWeights("s")),
    /** Counts of first choices. */
    choose: (times: number) => {
      const counts: Record<string, number> = {};
      for (let i = 0; i < times; i++) {
        const first = steering.chooseRegions("s")[0] ?? "none";
        counts[first] = (counts[first] ?? 0) + 1;
      }
      return counts;
    },
  };
}

describe("shares", () => {
  it("keep the own weight and spill the rest in proportion to the others", () => {
    const rig = createRig();
    rig.steering.setTable(table({ a: 40, b: 50, c: 100 }));
    expect(rig.shares()).toEqual({ a: 40, b: 20, c: 40 });
    expect(rig.choose(500)).toEqual({ a: 200, b: 100, c: 200 });
  });

  it("keep everything when no other region takes the rest, and refuse when none does", () => {
    const rig = createRig();
    rig.steering.setTable(table({ a: 40, b: 0 }));
    expect(rig.shares()).toEqual({ a: 100, b: 0 });
    const drained = createRig();
    drained.steering.setTable(table({ a: 0, b: 0 }));
    expect(drained.steering.chooseRegions("s")).toEqual([]);
    expect(drained.steering.chooseRegions("unknown")).toEqual([]);
  });

  it("are chosen without bursts", () => {
    const rig = createRig();
    rig.steering.setTable(table({ a: 50, b: 100 }));
    const firsts = Array.from(
      { length: 20 },
      () => rig.steering.chooseRegions("s")[0],
    );
    for (let i = 0; i + 1 < firsts.length; i++) {
      expect(firsts[i]).not.toBe(firsts[i + 1]);
    }
  });
});

describe("ramp", () => {
  const weight = FastCheck.integer({ min: 0, max: 100 });
  const step = FastCheck.record({
    weights: FastCheck.option(
      FastCheck.record({ a: weight, b: weight, c: weight, d: weight }, {
        requiredKeys: ["a"],
      }),
      { nil: undefined },
    ),
    ms: FastCheck.integer({ min: 0, max: 4_000 }),
  });

  it("never moves faster than the cap in any window, through any table changes", () => {
    FastCheck.assert(
      FastCheck.property(
        FastCheck.array(step, { minLength: 1, maxLength: 25 }),
        FastCheck.double({ min: 0.1, max: 50, noNaN: true }),
        (steps, shift) => {
          const rig = createRig();
          rig.steering.setTable(table({ a: 100, b: 100, c: 50 }, shift));
          const seen = [{
            at: 0,
            shares: new Map(rig.steering.getEffectiveWeights("s")),
          }];
          let at = 0;
          for (const { weights, ms } of steps) {
            if (weights) rig.steering.setTable(table(weights, shift));
            rig.pass(ms);
            at += ms;
            const shares = new Map(rig.steering.getEffectiveWeights("s"));
            for (const before of seen) {
              const moved = Shares.getDistance(before.shares, shares);
              const allowed = shift * (at - before.at) / 1_000;
              expect(moved).toBeLessThanOrEqual(allowed + 1e-6);
            }
            seen.push({ at, shares });
          }
        },
      ),
      { numRuns: 300 },
    );
  });

  it("reaches the table's shares and stays there", () => {
    const rig = createRig();
    rig.steering.setTable(table({ a: 100, b: 100 }));
    rig.steering.setTable(table({ a: 0, b: 100 }));
    rig.pass(10_000);
    expect(rig.shares()).toEqual({ a: 50, b: 50 });
    rig.pass(10_000);
    expect(rig.shares()).toEqual({ a: 0, b: 100 });
    rig.pass(60_000);
    rig.steering.setTable(table({ a: 100, b: 100 }));
    expect(rig.shares(), "idle time is not saved up").toEqual({ a: 0, b: 100 });
  });

  it("limits the traffic and not the weight, which can move all of the spill", () => {
    const rig = createRig();
    rig.steering.setTable(table({ a: 0, b: 1, c: 0 }));
    rig.steering.setTable(table({ a: 0, b: 1, c: 100 }));
    rig.pass(1_000);
    expect(rig.shares().c).toBeCloseTo(5);
  });

  it("takes the slowest cap of the rows that change", () => {
    const rig = createRig();
    rig.steering.setTable(table({ a: 100, b: 100 }));
    const next = table({ a: 0, b: 100 });
    const rules = next.services.get("s");
    if (rules === undefined) throw new Error("no rules");
    const rows = [row("a", 0, 10), row("b", 100, 2), row("c", 0, 0.1)];
    const services = new Map([["s", { ...rules, rows }]]);
    rig.steering.setTable({ ...next, services });
    rig.pass(1_000);
    expect(rig.shares()).toEqual({ a: 98, b: 2, c: 0 });
  });

  it("brings a service that was drained everywhere back step by step", () => {
    const rig = createRig();
    rig.steering.setTable(table({ a: 0, b: 0 }));
    rig.choose(1);
    rig.steering.setTable(table({ a: 100, b: 0 }));
    rig.pass(2_000);
    expect(rig.choose(1_000)).toEqual({ a: 100, none: 900 });
  });

  it("is taken over from a peer by an instance that starts during it", async () => {
    const old = createRig();
    old.steering.setTable(table({ a: 100, b: 100 }));
    old.steering.setTable(table({ a: 0, b: 100 }));
    old.pass(4_000);
    const exported = JSON.parse(JSON.stringify(old.steering.exportRamp()));
    const started = createRig(() => Promise.resolve(exported));
    expect(await started.steering.bootstrap()).toBe(false);
    started.steering.setTable(table({ a: 0, b: 100 }));
    expect(started.shares()).toEqual({ a: 80, b: 20 });
    started.pass(1_000);
    expect(started.shares()).toEqual({ a: 75, b: 25 });
  });

  it("ignores a peer's ramp that is late or malformed", () => {
    const rig = createRig();
    rig.steering.setTable(table({ a: 100, b: 100 }));
    const other = { s: { a: { a: 0, b: 100 } } };
    for (
      const bad of [undefined, 7, { s: { a: { b: -1 } } }, {
        s: { a: { b: 900 } },
      }]
    ) {
      expect(rig.steering.importRamp(bad)).toBe(false);
    }
    rig.choose(1);
    expect(rig.steering.importRamp(other)).toBe(false);
    expect(rig.shares()).toEqual({ a: 100, b: 0 });
  });
});

describe("fall-back", () => {
  it("tries the own region first and never a drained one", () => {
    const rig = createRig();
    rig.steering.setTable(table({ a: 20, b: 60, c: 30, d: 0 }));
    for (let i = 0; i < 100; i++) {
      const [first, ...rest] = rig.steering.chooseRegions("s");
      expect(rest).not.toContain("d");
      expect(rest.length).toBe(2);
      if (first !== "a") expect(rest[0]).toBe("a");
    }
  });

  it("spreads a failed region over the survivors by weight", () => {
    const rig = createRig();
    rig.steering.setTable(table({ a: 100, b: 75, c: 25 }));
    let toB = 0;
    for (let i = 0; i < 400; i++) {
      if (rig.steering.chooseRegions("s")[1] === "b") toB++;
    }
    expect(toB).toBe(300);
  });
});
