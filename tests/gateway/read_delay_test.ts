import { describe, expect, it } from "vitest";
import * as ReadDelay from "../../src/gateway/read_delay.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

const nextTurn = () => new Promise((resolve) => setImmediate(resolve));

describe("connections that are read late", () => {
  it("are noticed by the time to their first request, for a while", async () => {
    const clock = ManualTime.createTime();
    const told: number[] = [];
    const lateness = ReadDelay.createReadDelay(clock, (ms) => told.push(ms));
    lateness.record(5);
    expect(lateness.isDelayed()).toBe(false);
    lateness.record(300);
    lateness.record(200);
    expect(lateness.isDelayed()).toBe(true);
    expect(told).toEqual([300]);
    await clock.advance(3_000);
    expect(lateness.isDelayed()).toBe(false);
  });

  // Guards against hundreds of sends in one turn, the last of which leave most of a
  // second after the ends of their callers' connections could last be read.
  it("go on a few at a time, with a read before each", async () => {
    const lateness = ReadDelay.createReadDelay(ManualTime.createTime());
    let gone = 0;
    for (let i = 0; i < 100; i++) {
      void lateness.waitUntilRead().then(() => gone++);
    }
    await nextTurn();
    expect(gone).toBe(0);
    let most = 0;
    for (let turn = 0; turn < 10; turn++) {
      const before = gone;
      await nextTurn();
      most = Math.max(most, gone - before);
    }
    expect(most).toBeGreaterThan(0);
    expect(most).toBeLessThan(40);
    expect(gone).toBe(100);
  });
});
