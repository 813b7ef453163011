import { describe, expect, it } from "vitest";
import * as ReadBarrier from "../../src/gateway/read_barrier.ts";
import * as ReadDelay from "../../src/gateway/read_delay.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

const nextIteration = () => new Promise((resolve) => setImmediate(resolve));

describe("a read delay measurement", () => {
  it("reports each delayed period once", async () => {
    const clock = ManualTime.createTime();
    const reportedDelays: number[] = [];
    const readDelay = ReadDelay.createReadDelay(
      clock,
      ({ readMs }) => reportedDelays.push(readMs),
    );
    readDelay.record({ readMs: 5, acceptMs: 0 });
    expect(reportedDelays).toEqual([]);
    readDelay.record({ readMs: 300, acceptMs: 0 });
    readDelay.record({ readMs: 200, acceptMs: 0 });
    expect(reportedDelays).toEqual([300]);
    await clock.advance(3_000);
    readDelay.record({ readMs: 100, acceptMs: 0 });
    expect(reportedDelays).toEqual([300, 100]);
  });
});

describe("a read barrier", () => {
  // Guards against hundreds of sends in one event-loop iteration. The last of them
  // would be sent most of a second after the event loop last read disconnects.
  it("resumes a few waiting requests per event-loop iteration", async () => {
    let nowMs = 0;
    const barrier = ReadBarrier.createReadBarrier({
      nowMs: () => nowMs,
      wallMs: () => nowMs,
    });
    let resumedCount = 0;
    for (let i = 0; i < 100; i++) {
      void barrier.wait().then(() => {
        resumedCount++;
        // Processor time of a request.
        nowMs += 1;
      });
    }
    await nextIteration();
    expect(resumedCount).toBe(0);
    let maxPerIteration = 0;
    for (let i = 0; i < 30; i++) {
      const before = resumedCount;
      await nextIteration();
      maxPerIteration = Math.max(maxPerIteration, resumedCount - before);
    }
    expect(maxPerIteration).toBeGreaterThan(0);
    expect(maxPerIteration).toBeLessThan(40);
    expect(resumedCount).toBe(100);
  });
});
