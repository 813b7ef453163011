import { describe, expect, it } from "vitest";
import * as AccountPool from "../../src/gateway/account_pool.ts";
import * as Quota from "../../src/gateway/quota.ts";
import * as GatewayNet from "../../testing/fakes/gateway_net.ts";
import * as Data from "../../testing/fakes/gateway_data.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

const STEP_MS = 10;
const PULSE_MS = 1_000;
const WINDOW_MS = 5_000;

interface Member {
  readonly id: string;
  readonly domain: string;
  readonly quota: Quota.Quota;
  readonly pool: AccountPool.AccountPool;
}

/** Domains of instances that share an account; keepers tell each other once a second. */
function createFleet(
  domains: number,
  each: number,
  account = Data.createAccount(),
) {
  const clock = ManualTime.createTime();
  const net = GatewayNet.createGatewayNet();
  const cut = new Set<string>();
  const members: Member[] = [];
  const takenAtMs: number[] = [];
  let nowMs = 0;

  function getReachable(id: string, domain: string): readonly Member[] {
    const all = members.filter((one) => one.domain === domain);
    return cut.has(id)
      ? all.filter((one) => one.id === id)
      : all.filter((one) => one.id === id || !cut.has(one.id));
  }

  for (let d = 0; d < domains; d++) {
    for (let i = 0; i < each; i++) {
      const id = `d${d}-${i}`;
      const domain = `d${d}`;
      const quota = Quota.createQuota({
        clock,
        getDomainCount: () => domains,
        getReportMs: () => PULSE_MS,
        slack: 20,
      });
      const pool = AccountPool.createAccountPool({
        quota,
        peers: net.createPeers(id),
        getCandidates: () =>
          getReachable(id, domain).map((one) => ({ id: one.id, capacity: 1 })),
        getMembers: () => Array.from({ length: each }, (_, n) => `d${d}-${n}`),
        clock,
      });
      pool.setConfig(Data.createConfig(1, [account]));
      members.push({ id, domain, quota, pool });
    }
  }

  function exchange(): void {
    for (const one of members) {
      if (cut.has(one.id)) continue;
      const keeper = one.pool.getCoordinator();
      for (const other of members) {
        if (cut.has(other.id)) continue;
        if (other.domain === one.domain) {
          other.pool.recordCoordinatorVote(one.id, keeper);
        } else if (keeper === one.id) {
          other.quota.recordDomainDemands(one.domain, one.quota.getDemands());
        }
      }
    }
  }

  return {
    members,
    net,
    setCut(id: string) {
      cut.add(id);
      net.cut(id);
    },
    /** Sends `perS` requests a second, to a random instance each, or to one. */
    async run(ms: number, perS: number, only?: string): Promise<number> {
      let due = 0;
      let taken = 0;
      let seed = 7;
      for (let at = 0; at < ms; at += STEP_MS) {
        await clock.advance(STEP_MS);
        nowMs += STEP_MS;
        if (nowMs % PULSE_MS === 0) exchange();
        due += perS * STEP_MS / 1_000;
        for (; due >= 1; due--) {
          seed = (seed * 1_103_515_245 + 12_345) % 2 ** 31;
          const member = only === undefined
            ? members[Math.floor(seed / 2 ** 31 * members.length)]!
            : members.find((one) => one.id === only)!;
          if (await member.pool.acquire(account) !== "taken") continue;
          taken++;
          takenAtMs.push(nowMs);
        }
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

describe("an account of a few requests a second in a large fleet", () => {
  const account = Data.createAccount({ ratePerS: 13, burst: 13 });

  // Load pattern: 8 requests a second over 87 instances, none of which sees one in ten seconds.
  it("is served although its callers are spread over all instances", async () => {
    const fleet = createFleet(6, 15, account);
    await fleet.run(4_000, 8);
    expect(await fleet.run(10_000, 8)).toBeGreaterThan(0.95 * 80);
  });

  // Guards against a burst that each instance grants on its own.
  it.each([[6, 13], [9, 13], [9, 3]])(
    "is held to its limit over %i domains at many times %i a second",
    async (domains, ratePerS) => {
      const small = Data.createAccount({ ratePerS, burst: ratePerS });
      const fleet = createFleet(domains, 8, small);
      await fleet.run(15_000, 130);
      const limit = getLimit(ratePerS, ratePerS);
      expect(fleet.getWorstWindow()).toBeLessThanOrEqual(limit);
    },
  );

  // Load pattern: all instances restart together while callers go on. Guards against
  // shares that shrink to nothing before the domains have heard of each other.
  it("is served in the first seconds after a restart of all instances", async () => {
    const large = Data.createAccount({ ratePerS: 60, burst: 60 });
    const fleet = createFleet(9, 8, large);
    expect(await fleet.run(3_000, 36)).toBeGreaterThan(0.8 * 108);
  });

  it("gets most of its limit when it asks for more", async () => {
    const fleet = createFleet(6, 15, account);
    await fleet.run(5_000, 40);
    expect(await fleet.run(10_000, 40)).toBeGreaterThan(0.7 * 130);
  });
});

describe("a domain whose keeper can't be reached", () => {
  const account = Data.createAccount({ ratePerS: 60, burst: 60 });

  // Guards against an account that is refused because one instance has failed.
  it("goes on with the next keeper", async () => {
    const fleet = createFleet(2, 4, account);
    await fleet.run(4_000, 30);
    const keeper = fleet.members[0]!.pool.getCoordinator();
    fleet.setCut(keeper);
    await fleet.run(3_000, 30);
    const other = fleet.members.find((one) =>
      one.domain === fleet.members[0]!.domain && one.id !== keeper
    )!;
    expect(other.pool.getCoordinator()).not.toBe(keeper);
    expect(await fleet.run(5_000, 15, other.id)).toBeGreaterThan(0.7 * 75);
  });

  // Guards against both sides of a split domain that spend the same share.
  it("spends its share once when it is split", async () => {
    const fleet = createFleet(2, 4, account);
    await fleet.run(4_000, 120);
    fleet.setCut(fleet.members[0]!.pool.getCoordinator());
    await fleet.run(12_000, 400);
    expect(fleet.getWorstWindow()).toBeLessThanOrEqual(getLimit(60, 60));
  });
});
