import { describe, expect, it } from "vitest";
import * as RetryBudget from "../../src/retry/retry_budget.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

describe("second sends under a limit of the whole fleet", () => {
  function create(windowMs: number) {
    const clock = ManualTime.createTime();
    const fleetLimit = { share: 0.2, windowMs, getExtraRetries: () => 5 };
    return {
      clock,
      budget: RetryBudget.createRetryBudget({ clock, fleetLimit }),
    };
  }

  function retryAll(budget: ReturnType<typeof create>["budget"], part = 1) {
    let taken = 0;
    while (taken < 1_000 && budget.tryAcquireRetry("orders", part)) taken++;
    return taken;
  }

  it("keep to the share of own requests and to the own part of the rest", () => {
    const { budget } = create(10_000);
    for (let i = 0; i < 100; i++) budget.recordRequest("orders");
    expect(retryAll(budget)).toBe(25);
  });

  // Guards against a window that is taken as ten seconds whatever the platform states.
  it("are counted over the window that the platform states", async () => {
    const { budget, clock } = create(4_000);
    expect(retryAll(budget)).toBe(5);
    await clock.advance(3_000);
    expect(retryAll(budget)).toBe(0);
    await clock.advance(1_500);
    expect(retryAll(budget)).toBe(5);
  });

  // Load pattern: all targets turn requests away, and reads come most often.
  it("leave a part of the budget to the urgent", () => {
    const { budget } = create(10_000);
    for (let i = 0; i < 100; i++) budget.recordRequest("orders");
    const taken = retryAll(budget, 0.5);
    expect(taken).toBe(12);
    expect(retryAll(budget)).toBe(13);
  });
});
