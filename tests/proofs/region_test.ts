import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Flows from "../../testing/fleet/flows.ts";
import * as Network from "../../testing/fleet/network.ts";
import * as Regions from "../../testing/fleet/regions.ts";
import * as Requests from "../../testing/fleet/requests.ts";
import * as Windows from "../../testing/fleet/windows.ts";

/** A target is cold for 10 s; until then regions fail over by slots, which is no shift. */
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
        Regions.regionLayout.domains.map((one) => one.domain),
      ),
      streamRecords: true,
    });
    journal = Requests.createJournal(fleet);
  });
  afterAll(async () => {
    await journal?.close();
    await fleet?.stop();
  });

  it("leaves limits, caps and shifts of the survivors in force, and neither repeats an order nor denies that one ran", async () => {
    const isLost = (one: { region: string }) =>
      one.region === Regions.LOST_REGION;
    const lost = fleet.instances.filter(isLost);
    const rest = fleet.instances.filter((one) => !isLost(one));
    const load = (flows: readonly Flows.Flow[], ms: number) =>
      Flows.startTraffic(fleet, "booking", flows, ms);
    const south = {
      account: "hut",
      ratePerS: 40,
      instances: rest.filter((one) => one.region === "south"),
    };
    await load([south], COLD_MS).done;
    stalls.reset();
    const beganAtMs = Date.now();
    const club = { account: "club", ratePerS: 3 * Regions.CLUB_LIMIT.rate };
    const traffic = load([{ ...club, instances: rest }, south], SHIFT_MS);
    const before = load([{ ...club, instances: lost }], 3_000);
    await Flows.waitForAnswers(traffic, 200);
    const orders = await Promise.all(
      fleet.instances.map((one) => Regions.createOrders(journal, one)),
    );
    const sending = orders.map((one) => Regions.sendAll(journal, one));
    await fleet.writeTable(Regions.formatRegionTable(40));
    const ended = [...lost, ...fleet.targets.filter(isLost)];
    await Promise.all(ended.map((one) => one.process.kill()));
    const lostAtMs = Date.now();
    await Promise.all([...sending, before.done]);
    expect(await Regions.checkOrders(journal, orders, rest)).toEqual([]);
    await traffic.done;
    // More than the caps of the survivors together.
    await load([{ ...south, ratePerS: 300, instances: rest }], 5_000).done;

    const verdict = await journal.check();
    console.log(JSON.stringify(verdict));
    expect(verdict.violations).toEqual([]);
    expect(verdict.notRun, "refusals to check").toBeGreaterThan(0);
    const observer = Windows.createObserver(fleet);
    await observer.collect();
    const starts = observer.getStarts().filter((one) => one.atMs >= beganAtMs);
    const times = { lostAtMs, shiftEndsAtMs: beganAtMs + SHIFT_MS };
    expect(Regions.checkStarts(starts, times, stalls.getMaxMs())).toEqual([]);
  });
});
