import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Flows from "../../testing/fleet/flows.ts";
import * as Network from "../../testing/fleet/network.ts";
import * as Regions from "../../testing/fleet/regions.ts";
import * as Requests from "../../testing/fleet/requests.ts";
import * as Windows from "../../testing/fleet/windows.ts";

/** A target has a cold start of 10 s, during which requests without a free slot fail over between regions; that is no shift. */
const COLD_MS = 10_500;
const SHIFT_MS = 12_000;

describe("the loss of a region with its entry instances and its targets", () => {
  let fleet: Fleet.Fleet;
  let journal: Requests.Journal;
  const stalls = Windows.createStallMeter();

  beforeAll(async () => {
    fleet = await Fleet.startFleet({
      layout: Regions.regionLayout,
      tableCsv: Regions.formatRegionTable(),
      network: Network.createNetwork(
        Regions.regionLayout.domains.map((domainLayout) => domainLayout.domain),
      ),
      streamRecords: true,
    });
    journal = Requests.createJournal(fleet);
  });
  afterAll(async () => {
    await journal?.close();
    await fleet?.stop();
  });

  it("leaves the limits, caps and shifts of the other regions in force, repeats no order and reports none that ran as not-run", async () => {
    const isLost = (item: { region: string }) =>
      item.region === Regions.LOST_REGION;
    const lostInstances = fleet.instances.filter(isLost);
    const survivors = fleet.instances.filter((instance) => !isLost(instance));
    const startLoad = (flows: readonly Flows.Flow[], ms: number) =>
      Flows.startTraffic(fleet, "booking", flows, ms);
    const southFlow = {
      account: "hut",
      ratePerS: 40,
      instances: survivors.filter((instance) => instance.region === "south"),
    };
    await startLoad([southFlow], COLD_MS).done;
    stalls.reset();
    const beganAtMs = Date.now();
    const clubFlow = { account: "club", ratePerS: 3 * Regions.CLUB_LIMIT.rate };
    const traffic = startLoad([
      { ...clubFlow, instances: survivors },
      southFlow,
    ], SHIFT_MS);
    const lostRegionTraffic = startLoad([{
      ...clubFlow,
      instances: lostInstances,
    }], 3_000);
    await Flows.waitForAnswers(traffic, 200);
    const orders = await Promise.all(
      fleet.instances.map((instance) =>
        Regions.createOrders(journal, instance)
      ),
    );
    const sending = orders.map((instanceOrders) =>
      Regions.sendAll(journal, instanceOrders)
    );
    await fleet.writeTable(Regions.formatRegionTable(40));
    const killedItems = [...lostInstances, ...fleet.targets.filter(isLost)];
    await Promise.all(killedItems.map((item) => item.process.kill()));
    const lostAtMs = Date.now();
    await Promise.all([...sending, lostRegionTraffic.done]);
    expect(await Regions.checkOrders(journal, orders, survivors)).toEqual([]);
    await traffic.done;
    // The load exceeds the sum of the surviving regions' caps.
    await startLoad(
      [{ ...southFlow, ratePerS: 300, instances: survivors }],
      5_000,
    ).done;

    const verdict = await journal.check();
    console.log(JSON.stringify(verdict));
    expect(verdict.violations).toEqual([]);
    expect(verdict.notRun, "rejected requests to check").toBeGreaterThan(0);
    const observer = Windows.createObserver(fleet);
    await observer.collect();
    const starts = observer.getStarts().filter((start) =>
      start.atMs >= beganAtMs
    );
    const times = { lostAtMs, shiftEndsAtMs: beganAtMs + SHIFT_MS };
    expect(Regions.checkStarts(starts, times, stalls.getMaxMs())).toEqual([]);
  });
});
