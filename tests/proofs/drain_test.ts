import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import * as Undici from "undici";
import * as Clock from "../../src/clock.ts";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Network from "../../testing/fleet/network.ts";
import * as Small from "../../testing/fleet/small.ts";
import * as Traffic from "../../testing/fleet/traffic.ts";
import * as Wait from "../../testing/harness/wait.ts";

/** Longest time from a target's announcement to its last new request, the bound of guarantee 10. */
const BOUND_MS = 3_000;
/** How long after the bound the targets' records are checked for new requests. */
const WATCH_MS = 2_500;
const LONG_LAG_MS = 30_000;
/** A target that ran fewer requests doesn't show whether its work ended because of the announcement. */
const MIN_EXECUTIONS = 8;

describe("a target that announces that it is leaving", () => {
  const network = Network.createNetwork(
    Small.smallLayout.domains.map((domainLayout) => domainLayout.domain),
  );
  let fleet: Fleet.Fleet;
  let traffic: Traffic.Traffic;
  const busiestByDomain = new Map<string, readonly Fleet.FleetTarget[]>();

  /** Periods in which an instance was frozen or two domains were cut off from each other. */
  const separations: { readonly fromMs: number; toMs: number }[] = [];

  beforeAll(async () => {
    const [service] = Small.smallLayout.services;
    if (service === undefined) throw new Error("the layout has no service");
    fleet = await Fleet.startFleet({
      layout: {
        ...Small.smallLayout,
        services: [{ ...service, workers: 12, slots: 4, serviceMs: 20 }],
      },
      tableCsv: Small.formatSmallTable({ clubRate: 400, clubBurst: 400 }),
      network,
    });
    traffic = Traffic.startTraffic(fleet, "booking", {
      account: "club",
      readers: 24,
      orderers: 6,
      pauseMs: 60,
    });
    for (const { domain } of Small.smallLayout.domains) {
      busiestByDomain.set(domain, await findBusiest(domain));
    }
  });

  /**
   * Resolves with the two busiest targets of a domain when both have run enough
   * requests. Hashes of the names decide which instance owns a target's slots, so
   * in a small fleet a target may be hardly used while others have unused slots.
   */
  function findBusiest(domain: string): Promise<readonly Fleet.FleetTarget[]> {
    const targets = fleet.targets.filter((target) => target.domain === domain);
    return Wait.waitFor(
      async () => {
        const targetExecutions = await Promise.all(
          targets.map(async (target) => {
            const { executions = 0 } = await target.getStats();
            return { target, executions };
          }),
        );
        targetExecutions.sort((a, b) => b.executions - a.executions);
        const busiestPair = targetExecutions.slice(0, 2);
        if (
          busiestPair.some(({ executions }) => executions <= MIN_EXECUTIONS)
        ) {
          return undefined;
        }
        return busiestPair.map(({ target }) => target);
      },
      40_000,
      `two targets of ${domain} have work`,
    );
  }
  afterEach(async () => {
    for (const instance of fleet.instances) instance.process.resume();
    await network.heal();
    for (const separation of separations) {
      separation.toMs = Math.min(separation.toMs, Date.now());
    }
    await fleet.platform.setFaults({
      availability: "up",
      slowMs: 0,
      listLagMs: 0,
    });
  });
  afterAll(async () => {
    const calls = await traffic.end();
    await fleet.stop();
    // A rejection as not-run is allowed while the store or a peer is unreachable.
    const interruptedCalls = calls.filter((call) =>
      call.kind === "failed" ||
      (call.kind === "unknown" && !overlapsSeparation(call))
    );
    expect(Traffic.describeBad(interruptedCalls)).toEqual([]);
    console.log(`calls by outcome: ${Traffic.summarize(calls)}`);
  });

  /**
   * Whether the call was in flight while an instance was frozen or two domains
   * were cut off, when it may end as unknown. The targets' records show that no
   * leaving target cancelled it.
   */
  function overlapsSeparation(call: Traffic.Call): boolean {
    const endedAtMs = call.startedWallMs + call.latencyMs;
    return separations.some(({ fromMs, toMs }) =>
      call.startedWallMs <= toMs && endedAtMs >= fromMs
    );
  }

  function getBusy(domain: string, rank: number): Fleet.FleetTarget {
    const target = busiestByDomain.get(domain)?.[rank];
    if (target === undefined) throw new Error(`no busy target in ${domain}`);
    return target;
  }

  async function sendOpen(instance: Fleet.FleetInstance): Promise<number> {
    const url = `http://${instance.caller}/s/booking/fleet`;
    const res = await Undici.request(url);
    await res.body.dump();
    return res.statusCode;
  }

  interface Leaving {
    readonly target: Fleet.FleetTarget;
    readonly faults?: Readonly<Record<string, unknown>>;
  }

  /** Makes targets announce that they leave, and checks that each starts no request after the bound and cancels none. */
  async function expectNoWorkAfterBound(
    leaving: readonly Leaving[],
    runMeanwhile: () => Promise<void> = () => Clock.sleep(BOUND_MS + WATCH_MS),
  ): Promise<void> {
    const announcedAtMs = new Map<Fleet.FleetTarget, number>();
    for (const { target, faults } of leaving) {
      await target.setFaults({ leaving: true, ...faults });
      announcedAtMs.set(target, Date.now());
    }
    await runMeanwhile();
    const otherTargets = fleet.targets.filter((fleetTarget) =>
      !leaving.some(({ target }) => fleetTarget === target)
    );
    const lastBoundAtMs = Math.max(...announcedAtMs.values()) + BOUND_MS;
    const otherRecords = await Promise.all(
      otherTargets.map((target) => target.getRecords()),
    );
    const recordsAfterBound = otherRecords.flat().filter((record) =>
      record.startedWallMs > lastBoundAtMs
    );
    expect(recordsAfterBound.length, "requests at other targets")
      .toBeGreaterThan(50);
    for (const [target, atMs] of announcedAtMs) {
      const records = await target.getRecords();
      const recordsBefore = records.filter((record) =>
        record.startedWallMs <= atMs
      );
      expect(recordsBefore.length, `${target.id} had work`).toBeGreaterThan(
        MIN_EXECUTIONS,
      );
      const lateStarts = records.filter((record) =>
        record.startedWallMs > atMs + BOUND_MS
      )
        .map((record) =>
          `${record.method} ${record.startedWallMs - atMs} ms later`
        );
      expect(lateStarts, `${target.id} after the bound`).toEqual([]);
      const cancelledRecords = records.filter((record) =>
        record.outcome === "cancelled"
      );
      expect(cancelledRecords, `${target.id} completes what runs`).toEqual([]);
    }
  }

  // This test comes first because a pause after an outage of the store invalidates the instance's budgets.
  it("gets no new request from an instance that was frozen during the announcement", async () => {
    const frozenInstance = fleet.instances.find((instance) =>
      instance.domain === "south-2"
    );
    if (frozenInstance === undefined) throw new Error("no instance in south-2");
    await fleet.platform.setFaults({ listLagMs: LONG_LAG_MS });
    // On a fast network, the first probe after the pause ends before the instance reads a request.
    const slowLink = { delayMs: 150 };
    await network.setFaults("south-2", "south-2", slowLink);
    await network.setFaults("south-2", "south-1", slowLink);
    separations.push({ fromMs: Date.now(), toMs: Infinity });
    frozenInstance.process.freeze();
    const queuedRequests: Promise<number>[] = [];
    await expectNoWorkAfterBound(
      [{ target: getBusy("south-2", 1) }],
      async () => {
        await Clock.sleep(BOUND_MS + 1_000);
        // Requests use an open route: after a pause, requests with a key are rejected for another reason.
        for (let i = 0; i < 40; i++) {
          queuedRequests.push(sendOpen(frozenInstance));
        }
        await Clock.sleep(200);
        frozenInstance.process.resume();
        await Clock.sleep(WATCH_MS);
      },
    );
    expect(new Set(await Promise.all(queuedRequests))).toEqual(new Set([200]));
  });

  it("gets no new request when only the instance list announces it and a domain is cut off from the platform", async () => {
    await network.cut("north-1", Network.PLATFORM);
    await expectNoWorkAfterBound([
      { target: getBusy("north-1", 0), faults: { announceBy: "list" } },
    ]);
  });

  it("gets no new request when the list lags and only a health check, load report or response announces it", async () => {
    await fleet.platform.setFaults({ listLagMs: LONG_LAG_MS });
    await expectNoWorkAfterBound([
      { target: getBusy("north-2", 0), faults: { announceBy: "health" } },
      {
        target: getBusy("south-1", 0),
        faults: { announceBy: "load", health: "lying" },
      },
      {
        target: getBusy("south-2", 0),
        faults: { announceBy: "header", health: "lying" },
      },
    ]);
  });

  it("gets no new request when the platform is down and its health check hangs or is wrong", async () => {
    await fleet.platform.setFaults({ availability: "hang" });
    await expectNoWorkAfterBound([
      {
        target: getBusy("north-1", 1),
        faults: { announceBy: "load", health: "hanging" },
      },
      { target: getBusy("north-2", 1), faults: { health: "lying" } },
    ]);
  });

  it("gets no new request when the platform is slow, the list lags and two domains are cut off from each other", async () => {
    await fleet.platform.setFaults({ slowMs: 3_000, listLagMs: LONG_LAG_MS });
    separations.push({ fromMs: Date.now(), toMs: Infinity });
    await network.cut("north-1", "south-1");
    await expectNoWorkAfterBound([{
      target: getBusy("south-1", 1),
      faults: { health: "hanging" },
    }]);
  });
});
