import { describe, expect, it } from "vitest";
import * as Choice from "../../src/gateway/choice.ts";
import * as Timings from "../../src/gateway/timings.ts";
import * as Data from "../../testing/fakes/gateway_data.ts";

const defaultProfile: Choice.RequestProfile = {
  deadlineMs: 2_000,
  targetLatencyMs: 400,
  priority: 0,
  cacheHitMs: 144,
  cacheMissMs: 480,
  missCostMs: 336,
};

/**
 * Candidates with nine slots each; by default only the primary target has the
 * affinity key cached.
 */
function createCandidates(
  ...overridesByRank: readonly Partial<Choice.Candidate>[]
): readonly Choice.Candidate[] {
  const targets = Data.createTargets("t", overridesByRank.length, "north");
  return overridesByRank.map((overrides, rank) => ({
    target: targets[rank]!,
    rank,
    isPaused: false,
    isCold: false,
    isRateLimitReached: false,
    isExcluded: false,
    outstanding: 0,
    shedShare: 0,
    roundTripMs: 1,
    cacheHitChance: rank === 0 ? 1 : 0,
    warmupRemainingMs: undefined,
    ...overrides,
  }));
}

function chooseRank(
  candidates: readonly Choice.Candidate[],
  overrides: Partial<Choice.RequestProfile> = {},
): number | undefined {
  const choice = Choice.chooseCandidate(candidates, {
    ...defaultProfile,
    ...overrides,
  });
  return choice.kind === "send" ? choice.candidate.rank : undefined;
}

describe("the choice among the candidates of an affinity key", () => {
  it("uses the primary target while its queue is short", () => {
    expect(chooseRank(createCandidates({ outstanding: 12 }, {}))).toBe(0);
  });

  // Guards against a queue at one target while another has the affinity key cached and is idle.
  it("prefers the shorter queue when two candidates have the affinity key cached", () => {
    const candidates = createCandidates({ outstanding: 14 }, {
      cacheHitChance: 1,
    });
    expect(chooseRank(candidates)).toBe(1);
  });

  // Load pattern: all targets are busy, so a cache miss would take capacity from other requests.
  it("accepts a queue at the primary target rather than a cache miss at a busy target", () => {
    expect(
      chooseRank(createCandidates({ outstanding: 22 }, { outstanding: 9 })),
    )
      .toBe(0);
  });

  // Load pattern: a target gets requests for more affinity keys than it can cache.
  it("rejects with the longest retry time when the key is outside all working sets", () => {
    const choice = Choice.chooseCandidate(
      createCandidates({ isExcluded: true }, { isExcluded: true }),
      defaultProfile,
    );
    expect(choice).toEqual({
      kind: "reject",
      reason: "full",
      retryAfterMs: 800,
    });
    expect(chooseRank(createCandidates({ isExcluded: true }, {}))).toBe(1);
  });

  // Guards against a preference for the local region that ends with the first
  // response: 30% of a region's affinity keys then moved to other regions in 2 s.
  it("keeps the primary target in another region before the first measurement", () => {
    const timings = Timings.createTimings();
    const fallbackMs = 500;
    const unmeasured = {
      cacheHitMs: timings.getServiceMs("r", true, fallbackMs),
      cacheMissMs: timings.getServiceMs("r", false, fallbackMs),
      missCostMs: timings.getMissCostMs("r", fallbackMs),
    };
    const candidates = createCandidates(
      { roundTripMs: 70, cacheHitChance: 0.4 },
      { cacheHitChance: 0.2 },
      { cacheHitChance: 0.1 },
    );
    expect(chooseRank(candidates, unmeasured)).toBe(0);
  });

  it("skips a target that is paused, full or at its cold start limit", () => {
    expect(chooseRank(createCandidates({ isPaused: true }, {}))).toBe(1);
    expect(chooseRank(createCandidates({ outstanding: 36 }, {}))).toBe(1);
    expect(chooseRank(createCandidates({ isRateLimitReached: true }, {}))).toBe(
      1,
    );
  });

  // Load pattern: replaced targets, at which a cache miss takes longer than the route's latency target.
  it("prefers a cache miss at a warm target to a cache miss at a cold one", () => {
    const candidates = createCandidates(
      { isCold: true, cacheHitChance: 0 },
      {},
    );
    expect(chooseRank(candidates)).toBe(1);
  });

  // Load pattern: a target sheds half of its requests although it has free slots.
  it("avoids a target that sheds requests while another candidate has room", () => {
    expect(chooseRank(createCandidates({ shedShare: 0.5 }, {}))).toBe(1);
  });

  it("reports that no target can be reached", () => {
    const candidates = createCandidates({ isPaused: true }, { isPaused: true });
    const rejection = { kind: "reject", reason: "no-target" };
    expect(Choice.chooseCandidate(candidates, defaultProfile)).toMatchObject(
      rejection,
    );
    expect(Choice.chooseCandidate([], defaultProfile)).toMatchObject(rejection);
  });
});

describe("the choice while a warm-up request is in flight", () => {
  // Load pattern: traffic starts with many concurrent requests for the same affinity keys.
  it("waits for the warm-up request rather than sending another cache miss", () => {
    const candidates = createCandidates(
      { cacheHitChance: 0, outstanding: 5, warmupRemainingMs: 200 },
      { outstanding: 8 },
    );
    const choice = Choice.chooseCandidate(candidates, defaultProfile);
    expect(choice).toMatchObject({ kind: "wait", maxMs: 200 });
  });

  it("sends another cache miss when the wait would exceed the deadline", () => {
    const candidates = createCandidates(
      { cacheHitChance: 0, warmupRemainingMs: 450 },
      {},
    );
    const choice = Choice.chooseCandidate(candidates, {
      ...defaultProfile,
      deadlineMs: 550,
    });
    expect(choice).toMatchObject({ kind: "send", candidate: { rank: 1 } });
  });
});

describe("the choice under overload", () => {
  // Guards against queues so long that every response misses the latency target.
  it("rejects a request whose wait would exceed the wait bound", () => {
    const candidates = createCandidates({ outstanding: 30 }, {
      outstanding: 30,
      cacheHitChance: 1,
    });
    const choice = Choice.chooseCandidate(candidates, defaultProfile);
    expect(choice).toMatchObject({ kind: "reject", reason: "full" });
  });

  // Load pattern: a failure domain is lost or evacuated at high load (users' site tende, scale-1, 2 to 12 s).
  it("sends no cache miss to a busy target other than the primary target", () => {
    const candidates = createCandidates(
      { outstanding: 30 },
      { outstanding: 9 },
      {
        outstanding: 12,
      },
    );
    expect(chooseRank(candidates)).toBeUndefined();
  });

  it("rejects the less urgent requests first", () => {
    const candidates = createCandidates({ outstanding: 20 }, {
      outstanding: 30,
    });
    expect(chooseRank(candidates, { priority: 0 })).toBe(0);
    expect(chooseRank(candidates, { priority: 3 })).toBeUndefined();
  });

  // Guards against requests that queue although no response can arrive before the deadline.
  it("rejects at once when no response can arrive before the deadline", () => {
    const candidates = createCandidates({ outstanding: 9 });
    expect(chooseRank(candidates, { deadlineMs: 100 })).toBeUndefined();
  });
});
