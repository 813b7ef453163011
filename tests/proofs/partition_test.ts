import { afterAll, beforeAll, describe, expect, it } from "vitest";
import * as Undici from "undici";
import * as Fleet from "../../testing/fleet/fleet.ts";
import * as Network from "../../testing/fleet/network.ts";
import * as Small from "../../testing/fleet/small.ts";
import * as Wait from "../../testing/harness/wait.ts";

/** Longest time until a changed record is in force, the bound of guarantees 5 and 12. */
const CONFIG_BOUND_MS = 6_000;

describe("a failure domain that is cut off from everything", () => {
  const network = Network.createNetwork(
    Small.smallLayout.domains.map((domainLayout) => domainLayout.domain),
  );
  let fleet: Fleet.Fleet;

  beforeAll(async () => {
    fleet = await Fleet.startFleet({
      layout: Small.smallLayout,
      tableCsv: Small.formatSmallTable(),
      network,
    });
  });
  afterAll(() => fleet.stop());

  async function send(
    instance: Fleet.FleetInstance,
    path: string,
    account: string,
  ) {
    const res = await Undici.request(
      `http://${instance.caller}/s/booking${path}`,
      {
        headers: { "anvilroute-key": fleet.keys.get(account) ?? "" },
      },
    );
    await res.body.dump();
    return {
      status: res.statusCode,
      outcome: res.headers["anvilroute-outcome"],
      code: Number(res.headers["anvilroute-code"] ?? 0),
    };
  }

  function getInstance(domain: string): Fleet.FleetInstance {
    const instance = fleet.instances.find((instance) =>
      instance.domain === domain
    );
    if (instance === undefined) throw new Error(`no instance in ${domain}`);
    return instance;
  }

  it("serves open routes, and rejects all keys because they may have been withdrawn", async () => {
    const isolatedInstance = getInstance("south-2");
    expect((await send(isolatedInstance, "/bikes", "club")).status).toBe(200);
    await network.isolate("south-2", [Network.CALLERS]);
    const club = fleet.keys.get("club") ?? "";
    const record = Fleet.createKeysRecord(fleet.keys, [Fleet.getDigest(club)]);
    await Fleet.writeRecord(fleet.store, "keys", record);
    const withdrawnAtMs = performance.now();
    for (const instance of fleet.instances) {
      await Wait.waitFor(
        async () => (await send(instance, "/bikes", "club")).status !== 200,
        CONFIG_BOUND_MS - (performance.now() - withdrawnAtMs),
        `${instance.id} rejects the withdrawn key`,
      );
    }
    const isolatedResult = await send(isolatedInstance, "/bikes", "hut");
    expect([isolatedResult.status, isolatedResult.outcome, isolatedResult.code])
      .toEqual([503, "not-run", 104]);
    expect((await send(isolatedInstance, "/fleet", "hut")).status).toBe(200);
    const connectedInstance = getInstance("north-1");
    expect((await send(connectedInstance, "/bikes", "hut")).status).toBe(200);
  });

  it("serves requests with a key again after the network recovers, and still rejects the withdrawn key", async () => {
    await network.heal();
    const rejoinedInstance = getInstance("south-2");
    await Wait.waitFor(
      async () =>
        (await send(rejoinedInstance, "/bikes", "hut")).status === 200,
      15_000,
      "keyed requests are served again",
    );
    expect((await send(rejoinedInstance, "/bikes", "club")).code).toBe(103);
  });
});
