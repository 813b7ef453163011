import { describe, expect, it } from "vitest";
import * as Quota from "../../src/gateway/quota.ts";
import * as Data from "../../testing/fakes/gateway_data.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

const STEP_MS = 10;
const PULSE_MS = 250;
const WINDOW_MS = 5_000;

/** Domains that tell each other their counts every 250 ms. */
function createFleet(count: number, account = Data.createAccount()) {
  const clock = ManualTime.createTime();
  const isCut = new Set<number>();
  const quotas = Array.from(
    { length: count },
    () =>
      Quota.createQuota({
        clock,
        getDomainCount: () => count,
        getReportMs: () => PULSE_MS,
        slack: 20,
      }),
  );
  quotas.forEach((quota) => quota.setConfig(Data.createConfig(1, [account])));
  const takenAtMs: number[] = [];
  let nowMs = 0;

  function exchange(): void {
    quotas.forEach((from, i) => {
      const demands = from.getDemands();
      quotas.forEach((to, j) => {
        if (i !== j && !isCut.has(i) && !isCut.has(j)) {
          to.recordDomainDemands(String(i), demands);
        }
      });
    });
  }

  return {
    quotas,
    isCut,
    account,
    /** Sends `rates[i]` requests a second to domain i. */
    async run(ms: number, rates: readonly number[]): Promise<number> {
      const due = rates.map(() => 0);
      let taken = 0;
      for (let at = 0; at < ms; at += STEP_MS) {
        await clock.advance(STEP_MS);
        nowMs += STEP_MS;
        if (nowMs % PULSE_MS === 0) exchange();
        rates.forEach((rate, i) => {
          due[i]! += rate * STEP_MS / 1_000;
          for (; due[i]! >= 1; due[i]!--) {
            if (quotas[i]!.acquire(account, 1) !== "taken") continue;
            taken++;
            takenAtMs.push(nowMs);
          }
        });
      }
      return taken;
    },
    /** Most requests that started within any window. */
    getWorstWindow(): number {
      let worst = 0;
      let from = 0;
      takenAtMs.forEach((at, index) => {
        while (takenAtMs[from]! <= at - WINDOW_MS) from++;
        worst = Math.max(worst, index - from + 1);
      });
      return worst;
    },
  };
}

/** What the users' rules allow in a window of 5 s. */
function getLimit(ratePerS: number, burst: number): number {
  return (ratePerS * 5 + burst) * 1.1 + 20;
}

describe("an account's limit over all domains", () => {
  // Load pattern: one account at several times its rate, everywhere.
  it("holds at many times the rate", async () => {
    const fleet = createFleet(8);
    await fleet.run(12_000, Array(8).fill(90));
    expect(fleet.getWorstWindow()).toBeLessThanOrEqual(getLimit(100, 100));
  });

  // Load pattern: the account's callers move from one domain to another.
  it("holds while its callers move", async () => {
    const fleet = createFleet(4);
    await fleet.run(6_000, [400, 0, 0, 0]);
    await fleet.run(6_000, [0, 400, 0, 0]);
    await fleet.run(6_000, [0, 0, 200, 200]);
    expect(fleet.getWorstWindow()).toBeLessThanOrEqual(getLimit(100, 100));
  });

  it("follows the callers to the domain that they use", async () => {
    const fleet = createFleet(4);
    await fleet.run(4_000, [80, 0, 0, 0]);
    const taken = await fleet.run(5_000, [80, 0, 0, 0]);
    expect(taken).toBeGreaterThan(0.9 * 80 * 5);
  });

  it("refuses nothing at a bit over half the rate, spread evenly", async () => {
    const fleet = createFleet(8);
    await fleet.run(3_000, Array(8).fill(7.5));
    const taken = await fleet.run(5_000, Array(8).fill(7.5));
    expect(taken).toBeGreaterThan(0.97 * 60 * 5);
  });

  // Guards against both sides of a partition that spend the same share.
  it("holds when a domain is cut off from the others", async () => {
    const fleet = createFleet(4);
    await fleet.run(5_000, [200, 200, 200, 200]);
    fleet.isCut.add(0);
    await fleet.run(10_000, [800, 200, 200, 200]);
    expect(fleet.getWorstWindow()).toBeLessThanOrEqual(getLimit(100, 100));
  });

  it("says when to come back", () => {
    const { account, quotas } = createFleet(1);
    const answers = Array.from(
      { length: 200 },
      () => quotas[0]!.acquire(account, 1),
    );
    const refused = answers.find((one) => one !== "taken");
    expect(refused).toMatchObject({ retryAfterMs: expect.any(Number) });
  });

  // Guards against an old, higher limit that outlives its configuration.
  it("takes a lower limit at once", async () => {
    const fleet = createFleet(2);
    await fleet.run(3_000, [50, 50]);
    const account = Data.createAccount({ ratePerS: 10, burst: 10 });
    fleet.quotas.forEach((quota) =>
      quota.setConfig(Data.createConfig(2, [account]))
    );
    const taken = await fleet.run(5_000, [50, 50]);
    expect(taken).toBeLessThanOrEqual(getLimit(10, 10));
  });
});
