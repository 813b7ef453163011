import { describe, expect, it } from "vitest";
import * as ReadDelay from "../../src/gateway/read_delay.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

const nextIteration = () => new Promise((resolve) => setImmediate(resolve));

describe("a read delay measurement", () => {
  it("reports a delay for a limited time after a first request was read late", async () => {
    const clock = ManualTime.createTime();
    const reportedDelays: number[] = [];
    const readDelay = ReadDelay.createReadDelay(
      clock,
      ({ readMs }) => reportedDelays.push(readMs),
    );
    readDelay.record({ readMs: 5, acceptMs: 0 });
    expect(readDelay.isDelayed()).toBe(false);
    readDelay.record({ readMs: 300, acceptMs: 0 });
    readDelay.record({ readMs: 200, acceptMs: 0 });
    expect(readDelay.isDelayed()).toBe(true);
    expect(reportedDelays).toEqual([300]);
    await clock.advance(3_000);
    expect(readDelay.isDelayed()).toBe(false);
  });

  // Guards against hundreds of sends in one event-loop iteration. The last of them
  // would be sent most of a second after the event loop last read disconnects.
  it("resumes a few waiting requests per event-loop iteration", async () => {
    const readDelay = ReadDelay.createReadDelay(ManualTime.createTime());
    let resumedCount = 0;
    for (let i = 0; i < 100; i++) {
      void readDelay.waitUntilRead().then(() => resumedCount++);
    }
    await nextIteration();
    expect(resumedCount).toBe(0);
    let maxPerIteration = 0;
    for (let i = 0; i < 10; i++) {
      const before = resumedCount;
      await nextIteration();
      maxPerIteration = Math.max(maxPerIteration, resumedCount - before);
    }
    expect(maxPerIteration).toBeGreaterThan(0);
    expect(maxPerIteration).toBeLessThan(40);
    expect(resumedCount).toBe(100);
  });
});
