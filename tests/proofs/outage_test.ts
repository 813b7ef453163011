import { afterEach, describe, expect, it } from "vitest";
import * as Undici from "undici";
import * as Clock from "../../src/clock.ts";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Small from "../../testing/fleet/small.ts";
import * as Wait from "../../testing/harness/wait.ts";

const LEASE_TTL_MS = 3_000;

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
});
