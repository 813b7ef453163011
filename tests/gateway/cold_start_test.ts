import { describe, expect, it } from "vitest";
import * as ColdStart from "../../src/gateway/cold_start.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

const names = (count: number) =>
  Array.from({ length: count }, (_, index) => `instance-${index}`);

describe("requests to a cold target", () => {
  // Guards against a fleet that together sends more than the target bears.
  it.each([1, 3, 8, 11, 87])("divide its rate over %i instances", (count) => {
    const instances = names(count);
    const parts = instances.map((self) =>
      ColdStart.getPart("target", 18.5, self, instances)
    );
    expect(parts.reduce((a, b) => a + b, 0)).toBe(18);
  });

  it("are bounded in every second", async () => {
    const clock = ManualTime.createTime();
    const self = "instance-0";
    const starts = ColdStart.createColdStarts({
      clock,
      self,
      getInstances: () => names(3),
    });
    const sent: number[] = [];
    for (let i = 0; i < 300; i++) {
      await clock.advance(10);
      if (!starts.mayStart("target", 15)) continue;
      starts.noteStart("target");
      sent.push(clock.nowMs());
    }
    sent.forEach((at) => {
      const inSecond = sent.filter((one) => one > at - 1_000 && one <= at);
      expect(inSecond.length).toBeLessThanOrEqual(5);
    });
    expect(sent.length).toBeGreaterThan(10);
  });
});
