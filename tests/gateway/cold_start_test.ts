import { describe, expect, it } from "vitest";
import * as ColdStart from "../../src/gateway/cold_start.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

/**
 * Positions of all instances in a fleet of `domainCount` failure domains with
 * `perDomain` instances each.
 */
function createPositions(
  domainCount: number,
  perDomain: number,
): readonly ColdStart.FleetPosition[] {
  const domains = Array.from(
    { length: domainCount },
    (_, index) => `d${index}`,
  );
  return domains.flatMap((domain) => {
    const members = Array.from(
      { length: perDomain },
      (_, i) => `${domain}-${i}`,
    );
    return members.map((self) => ({ domain, domains, self, members }));
  });
}

describe("the send rate to a cold target", () => {
  // Guards against a fleet whose instances together send more than the target tolerates.
  it.each([[1, 1], [6, 1], [6, 2], [6, 15], [9, 8], [17, 36]])(
    "is allocated completely to %i domains of %i instances",
    (domainCount, perDomain) => {
      const rates = createPositions(domainCount, perDomain).map((position) =>
        ColdStart.getInstanceRate("target", 18.5, position)
      );
      expect(rates.reduce((a, b) => a + b, 0)).toBe(18);
    },
  );

  // Guards against a rate of a few requests a second that rounds down to 0 for every instance.
  it("lets some instances of a large fleet send", () => {
    const rates = createPositions(6, 15).map((position) =>
      ColdStart.getInstanceRate("target", 3.9, position)
    );
    expect(rates.reduce((a, b) => a + b, 0)).toBe(3);
  });

  it("is bounded in every second", async () => {
    const clock = ManualTime.createTime();
    const [position] = createPositions(3, 1);
    const coldStarts = ColdStart.createColdStarts({
      clock,
      getFleetPosition: () => position!,
    });
    const sentAtMs: number[] = [];
    for (let i = 0; i < 300; i++) {
      await clock.advance(10);
      if (!coldStarts.canSend("target", 15)) continue;
      coldStarts.recordSend("target");
      sentAtMs.push(clock.nowMs());
    }
    sentAtMs.forEach((at) => {
      const inSecond = sentAtMs.filter((sentAt) =>
        sentAt > at - 1_000 && sentAt <= at
      );
      expect(inSecond.length).toBeLessThanOrEqual(5);
    });
    expect(sentAtMs.length).toBeGreaterThan(10);
  });
});
