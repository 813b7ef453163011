import { describe, expect, it } from "vitest";
import * as SendBudget from "../../src/peer/send_budget.ts";
import * as LoadExchange from "../../src/gateway/load_exchange.ts";
import * as StatusGossip from "../../src/gateway/status_gossip.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

const SECONDS = 30;
const DOMAINS = ["north-1", "north-2", "south-1", "south-2", "west-1"];
const ACCOUNTS = 85;

const range = (count: number, prefix: string) =>
  Array.from({ length: count }, (_, i) => `${prefix}-${i}`);

/** Sends the status messages of the busiest instance, a hub that is the coordinator of its domain. */
async function run(instanceCount: number, targetsNamingRates: number) {
  const clock = ManualTime.createTime();
  const budget = SendBudget.createSendBudget({ clock });
  const allowances = new Map<string, SendBudget.Allowance>();
  const bytesByPeer = new Map<string, number>();
  const lastSentAtMs = new Map<string, number>();
  let dropped = 0;
  let longestGapMs = 0;
  const tasks = new Map<string, () => void>();
  const local = range(Math.ceil(instanceCount / 6) - 1, "east-1");
  const isLarge = instanceCount > 24;
  const remote = new Map(
    DOMAINS.map((domain) =>
      [domain, range(isLarge ? 2 : local.length + 1, domain)] as const
    ),
  );
  const live = Object.fromEntries(
    local.map((id, i) => [id, `127.100.200.${100 + i}:18443`]),
  );
  const loadBytes = Math.floor(
    LoadExchange.BUDGET_BYTES_PER_S * LoadExchange.INTERVAL_MS / 1_000 /
      Math.max(1, local.length),
  );
  const demands = Object.fromEntries(
    range(ACCOUNTS, "account").map((name, i) => [name, 1.2345678 + i]),
  );

  function notify(
    ids: readonly string[],
    method: string,
    params: unknown,
    kind?: string,
  ): void {
    expect(kind).toBe("droppable");
    const line = JSON.stringify({ jsonrpc: "2.0", method, params });
    for (const id of ids) {
      const allowance = allowances.get(id) ??
        budget.open({ getQueuedBytes: () => 0, abort: () => {} });
      allowances.set(id, allowance);
      if (allowance.tryTake(line.length + 1) === undefined) {
        const gapMs = clock.nowMs() - (lastSentAtMs.get(id) ?? clock.nowMs());
        longestGapMs = Math.max(longestGapMs, gapMs);
        lastSentAtMs.set(id, clock.nowMs());
      } else {
        dropped++;
      }
      bytesByPeer.set(id, (bytesByPeer.get(id) ?? 0) + line.length + 1);
    }
  }

  const gossip = StatusGossip.createStatusGossip(
    {
      peers: { self: "east-1-hub", notify, onHeartbeat() {}, handle() {} },
      feed: { getReportedStoreAge: () => ({ ageMs: 12_345, relays: 1 }) },
      items: { getRevisions: () => [1e12, 1e12, 1e12] },
      restoreGuard: { getHeldCount: () => 0 },
      memberList: {
        getCount: () => instanceCount,
        getDomainMembers: () => local,
        getReportedCounts: () =>
          DOMAINS.map((domain) => ({ domain, count: 33, ageMs: 1_000 })),
      },
      getDomainReport: () => ({ live, stranded: [], unresponsive: [] }),
      targetLimits: {
        getReports: () =>
          range(targetsNamingRates, "receipt-lookup").map((target) => ({
            target,
            ratePerS: 10.75,
            ageMs: 1_000,
          })),
      },
      storeContact: { tryGetReportedAgeMs: () => 12_345 },
      // The largest messages that the exchange of load reports sends.
      loadExchange: {
        createMessages: () =>
          local.map((to) => ({ to, params: { loads: "x".repeat(loadBytes) } })),
        receive() {},
      },
      quota: { getDemands: () => demands },
      pool: { getCoordinator: () => "east-1-hub" },
      domain: "east-1",
      getConnected: () => ({ local, remote }),
      supervisor: {
        every: (name: string, _delay: unknown, fn: () => void) =>
          tasks.set(name, fn),
      },
      clock,
      // Only what the gossip uses when it sends.
    } as unknown as Parameters<typeof StatusGossip.createStatusGossip>[0],
  );
  gossip.start();
  for (let ms = 0; ms < SECONDS * 1_000; ms += gossip.getIntervalMs()) {
    tasks.get("pulse")?.();
    gossip.sendWithHeartbeats();
    for (
      let at = 0;
      at < gossip.getIntervalMs();
      at += LoadExchange.INTERVAL_MS
    ) {
      tasks.get("loads")?.();
    }
    await clock.advance(gossip.getIntervalMs());
  }
  const perPeer = [...bytesByPeer.values()].map((bytes) => bytes / SECONDS);
  const total = perPeer.reduce((sum, bytes) => sum + bytes, 0);
  const largestPerPeer = Math.max(...perPeer);
  console.log(
    `${instanceCount} instances, ${targetsNamingRates} rates: ` +
      `${Math.round(largestPerPeer)} B/s to one peer, ` +
      `${Math.round(total)} B/s in total, ${dropped} dropped`,
  );
  return { dropped, largestPerPeer, longestGapMs, total };
}

describe("status messages of the busiest instance", () => {
  // Guards against a budget that drops the ordinary messages of a large fleet.
  for (const instanceCount of [8, 24, 61, 195]) {
    it(`take less than half of the budget with ${instanceCount} instances`, async () => {
      const { dropped, largestPerPeer, total } = await run(instanceCount, 0);
      expect(dropped).toBe(0);
      expect(largestPerPeer).toBeLessThan(SendBudget.PEER_BYTES_PER_S / 2);
      expect(total).toBeLessThan(SendBudget.TOTAL_BYTES_PER_S / 2);
    });
  }

  for (const instanceCount of [61, 195]) {
    it(`are not dropped with ${instanceCount} instances while all targets name rates`, async () => {
      expect((await run(instanceCount, 85)).dropped).toBe(0);
    });
  }

  // Guards against peers that take this instance for gone, after 3 s without a report.
  it("reach each peer every 2 s when they exceed the budget", async () => {
    const { dropped, longestGapMs } = await run(24, 200);
    expect(dropped).toBeGreaterThan(0);
    expect(longestGapMs).toBeLessThanOrEqual(2_000);
  });
});
