import { describe, expect, it } from "vitest";
import * as ColdStart from "../../src/gateway/cold_start.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

/** An instance's place in a fleet of `domains` domains with `each` instances. */
function createStandings(
  domains: number,
  each: number,
): readonly ColdStart.FleetPosition[] {
  const names = Array.from({ length: domains }, (_, index) => `d${index}`);
  return names.flatMap((domain) => {
    const members = Array.from({ length: each }, (_, i) => `${domain}-${i}`);
    return members.map((self) => ({ domain, domains: names, self, members }));
  });
}

describe("requests to a cold target", () => {
  // Guards against a fleet that together sends more than the target bears.
  it.each([[1, 1], [6, 1], [6, 2], [6, 15], [9, 8], [17, 36]])(
    "divide its rate over %i domains of %i instances",
    (domains, each) => {
      const parts = createStandings(domains, each).map((standing) =>
        ColdStart.getInstanceRate("target", 18.5, standing)
      );
      expect(parts.reduce((a, b) => a + b, 0)).toBe(18);
    },
  );

  // Guards against a rate of a few requests a second that rounds to none.
  it("let some instances of a large fleet send", () => {
    const parts = createStandings(6, 15).map((standing) =>
      ColdStart.getInstanceRate("target", 3.9, standing)
    );
    expect(parts.reduce((a, b) => a + b, 0)).toBe(3);
  });

  it("are bounded in every second", async () => {
    const clock = ManualTime.createTime();
    const [standing] = createStandings(3, 1);
    const starts = ColdStart.createColdStarts({
      clock,
      getFleetPosition: () => standing!,
    });
    const sent: number[] = [];
    for (let i = 0; i < 300; i++) {
      await clock.advance(10);
      if (!starts.canSend("target", 15)) continue;
      starts.recordSend("target");
      sent.push(clock.nowMs());
    }
    sent.forEach((at) => {
      const inSecond = sent.filter((one) => one > at - 1_000 && one <= at);
      expect(inSecond.length).toBeLessThanOrEqual(5);
    });
    expect(sent.length).toBeGreaterThan(10);
  });
});
