import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import * as Shares from "../src/steering/shares.ts";
import * as Steering from "../src/steering/steering.ts";
import type * as Types from "../src/types.ts";

type Weights = Readonly<Record<string, number>>;

function createRow(
  region: string,
  weight: number,
  shiftPctPerS: number,
): Types.Row {
  return {
    service: "s",
    region,
    domains: [`${region}-1`],
    weight,
    capRps: 100,
    shiftPctPerS,
    linkMbps: 100,
    accounts: new Map(),
  };
}

function createTable(weights: Weights, shiftPctPerS = 5): Types.Table {
  const rows = Object.entries(weights).map(([region, weight]) =>
    createRow(region, weight, shiftPctPerS)
  );
  const rules = { service: "s", once: [], open: [], deadlineMs: 1_000, rows };
  return {
    revision: 1,
    services: new Map([["s", rules]]),
    accounts: [],
    domains: new Map(),
  };
}

/** Steering in region a with a clock that the test advances. */
function createRig(getPeerRamp?: () => Promise<unknown>) {
  let now = 1_000;
  const clock = { nowMs: () => now, wallMs: () => now };
  const peerOptions = getPeerRamp === undefined ? {} : { getPeerRamp };
  const steering = Steering.createSteering({
    region: "a",
    clock,
    ...peerOptions,
  });
  return {
    steering,
    advanceMs: (ms: number) => now += ms,
    shares: () => Object.fromEntries(steering.getEffectiveWeights("s")),
    /** Number of requests by the region that was chosen first. */
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

describe("the shares of an origin", () => {
  it("keep the origin's weight and spill the remainder in proportion to the other weights", () => {
    const rig = createRig();
    rig.steering.setTable(createTable({ a: 40, b: 50, c: 100 }));
    expect(rig.shares()).toEqual({ a: 40, b: 20, c: 40 });
    expect(rig.choose(500)).toEqual({ a: 200, b: 100, c: 200 });
  });

  it("stay in the origin without another region, and are empty when all weights are 0", () => {
    const rig = createRig();
    rig.steering.setTable(createTable({ a: 40, b: 0 }));
    expect(rig.shares()).toEqual({ a: 100, b: 0 });
    const drained = createRig();
    drained.steering.setTable(createTable({ a: 0, b: 0 }));
    expect(drained.steering.chooseRegions("s")).toEqual([]);
    expect(drained.steering.chooseRegions("unknown")).toEqual([]);
  });

  it("are spread over requests without bursts", () => {
    const rig = createRig();
    rig.steering.setTable(createTable({ a: 50, b: 100 }));
    const firsts = Array.from(
      { length: 20 },
      () => rig.steering.chooseRegions("s")[0],
    );
    for (let i = 0; i + 1 < firsts.length; i++) {
      expect(firsts[i]).not.toBe(firsts[i + 1]);
    }
  });
});

describe("the ramp", () => {
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

  it("never moves faster than the limit in any window, whatever the table changes", () => {
    FastCheck.assert(
      FastCheck.property(
        FastCheck.array(step, { minLength: 1, maxLength: 25 }),
        FastCheck.double({ min: 0.1, max: 50, noNaN: true }),
        (steps, limit) => {
          const rig = createRig();
          rig.steering.setTable(
            createTable({ a: 100, b: 100, c: 50 }, limit),
          );
          const observations = [{
            atMs: 0,
            shares: new Map(rig.steering.getEffectiveWeights("s")),
          }];
          let atMs = 0;
          for (const { weights, ms } of steps) {
            if (weights) rig.steering.setTable(createTable(weights, limit));
            rig.advanceMs(ms);
            atMs += ms;
            const shares = new Map(rig.steering.getEffectiveWeights("s"));
            for (const earlier of observations) {
              const moved = Shares.getDistance(earlier.shares, shares);
              const allowed = limit * (atMs - earlier.atMs) / 1_000;
              expect(moved).toBeLessThanOrEqual(allowed + 1e-6);
            }
            observations.push({ atMs, shares });
          }
        },
      ),
      { numRuns: 300 },
    );
  });

  it("reaches the table's shares and stays there", () => {
    const rig = createRig();
    rig.steering.setTable(createTable({ a: 100, b: 100 }));
    rig.steering.setTable(createTable({ a: 0, b: 100 }));
    rig.advanceMs(10_000);
    expect(rig.shares()).toEqual({ a: 50, b: 50 });
    rig.advanceMs(10_000);
    expect(rig.shares()).toEqual({ a: 0, b: 100 });
    rig.advanceMs(60_000);
    rig.steering.setTable(createTable({ a: 100, b: 100 }));
    expect(rig.shares(), "idle time doesn't add to the next ramp").toEqual({
      a: 0,
      b: 100,
    });
  });

  it("limits the moved traffic, because a weight change can move all of the spill", () => {
    const rig = createRig();
    rig.steering.setTable(createTable({ a: 0, b: 1, c: 0 }));
    rig.steering.setTable(createTable({ a: 0, b: 1, c: 100 }));
    rig.advanceMs(1_000);
    expect(rig.shares().c).toBeCloseTo(5);
  });

  it("uses the lowest limit of the rows that change", () => {
    const rig = createRig();
    rig.steering.setTable(createTable({ a: 100, b: 100 }));
    const next = createTable({ a: 0, b: 100 });
    const rules = next.services.get("s");
    if (rules === undefined) throw new Error("no rules");
    const rows = [
      createRow("a", 0, 10),
      createRow("b", 100, 2),
      createRow("c", 0, 0.1),
    ];
    const services = new Map([["s", { ...rules, rows }]]);
    rig.steering.setTable({ ...next, services });
    rig.advanceMs(1_000);
    expect(rig.shares()).toEqual({ a: 98, b: 2, c: 0 });
  });

  it("restores traffic gradually to a service that was drained in all regions", () => {
    const rig = createRig();
    rig.steering.setTable(createTable({ a: 0, b: 0 }));
    rig.choose(1);
    rig.steering.setTable(createTable({ a: 100, b: 0 }));
    rig.advanceMs(2_000);
    expect(rig.choose(1_000)).toEqual({ a: 100, none: 900 });
  });

  it("is adopted from a peer by an instance that starts during the ramp", async () => {
    const peer = createRig();
    peer.steering.setTable(createTable({ a: 100, b: 100 }));
    peer.steering.setTable(createTable({ a: 0, b: 100 }));
    peer.advanceMs(4_000);
    const exported = JSON.parse(JSON.stringify(peer.steering.exportRamp()));
    const started = createRig(() => Promise.resolve(exported));
    expect(await started.steering.bootstrap()).toBe(false);
    started.steering.setTable(createTable({ a: 0, b: 100 }));
    expect(started.shares()).toEqual({ a: 80, b: 20 });
    started.advanceMs(1_000);
    expect(started.shares()).toEqual({ a: 75, b: 25 });
  });

  it("ignores a peer's ramp that is malformed or arrives after the first choice", () => {
    const rig = createRig();
    rig.steering.setTable(createTable({ a: 100, b: 100 }));
    const lateRamp = { s: { a: { a: 0, b: 100 } } };
    for (
      const malformedRamp of [undefined, 7, { s: { a: { b: -1 } } }, {
        s: { a: { b: 900 } },
      }]
    ) {
      expect(rig.steering.importRamp(malformedRamp)).toBe(false);
    }
    rig.choose(1);
    expect(rig.steering.importRamp(lateRamp)).toBe(false);
    expect(rig.shares()).toEqual({ a: 100, b: 0 });
  });
});

describe("the fallback", () => {
  it("tries the local region first and never a drained one", () => {
    const rig = createRig();
    rig.steering.setTable(createTable({ a: 20, b: 60, c: 30, d: 0 }));
    for (let i = 0; i < 100; i++) {
      const [first, ...rest] = rig.steering.chooseRegions("s");
      expect(rest).not.toContain("d");
      expect(rest.length).toBe(2);
      if (first !== "a") expect(rest[0]).toBe("a");
    }
  });

  it("spreads the requests of a failed region over the other regions by weight", () => {
    const rig = createRig();
    rig.steering.setTable(createTable({ a: 100, b: 75, c: 25 }));
    let toB = 0;
    for (let i = 0; i < 400; i++) {
      if (rig.steering.chooseRegions("s")[1] === "b") toB++;
    }
    expect(toB).toBe(300);
  });
});
