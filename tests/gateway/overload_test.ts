import { describe, expect, it } from "vitest";
import type * as Choice from "../../src/gateway/choice.ts";
import * as Overload from "../../src/gateway/overload.ts";
import * as Random from "../../testing/load/random.ts";

const PROFILE: Choice.RequestProfile = {
  deadlineMs: 3_000,
  targetLatencyMs: 500,
  priority: 0,
  cacheHitMs: 200,
  cacheMissMs: 600,
  missCostMs: 400,
};

function createCandidate(rank: number, isCached = false): Choice.Candidate {
  const id = `t${rank}`;
  return {
    target: {
      entry: {
        id,
        service: "lookup",
        address: "",
        domain: "d",
        slots: 4,
        isLeaving: false,
        coldLeftMs: 0,
        startedAtMs: 1,
      },
      region: "r",
      coldUntilMs: 0,
    },
    rank,
    isPaused: false,
    isCold: false,
    isRateLimitReached: false,
    isExcluded: false,
    outstanding: 0,
    shedShare: 0,
    roundTripMs: 2,
    cacheHitChance: isCached ? 1 : 0.2,
    warmupRemainingMs: undefined,
  };
}

const CANDIDATES = [0, 1, 2].map((rank) => createCandidate(rank));

function createRig() {
  let now = 0;
  const changes: string[] = [];
  const overload = Overload.createOverload({
    clock: { nowMs: () => now, wallMs: () => now },
    random: Random.createRandom(1),
    onChange: (service, isOverloaded) =>
      changes.push(`${service} ${isOverloaded}`),
  });
  function decide(
    opts: {
      readonly usage?: number;
      readonly priority?: number;
      readonly candidates?: readonly Choice.Candidate[];
    } = {},
  ): Overload.Decision {
    const { candidates = CANDIDATES, priority = 0, usage } = opts;
    const request = { service: "lookup", timeoutMs: 3_000, usage };
    return overload.decide(request, candidates, { ...PROFILE, priority });
  }
  return {
    overload,
    changes,
    decide,
    advanceMs: (ms: number) => now += ms,
    /** Records `count` reports of targets that this instance has not asked before. */
    report(waiting: number, count = 50, slots = 4) {
      for (let i = 0; i < count; i++) {
        now += 20;
        const load = { running: 4, waiting, slots };
        overload.recordReport("lookup", `other ${i}`, load, PROFILE);
      }
    },
    /** Share of requests that are admitted. */
    getAdmittedShare(opts: Parameters<typeof decide>[0] = {}) {
      let admitted = 0;
      for (let i = 0; i < 2_000; i++) {
        if (decide(opts).kind === "admit") admitted++;
      }
      return admitted / 2_000;
    },
  };
}

describe("admission under overload", () => {
  // Guards against rejections by an instance that knows nothing or has no reason.
  it("changes nothing without reports, without queues and after malformed reports", () => {
    const { decide, overload, report } = createRig();
    expect(decide({ usage: 5 })).toEqual({
      kind: "admit",
      candidates: CANDIDATES,
    });
    report(0);
    for (const waiting of [NaN, -5, Infinity, 1e9]) report(waiting);
    report(4, 10, 0);
    expect(decide({ usage: 5 })).toEqual({
      kind: "admit",
      candidates: CANDIDATES,
    });
    expect(overload.isOverloaded("lookup")).toBe(false);
    expect(
      overload.getRetryAfterMs(
        { service: "lookup", timeoutMs: 3_000, usage: 5 },
        120,
      ),
    ).toBe(120);
  });

  // Guards against queues at slow or popular targets beside free ones: a service that
  // only queues in places is not short of room.
  it("lets affinity keys spill while the service isn't overloaded", () => {
    const { decide, overload, report } = createRig();
    report(1);
    expect(overload.isOverloaded("lookup")).toBe(false);
    expect(decide()).toEqual({ kind: "admit", candidates: CANDIDATES });
  });

  // Guards against first runs of a key at targets that are as full as its primary target.
  it("keeps affinity keys at targets where they are cached while the service is overloaded", () => {
    const { decide, report } = createRig();
    report(4);
    const cached = createCandidate(2, true);
    const candidates = [CANDIDATES[0]!, CANDIDATES[1]!, cached];
    expect(decide({ candidates })).toEqual({
      kind: "admit",
      candidates: [CANDIDATES[0], cached],
    });
  });

  // Guards against keys without any target while their primary target is paused.
  it("spills the keys of a paused target to the next one", () => {
    const { decide, report } = createRig();
    report(4);
    const paused = { ...CANDIDATES[0]!, isPaused: true };
    const decision = decide({ candidates: [paused, CANDIDATES[1]!] });
    expect(decision).toMatchObject({
      kind: "admit",
      candidates: [paused, CANDIDATES[1]],
    });
  });

  it("admits a quarter at least, and fewer requests the longer targets queue", () => {
    const shares = [1, 5, 8, 20, 80].map((waiting) => {
      const rig = createRig();
      rig.report(waiting);
      return rig.getAdmittedShare();
    });
    expect(shares[0]).toBe(1);
    expect(shares[2]!).toBeLessThan(shares[1]!);
    expect(shares[4]!).toBeLessThan(shares[2]!);
    expect(Math.min(...shares)).toBeGreaterThan(0.2);
  });

  // Guards against an instance that stays strict on reports of the past.
  it("admits all requests again within seconds after the last report", () => {
    const { advanceMs, changes, decide, getAdmittedShare, overload, report } =
      createRig();
    report(12);
    expect(getAdmittedShare()).toBeLessThan(0.5);
    expect(changes).toEqual(["lookup true"]);
    advanceMs(10_000);
    expect(getAdmittedShare()).toBe(1);
    expect(overload.isOverloaded("lookup")).toBe(false);
    expect(decide()).toMatchObject({ kind: "admit", candidates: CANDIDATES });
    expect(changes).toEqual(["lookup true", "lookup false"]);
  });

  // Guards against an account at four times its limit that displaces the others.
  it("admits as much of an account above its limit as of the others", () => {
    const { decide, report } = createRig();
    report(9);
    const random = Random.createRandom(2);
    const admitted = { usual: 0, hot: 0 };
    for (let i = 0; i < 6_000; i++) {
      // Ten accounts send at half of their limits, one at four times its limit.
      const isHot = random() < 4 / 9;
      if (decide({ usage: isHot ? 4 : 0.5 }).kind === "reject") continue;
      admitted[isHot ? "hot" : "usual"]++;
    }
    expect(admitted.hot).toBeLessThan(1.3 * admitted.usual / 10);
  });

  it("never admits a less urgent kind of a service more often", () => {
    for (const waiting of [3, 6, 9, 20]) {
      const { getAdmittedShare, report } = createRig();
      report(waiting);
      const [urgent, bulk] = [0, 2].map((priority) =>
        getAdmittedShare({ priority })
      );
      expect(urgent! + 0.02).toBeGreaterThanOrEqual(bulk!);
    }
  });

  // Guards against callers who return together in the second of their rejection.
  it("spreads the returns of rejected callers over the time that they wait", () => {
    const { overload, report } = createRig();
    report(12);
    const request = { service: "lookup", timeoutMs: 3_000, usage: undefined };
    const delays = Array.from(
      { length: 200 },
      () => overload.getRetryAfterMs(request, 100),
    );
    expect(Math.max(...delays)).toBeLessThanOrEqual(1_000);
    expect(Math.min(...delays)).toBeGreaterThan(500);
    expect(Math.max(...delays) - Math.min(...delays)).toBeGreaterThan(350);
  });
});
