import { describe, expect, it } from "vitest";
import * as Choice from "../../src/gateway/choice.ts";
import * as Data from "../../testing/fakes/gateway_data.ts";

const WARM_MS = 144;
const FIRST_RUN_MS = 480;
const left: Choice.TimeLeft = { inTimeMs: 400, deadlineMs: 2_000 };

function createPlaces(
  ...overs: readonly Partial<Choice.Place>[]
): readonly Choice.Place[] {
  const targets = Data.createTargets("t", overs.length, "north");
  return overs.map((over, rank) => ({
    target: targets[rank]!,
    rank,
    isPaused: false,
    isColdFull: false,
    busy: 0,
    shedShare: 0,
    roundTripMs: 1,
    serviceMs: rank === 0 ? WARM_MS : FIRST_RUN_MS,
    ...over,
  }));
}

function chooseRank(
  places: readonly Choice.Place[],
  time = left,
): number | undefined {
  const choice = Choice.choose(places, time);
  return choice.kind === "send" ? choice.place.rank : undefined;
}

describe("the choice among an object's places", () => {
  it("stays at the own place while its queue is short", () => {
    expect(chooseRank(createPlaces({ busy: 12 }, {}))).toBe(0);
  });

  // Guards against a queue at one target while a warm copy idles elsewhere.
  it("shares between warm places by their queues", () => {
    const places = createPlaces({ busy: 14 }, { serviceMs: WARM_MS });
    expect(chooseRank(places)).toBe(1);
  });

  it("leaves a paused, full or used-up cold place", () => {
    expect(chooseRank(createPlaces({ isPaused: true }, {}))).toBe(1);
    expect(chooseRank(createPlaces({ busy: 36 }, {}))).toBe(1);
    expect(chooseRank(createPlaces({ isColdFull: true }, {}))).toBe(1);
  });

  // Guards against requests that are held where nobody can serve them.
  it("refuses at once what no place can answer before the deadline", () => {
    const places = createPlaces({ busy: 30 }, { busy: 30 });
    const choice = Choice.choose(places, { inTimeMs: 0, deadlineMs: 200 });
    expect(choice).toMatchObject({ kind: "refuse", reason: "full" });
  });

  it("says when nothing can be reached", () => {
    const places = createPlaces({ isPaused: true }, { isPaused: true });
    expect(Choice.choose(places, left))
      .toMatchObject({ kind: "refuse", reason: "no-target" });
    expect(Choice.choose([], left))
      .toMatchObject({ kind: "refuse", reason: "no-target" });
  });

  // Load pattern: a target that sheds half of its requests with free slots.
  it("avoids a target that turns requests away while another is in time", () => {
    const places = createPlaces({ shedShare: 0.5 }, { serviceMs: 300 });
    expect(chooseRank(places)).toBe(1);
  });
});
