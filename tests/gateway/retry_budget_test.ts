import { describe, expect, it } from "vitest";
import * as RetryBudget from "../../src/retry/retry_budget.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

describe("a retry budget under a fleet-wide limit", () => {
  function createBudget(windowMs: number) {
    const clock = ManualTime.createTime();
    const fleetLimit = { share: 0.2, windowMs, getExtraRetries: () => 5 };
    return {
      clock,
      budget: RetryBudget.createRetryBudget({ clock, fleetLimit }),
    };
  }

  function retryAll(
    budget: ReturnType<typeof createBudget>["budget"],
    share = 1,
  ) {
    let count = 0;
    while (count < 1_000 && budget.tryAcquireRetry("orders", share)) count++;
    return count;
  }

  it("admits a share of the local requests plus this instance's fraction of the fleet's extra retries", () => {
    const { budget } = createBudget(10_000);
    for (let i = 0; i < 100; i++) budget.recordRequest("orders");
    expect(retryAll(budget)).toBe(25);
  });

  // Guards against a fixed window of ten seconds that ignores the setting of the platform.
  it("counts second sends over the window that the platform states", async () => {
    const { budget, clock } = createBudget(4_000);
    expect(retryAll(budget)).toBe(5);
    await clock.advance(3_000);
    expect(retryAll(budget)).toBe(0);
    await clock.advance(1_500);
    expect(retryAll(budget)).toBe(5);
  });

  // Load pattern: all targets shed requests, and most requests are reads.
  // Guards against less urgent requests that use up the whole budget.
  it("reserves a share of the budget for urgent requests", () => {
    const { budget } = createBudget(10_000);
    for (let i = 0; i < 100; i++) budget.recordRequest("orders");
    const count = retryAll(budget, 0.5);
    expect(count).toBe(12);
    expect(retryAll(budget)).toBe(13);
  });
});
