import { afterEach, describe, expect, it } from "vitest";
import * as Undici from "undici";
import * as Clock from "../../src/clock.ts";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Small from "../../testing/fleet/small.ts";
import * as Traffic from "../../testing/fleet/traffic.ts";
import * as Wait from "../../testing/harness/wait.ts";

const LEASE_TTL_MS = 3_000;
/** Twice the lease of the fleet below, so that each holding rests on its peers. */
const OUTAGE_MS = 10_000;
/** Renewals and reads of every instance come within this time. */
const AFTERWARDS_MS = 4_000;

describe("an outage of the store", () => {
  let fleet: Fleet.Fleet | undefined;
  afterEach(() => fleet?.stop());

  it("leaves the survivor of a domain its shards when the other process has ended", async () => {
    const domains = Small.smallLayout.domains
      .map((one, i) => ({ ...one, instances: i === 0 ? 2 : 1 }));
    fleet = await Fleet.startFleet({
      layout: { ...Small.smallLayout, domains },
      tableCsv: Small.formatSmallTable(),
      settings: { leaseTtlMs: LEASE_TTL_MS, leaseRenewMs: 700 },
    });
    const [dying, survivor] = fleet.instances
      .filter((one) => one.domain === domains[0]?.domain);
    if (dying === undefined || survivor === undefined) {
      throw new Error("two instances expected");
    }
    await fleet.platform.setFaults({ availability: "refuse" });
    await dying.process.kill();
    const send = async () => {
      const res = await Undici.request(
        `http://${survivor.caller}/s/booking/bikes`,
        {
          headers: { "anvilroute-key": fleet?.keys.get("club") ?? "" },
        },
      );
      await res.body.dump();
      return res.statusCode;
    };
    // Twice the lease, so that the holding rests on the disconnected mode alone.
    await Clock.sleep(LEASE_TTL_MS * 2);
    await Wait.waitFor(
      async () => (await send()) === 200,
      2_000,
      "the survivor serves",
    );
    expect(survivor.process.getLog().join("\n")).toContain("mode=disconnected");
  });

  it.each(["refuse", "hang"] as const)(
    "guards against refusals within the rate while all instances run and the store is out (%s)",
    async (availability) => {
      const domains = Small.smallLayout.domains
        // The third one of a domain reads no keys itself and relies on its peers.
        .map((one, i) => ({ ...one, instances: i === 0 ? 3 : 2 }));
      fleet = await Fleet.startFleet({
        layout: { ...Small.smallLayout, domains },
        tableCsv: Small.formatSmallTable({ clubRate: 200, clubBurst: 200 }),
        settings: {
          leaseTtlMs: OUTAGE_MS / 2,
          leaseRenewMs: 1_000,
          platformTimeoutMs: 300,
        },
      });
      const isServed = (caller: string) => {
        const headers = { "anvilroute-key": fleet?.keys.get("club") ?? "" };
        return fetch(`http://${caller}/s/booking/bikes`, { headers })
          .then((res) => res.status === 200);
      };
      for (const { caller, id } of fleet.instances) {
        await Wait.waitFor(() => isServed(caller), 10_000, `${id} serves`);
      }
      // About a fifth of the account's rate of 400 requests/s.
      const traffic = Traffic.startTraffic(fleet, "booking", {
        account: "club",
        readers: 8,
        orderers: 0,
        pauseMs: 100,
      });
      await Clock.sleep(1_000);
      await fleet.platform.setFaults({ availability });
      await Clock.sleep(OUTAGE_MS);
      await fleet.platform.setFaults({ availability: "up" });
      await Clock.sleep(AFTERWARDS_MS);
      const calls = await traffic.end();
      expect(Traffic.describeBad(calls)).toEqual([]);
      expect(calls.length).toBeGreaterThan(300);
      for (const { process } of fleet.instances) {
        expect(process.getLog().join("\n")).toContain("mode=disconnected");
      }
    },
  );
});
