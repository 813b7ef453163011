import { describe, expect, it } from "vitest";
import * as AccountPool from "../../src/gateway/account_pool.ts";
import * as Quota from "../../src/gateway/quota.ts";
import * as GatewayNet from "../../testing/fakes/gateway_net.ts";
import * as Data from "../../testing/fakes/gateway_data.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

const STEP_MS = 10;
const REPORT_INTERVAL_MS = 1_000;
const WINDOW_MS = 5_000;

interface Member {
  readonly id: string;
  readonly domain: string;
  readonly quota: Quota.Quota;
  readonly pool: AccountPool.AccountPool;
}

/** Domains of instances that share an account; coordinators report to each other once per second. */
function createFleet(
  domainCount: number,
  instancesPerDomain: number,
  account = Data.createAccount(),
) {
  const clock = ManualTime.createTime();
  const net = GatewayNet.createGatewayNet();
  const cutInstances = new Set<string>();
  const members: Member[] = [];
  let randomState = 11;
  const random = () => {
    randomState = (randomState * 1_103_515_245 + 12_345) % 2 ** 31;
    return randomState / 2 ** 31;
  };
  const admittedAtMs: number[] = [];
  let nowMs = 0;

  function getReachable(id: string, domain: string): readonly Member[] {
    const domainMembers = members.filter((member) => member.domain === domain);
    return cutInstances.has(id)
      ? domainMembers.filter((member) => member.id === id)
      : domainMembers.filter((member) =>
        member.id === id || !cutInstances.has(member.id)
      );
  }

  for (let d = 0; d < domainCount; d++) {
    for (let i = 0; i < instancesPerDomain; i++) {
      const id = `d${d}-${i}`;
      const domain = `d${d}`;
      const quota = Quota.createQuota({
        clock,
        getDomainCount: () => domainCount,
        getReportMs: () => REPORT_INTERVAL_MS,
        slack: 20,
      });
      const pool = AccountPool.createAccountPool({
        quota,
        peers: net.createPeers(id),
        getCandidates: () =>
          getReachable(id, domain).map((member) => ({
            id: member.id,
            capacity: 1,
          })),
        getMembers: () =>
          Array.from(
            { length: instancesPerDomain },
            (_, index) => `d${d}-${index}`,
          ),
        getFleetCount: () => domainCount * instancesPerDomain,
        slack: 20,
        random,
        clock,
      });
      pool.setConfig(Data.createConfig(1, [account]));
      members.push({ id, domain, quota, pool });
    }
  }

  function exchangeReports(): void {
    for (const sender of members) {
      if (cutInstances.has(sender.id)) continue;
      const coordinator = sender.pool.getCoordinator();
      for (const receiver of members) {
        if (cutInstances.has(receiver.id)) continue;
        if (receiver.domain === sender.domain) {
          receiver.pool.recordCoordinatorVote(sender.id, coordinator);
        } else if (coordinator === sender.id) {
          receiver.quota.recordDomainDemands(
            sender.domain,
            sender.quota.getDemands(),
          );
        }
      }
    }
  }

  return {
    members,
    net,
    /** Makes the instance silent, while the others still expect it to respond. */
    silence: net.cut,
    setCut(id: string) {
      cutInstances.add(id);
      net.cut(id);
    },
    /**
     * Sends `ratePerS` requests per second, each to a random instance or all to
     * `instanceId`; returns the number of admitted requests.
     */
    async run(
      ms: number,
      ratePerS: number,
      instanceId?: string,
    ): Promise<number> {
      let dueCount = 0;
      let admittedCount = 0;
      let seed = 7;
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
        await clock.advance(STEP_MS);
        nowMs += STEP_MS;
        if (nowMs % REPORT_INTERVAL_MS === 0) exchangeReports();
        dueCount += ratePerS * STEP_MS / 1_000;
        for (; dueCount >= 1; dueCount--) {
          seed = (seed * 1_103_515_245 + 12_345) % 2 ** 31;
          const member = instanceId === undefined
            ? members[Math.floor(seed / 2 ** 31 * members.length)]!
            : members.find((candidate) => candidate.id === instanceId)!;
          if (await member.pool.acquire(account) !== "acquired") continue;
          admittedCount++;
          admittedAtMs.push(nowMs);
        }
      }
      return admittedCount;
    },
    /** Highest number of requests admitted within any window of 5 s. */
    getWorstWindow(): number {
      let worst = 0;
      let first = 0;
      admittedAtMs.forEach((atMs, index) => {
        while (admittedAtMs[first]! <= atMs - WINDOW_MS) first++;
        worst = Math.max(worst, index - first + 1);
      });
      return worst;
    },
  };
}

/** Most requests that the users' rules allow in a window of 5 s. */
function getLimit(ratePerS: number, burst: number): number {
  return (ratePerS * 5 + burst) * 1.1 + 20;
}

describe("account pool of an account with few requests per second in a large fleet", () => {
  const account = Data.createAccount({ ratePerS: 13, burst: 13 });

  // Load pattern: 8 requests per second over 87 instances, so that each instance
  // receives less than one request in ten seconds.
  it("admits requests that are spread over all instances", async () => {
    const fleet = createFleet(6, 15, account);
    await fleet.run(4_000, 8);
    expect(await fleet.run(10_000, 8)).toBeGreaterThan(0.95 * 80);
  });

  // Guards against each instance granting a whole burst.
  it.each([[6, 13], [9, 13], [9, 3]])(
    "keeps the limit over %i domains at many times %i requests per second",
    async (domainCount, ratePerS) => {
      const smallAccount = Data.createAccount({ ratePerS, burst: ratePerS });
      const fleet = createFleet(domainCount, 8, smallAccount);
      await fleet.run(15_000, 130);
      const limit = getLimit(ratePerS, ratePerS);
      expect(fleet.getWorstWindow()).toBeLessThanOrEqual(limit);
    },
  );

  // Load pattern: all instances restart together while callers continue to send.
  // Guards against shares that shrink to zero before the domains have reported.
  it("admits requests in the first seconds after a restart of all instances", async () => {
    const largeAccount = Data.createAccount({ ratePerS: 60, burst: 60 });
    const fleet = createFleet(9, 8, largeAccount);
    expect(await fleet.run(3_000, 36)).toBeGreaterThan(0.8 * 108);
  });

  // Guards against tokens that stay unused while other instances reject requests.
  it("admits most of the limit when the account exceeds it", async () => {
    const fleet = createFleet(6, 15, account);
    await fleet.run(5_000, 40);
    expect(await fleet.run(10_000, 40)).toBeGreaterThan(0.7 * 130);
  });
});

describe("account pool of a domain whose coordinator is unreachable", () => {
  const account = Data.createAccount({ ratePerS: 60, burst: 60 });

  // Guards against an account whose requests are rejected because one instance failed.
  it("selects another coordinator", async () => {
    const fleet = createFleet(2, 4, account);
    await fleet.run(4_000, 30);
    const coordinator = fleet.members[0]!.pool.getCoordinator();
    fleet.setCut(coordinator);
    await fleet.run(3_000, 30);
    const survivor = fleet.members.find((member) =>
      member.domain === fleet.members[0]!.domain && member.id !== coordinator
    )!;
    expect(survivor.pool.getCoordinator()).not.toBe(coordinator);
    expect(await fleet.run(5_000, 15, survivor.id)).toBeGreaterThan(0.7 * 75);
  });

  // Load pattern: all machines of a large fleet are killed at once, and an account sends
  // eight times its rate. Guards against a reserve of one request at each instance.
  it.each([[9, 22], [6, 12]])(
    "keeps the limit while the coordinators of all %i domains of %i instances are silent",
    async (domainCount, instancesPerDomain) => {
      const smallAccount = Data.createAccount({ ratePerS: 10, burst: 10 });
      const fleet = createFleet(domainCount, instancesPerDomain, smallAccount);
      await fleet.run(4_000, 80);
      const coordinators = fleet.members.map(({ pool }) =>
        pool.getCoordinator()
      );
      for (const id of new Set(coordinators)) fleet.silence(id);
      await fleet.run(6_000, 80);
      expect(fleet.getWorstWindow()).toBeLessThanOrEqual(getLimit(10, 10));
    },
  );

  // Guards against both sides of a partitioned domain spending the same share.
  it("spends the domain's share only once when the domain is partitioned", async () => {
    const fleet = createFleet(2, 4, account);
    await fleet.run(4_000, 120);
    fleet.setCut(fleet.members[0]!.pool.getCoordinator());
    await fleet.run(12_000, 400);
    expect(fleet.getWorstWindow()).toBeLessThanOrEqual(getLimit(60, 60));
  });
});

describe("the usage of accounts", () => {
  function createPool(response: unknown) {
    const clock = ManualTime.createTime();
    const net = GatewayNet.createGatewayNet();
    net.createPeers("a").handle("gateway.take", () => response);
    const quota = Quota.createQuota({
      clock,
      getDomainCount: () => 1,
      getReportMs: () => REPORT_INTERVAL_MS,
      slack: 20,
    });
    const pool = AccountPool.createAccountPool({
      quota,
      peers: net.createPeers("b"),
      getCandidates: () => [{ id: "a", capacity: 2 }, { id: "b", capacity: 1 }],
      getMembers: () => ["a", "b"],
      getFleetCount: () => 2,
      slack: 20,
      clock,
    });
    return { clock, pool };
  }

  // Guards against shares from the figures of a coordinator that no longer reports them.
  it("comes from the coordinator's grants and is unknown 3 s later", async () => {
    const account = Data.createAccount();
    const { clock, pool } = createPool([1, 0, 4.5]);
    expect(pool.tryGetUsage(account)).toBeUndefined();
    expect(await pool.acquire(account)).toBe("acquired");
    expect(pool.tryGetUsage(account)).toBe(4.5);
    await clock.advance(3_100);
    expect(pool.tryGetUsage(account)).toBeUndefined();
  });

  // Guards against lost tokens when an older build, or a faulty one, grants them.
  it.each([[[1, 0]], [[1, 0, null]], [[1, 0, -2]], [[1, 0, "x"]]])(
    "is unknown after the grant %j, which counts",
    async (response) => {
      const account = Data.createAccount();
      const { pool } = createPool(response);
      expect(await pool.acquire(account)).toBe("acquired");
      expect(pool.tryGetUsage(account)).toBeUndefined();
    },
  );
});
