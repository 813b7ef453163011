import { describe, expect, it } from "vitest";
import * as Choice from "../../src/gateway/choice.ts";
import * as Timings from "../../src/gateway/timings.ts";
import * as Data from "../../testing/fakes/gateway_data.ts";

const demand: Choice.RequestProfile = {
  remainingTargetLatencyMs: 400,
  deadlineMs: 2_000,
  targetLatencyMs: 400,
  priority: 0,
  cacheHitMs: 144,
  cacheMissMs: 480,
  missCostMs: 336,
};

/** Places of targets with nine slots; the first one is warm unless said otherwise. */
function createPlaces(
  ...overs: readonly Partial<Choice.Candidate>[]
): readonly Choice.Candidate[] {
  const targets = Data.createTargets("t", overs.length, "north");
  return overs.map((over, rank) => ({
    target: targets[rank]!,
    rank,
    isPaused: false,
    isCold: false,
    isColdLimitReached: false,
    isExcluded: false,
    outstanding: 0,
    shedShare: 0,
    roundTripMs: 1,
    cacheHitChance: rank === 0 ? 1 : 0,
    warmupRemainingMs: undefined,
    ...over,
  }));
}

function chooseRank(
  places: readonly Choice.Candidate[],
  over: Partial<Choice.RequestProfile> = {},
): number | undefined {
  const choice = Choice.chooseCandidate(places, { ...demand, ...over });
  return choice.kind === "send" ? choice.candidate.rank : undefined;
}

describe("the choice among an object's places", () => {
  it("stays at the own place while its queue is short", () => {
    expect(chooseRank(createPlaces({ outstanding: 12 }, {}))).toBe(0);
  });

  // Guards against a queue at one target while a warm copy idles elsewhere.
  it("shares between warm places by their queues", () => {
    const places = createPlaces({ outstanding: 14 }, { cacheHitChance: 1 });
    expect(chooseRank(places)).toBe(1);
  });

  // Load pattern: all targets are busy; a first run would take work from others.
  it("does not start a second copy at a busy target for a short queue", () => {
    expect(chooseRank(createPlaces({ outstanding: 22 }, { outstanding: 9 })))
      .toBe(0);
  });

  // Load pattern: a target is asked for more objects than it remembers.
  it("refuses for long at once what none of its places is kept to", () => {
    const choice = Choice.chooseCandidate(
      createPlaces({ isExcluded: true }, { isExcluded: true }),
      demand,
    );
    expect(choice).toEqual({
      kind: "refuse",
      reason: "full",
      retryAfterMs: 800,
    });
    expect(chooseRank(createPlaces({ isExcluded: true }, {}))).toBe(1);
  });

  // Guards against a region's objects that all go to its own targets until the
  // first answer, and to other regions after it: 30% moved within 2 s.
  it("keeps the own place in another region before anything was measured", () => {
    const timings = Timings.createTimings();
    const guessMs = 500;
    const unmeasured = {
      cacheHitMs: timings.getServiceMs("r", true, guessMs),
      cacheMissMs: timings.getServiceMs("r", false, guessMs),
      missCostMs: timings.getMissCostMs("r", guessMs),
    };
    const places = createPlaces(
      { roundTripMs: 70, cacheHitChance: 0.4 },
      { cacheHitChance: 0.2 },
      { cacheHitChance: 0.1 },
    );
    expect(chooseRank(places, unmeasured)).toBe(0);
  });

  it("leaves a paused, full or used-up cold place", () => {
    expect(chooseRank(createPlaces({ isPaused: true }, {}))).toBe(1);
    expect(chooseRank(createPlaces({ outstanding: 36 }, {}))).toBe(1);
    expect(chooseRank(createPlaces({ isColdLimitReached: true }, {}))).toBe(1);
  });

  // Load pattern: replaced targets, on which a first run takes longer than its route allows.
  it("prefers another first run to one at a target that has just started", () => {
    const places = createPlaces({ isCold: true, cacheHitChance: 0 }, {});
    expect(chooseRank(places)).toBe(1);
  });

  // Load pattern: a target that sheds half of its requests with free slots.
  it("avoids a target that turns requests away while another is open", () => {
    expect(chooseRank(createPlaces({ shedShare: 0.5 }, {}))).toBe(1);
  });

  it("says when nothing can be reached", () => {
    const places = createPlaces({ isPaused: true }, { isPaused: true });
    const refusal = { kind: "refuse", reason: "no-target" };
    expect(Choice.chooseCandidate(places, demand)).toMatchObject(refusal);
    expect(Choice.chooseCandidate([], demand)).toMatchObject(refusal);
  });
});

describe("the choice while an object is served for the first time", () => {
  // Load pattern: traffic starts, and many ask for the same objects at once.
  it("waits for the first run rather than running beside it", () => {
    const places = createPlaces(
      { cacheHitChance: 0, outstanding: 5, warmupRemainingMs: 200 },
      { outstanding: 8 },
    );
    const choice = Choice.chooseCandidate(places, demand);
    expect(choice).toMatchObject({ kind: "wait", maxMs: 200 });
  });

  it("runs beside it when the wait would pass the deadline", () => {
    const places = createPlaces(
      { cacheHitChance: 0, warmupRemainingMs: 450 },
      {},
    );
    const choice = Choice.chooseCandidate(places, {
      ...demand,
      deadlineMs: 550,
    });
    expect(choice).toMatchObject({ kind: "send", candidate: { rank: 1 } });
  });
});

describe("the choice at more load than can be served", () => {
  // Guards against queues in which everybody becomes late.
  it("refuses what would wait too long to be in time", () => {
    const places = createPlaces({ outstanding: 30 }, {
      outstanding: 30,
      cacheHitChance: 1,
    });
    const choice = Choice.chooseCandidate(places, demand);
    expect(choice).toMatchObject({ kind: "refuse", reason: "full" });
  });

  // Load pattern: a zone is lost or evacuated at high load (tende scale-1, 2 to 12 s).
  it("starts no first run at a busy target beside the own place", () => {
    const places = createPlaces({ outstanding: 30 }, { outstanding: 9 }, {
      outstanding: 12,
    });
    expect(chooseRank(places)).toBeUndefined();
  });

  it("refuses the less urgent first", () => {
    const places = createPlaces({ outstanding: 20 }, { outstanding: 30 });
    expect(chooseRank(places, { priority: 0 })).toBe(0);
    expect(chooseRank(places, { priority: 3 })).toBeUndefined();
  });

  // Guards against requests that are held where nobody can serve them.
  it("refuses at once what can't be answered before the deadline", () => {
    const places = createPlaces({ outstanding: 9 });
    expect(chooseRank(places, { deadlineMs: 100 })).toBeUndefined();
  });
});
