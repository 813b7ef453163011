import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import * as Undici from "undici";
import * as Clock from "../../src/clock.ts";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Network from "../../testing/fleet/network.ts";
import * as Small from "../../testing/fleet/small.ts";
import * as Traffic from "../../testing/fleet/traffic.ts";
import * as Wait from "../../testing/harness/wait.ts";

/** Bound of promise 10, in ms. */
const BOUND_MS = 3_000;
/** How long after the bound work is looked for. */
const WATCH_MS = 2_500;
const LONG_LAG_MS = 30_000;
/** A target that had less work says nothing about the end of its work. */
const MIN_EXECUTIONS = 8;

describe("a target that announces that it is leaving", () => {
  const network = Network.createNetwork(
    Small.smallLayout.domains.map((one) => one.domain),
  );
  let fleet: Fleet.Fleet;
  let traffic: Traffic.Traffic;
  const busiest = new Map<string, readonly Fleet.FleetTarget[]>();

  /** Times in which a part of the fleet was frozen or cut off from another. */
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
      busiest.set(domain, await findBusiest(domain));
    }
  });

  /**
   * The two busiest targets of a domain, once both have had work. Which instance
   * owns a target's slots depends on hashes of their names, so in a fleet this
   * small one target may be hardly used while others have slots to spare.
   */
  function findBusiest(domain: string): Promise<readonly Fleet.FleetTarget[]> {
    const targets = fleet.targets.filter((one) => one.domain === domain);
    return Wait.waitFor(
      async () => {
        const counted = await Promise.all(targets.map(async (target) => {
          const { executions = 0 } = await target.getStats();
          return { target, executions };
        }));
        counted.sort((a, b) => b.executions - a.executions);
        const two = counted.slice(0, 2);
        if (two.some(({ executions }) => executions <= MIN_EXECUTIONS)) {
          return undefined;
        }
        return two.map(({ target }) => target);
      },
      40_000,
      `two targets of ${domain} have work`,
    );
  }
  afterEach(async () => {
    for (const one of fleet.instances) one.process.resume();
    await network.heal();
    for (const one of separations) one.toMs = Math.min(one.toMs, Date.now());
    await fleet.platform.setFaults({
      availability: "up",
      slowMs: 0,
      listLagMs: 0,
    });
  });
  afterAll(async () => {
    const calls = await traffic.end();
    await fleet.stop();
    // Refusals as not run are the answer to a store or a peer that is away.
    const cut = calls.filter((one) =>
      one.kind === "failed" ||
      (one.kind === "unknown" && !overlapsSeparation(one))
    );
    expect(Traffic.describeBad(cut)).toEqual([]);
    console.log(`calls by outcome: ${Traffic.summarize(calls)}`);
  });

  /**
   * While an instance is frozen or two domains are apart, what an instance
   * there has in flight may end as unknown; each target's own records show that
   * its leaving cut nothing.
   */
  function overlapsSeparation(call: Traffic.Call): boolean {
    const endedAtMs = call.startedWallMs + call.latencyMs;
    return separations.some(({ fromMs, toMs }) =>
      call.startedWallMs <= toMs && endedAtMs >= fromMs
    );
  }

  function getBusy(domain: string, rank: number): Fleet.FleetTarget {
    const found = busiest.get(domain)?.[rank];
    if (found === undefined) throw new Error(`no busy target in ${domain}`);
    return found;
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

  /** Makes targets leave, and checks their records for work after the bound. */
  async function expectNoWorkAfterBound(
    leaving: readonly Leaving[],
    during: () => Promise<void> = () => Clock.sleep(BOUND_MS + WATCH_MS),
  ): Promise<void> {
    const announced = new Map<Fleet.FleetTarget, number>();
    for (const { target, faults } of leaving) {
      await target.setFaults({ leaving: true, ...faults });
      announced.set(target, Date.now());
    }
    await during();
    const others = fleet.targets.filter((one) =>
      !leaving.some(({ target }) => one === target)
    );
    const last = Math.max(...announced.values()) + BOUND_MS;
    const elsewhere = await Promise.all(others.map((one) => one.getRecords()));
    const after = elsewhere.flat().filter((one) => one.startedWallMs > last);
    expect(after.length, "traffic goes on elsewhere").toBeGreaterThan(50);
    for (const [target, atMs] of announced) {
      const records = await target.getRecords();
      const before = records.filter((one) => one.startedWallMs <= atMs);
      expect(before.length, `${target.id} had work`).toBeGreaterThan(
        MIN_EXECUTIONS,
      );
      const late = records.filter((one) => one.startedWallMs > atMs + BOUND_MS)
        .map((one) => `${one.method} ${one.startedWallMs - atMs} ms later`);
      expect(late, `${target.id} after the bound`).toEqual([]);
      const cut = records.filter((one) => one.outcome === "cancelled");
      expect(cut, `${target.id} completes what runs`).toEqual([]);
    }
  }

  // First, because a pause after a store's outage ends the right to spend budgets.
  it("gets no work from an instance that was frozen when it was announced", async () => {
    const frozen = fleet.instances.find((one) => one.domain === "south-2");
    if (frozen === undefined) throw new Error("no instance in south-2");
    await fleet.platform.setFaults({ listLagMs: LONG_LAG_MS });
    // On a fast network the first probe after the pause ends before a request is read.
    const slow = { delayMs: 150 };
    await network.setFaults("south-2", "south-2", slow);
    await network.setFaults("south-2", "south-1", slow);
    separations.push({ fromMs: Date.now(), toMs: Infinity });
    frozen.process.freeze();
    const waiting: Promise<number>[] = [];
    await expectNoWorkAfterBound(
      [{ target: getBusy("south-2", 1) }],
      async () => {
        await Clock.sleep(BOUND_MS + 1_000);
        // An open route, because keys are refused after a pause for another reason.
        for (let i = 0; i < 40; i++) waiting.push(sendOpen(frozen));
        await Clock.sleep(200);
        frozen.process.resume();
        await Clock.sleep(WATCH_MS);
      },
    );
    expect(new Set(await Promise.all(waiting))).toEqual(new Set([200]));
  });

  it("gets no work when only the instance list says so, with one domain cut off from the platform", async () => {
    await network.cut("north-1", Network.PLATFORM);
    await expectNoWorkAfterBound([
      { target: getBusy("north-1", 0), faults: { announceBy: "list" } },
    ]);
  });

  it("gets no work when the list lags and only health, load or an answer says so", async () => {
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

  it("gets no work when the platform is down and health hangs or lies", async () => {
    await fleet.platform.setFaults({ availability: "hang" });
    await expectNoWorkAfterBound([
      {
        target: getBusy("north-1", 1),
        faults: { announceBy: "load", health: "hanging" },
      },
      { target: getBusy("north-2", 1), faults: { health: "lying" } },
    ]);
  });

  it("gets no work when the platform is slow, the list lags and two domains are apart", async () => {
    await fleet.platform.setFaults({ slowMs: 3_000, listLagMs: LONG_LAG_MS });
    separations.push({ fromMs: Date.now(), toMs: Infinity });
    await network.cut("north-1", "south-1");
    await expectNoWorkAfterBound([{
      target: getBusy("south-1", 1),
      faults: { health: "hanging" },
    }]);
  });
});
