import { afterEach, describe, expect, it } from "vitest";
import * as Undici from "undici";
import * as Clock from "../../src/clock.ts";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Small from "../../testing/fleet/small.ts";
import * as Traffic from "../../testing/fleet/traffic.ts";
import * as Wait from "../../testing/harness/wait.ts";

const LEASE_TTL_MS = 3_000;
/** Twice the lease time of the fleet, so that every allocation depends on the instance's peers. */
const OUTAGE_MS = 10_000;
/** Time within which every instance renews its leases and reads the store after the outage. */
const RECOVERY_MS = 4_000;

describe("an outage of the store", () => {
  let fleet: Fleet.Fleet | undefined;
  afterEach(() => fleet?.stop());

  it("leaves the surviving instance of a domain its shards when the other instance was killed", async () => {
    const domains = Small.smallLayout.domains
      .map((domainLayout, i) => ({
        ...domainLayout,
        instances: i === 0 ? 2 : 1,
      }));
    fleet = await Fleet.startFleet({
      layout: { ...Small.smallLayout, domains },
      tableCsv: Small.formatSmallTable(),
      settings: { leaseTtlMs: LEASE_TTL_MS, leaseRenewMs: 700 },
    });
    const [killedInstance, survivor] = fleet.instances
      .filter((instance) => instance.domain === domains[0]?.domain);
    if (killedInstance === undefined || survivor === undefined) {
      throw new Error("two instances expected");
    }
    await fleet.platform.setFaults({ availability: "refuse" });
    await killedInstance.process.kill();
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
    // After twice the lease time, only the disconnected mode keeps the allocation valid.
    await Clock.sleep(LEASE_TTL_MS * 2);
    await Wait.waitFor(
      async () => (await send()) === 200,
      2_000,
      "the survivor serves",
    );
    expect(survivor.process.getLog().join("\n")).toContain("mode=disconnected");
  });

  it.each(["refuse", "hang"] as const)(
    "causes no rejection within the account's rate while all instances run (availability: %s)",
    async (availability) => {
      const domains = Small.smallLayout.domains
        // The third instance of a domain doesn't read the keys from the store but from its peers.
        .map((domainLayout, i) => ({
          ...domainLayout,
          instances: i === 0 ? 3 : 2,
        }));
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
      await Clock.sleep(RECOVERY_MS);
      const calls = await traffic.end();
      expect(Traffic.describeBad(calls)).toEqual([]);
      expect(calls.length).toBeGreaterThan(300);
      for (const { process } of fleet.instances) {
        expect(process.getLog().join("\n")).toContain("mode=disconnected");
      }
    },
  );
});
