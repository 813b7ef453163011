import { describe, expect, it } from "vitest";
import * as Cleanups from "../support/cleanups.ts";
import * as Rig from "../support/gateway_rig.ts";

describe("instances whose settings name links that differ", () => {
  const addCleanup = Cleanups.createCleanups();

  // Guards against a link that the other instances don't learn of.
  it("name the same wide ones to callers when a route has downloads", async () => {
    const config = Rig.formatConfig(1).replace('"safe"', '"download"');
    const { instances } = await Rig.startFleet(addCleanup, {
      instances: 4,
      linksMbps: [7, 140, 140, 140],
      config,
    });
    const wide = instances.slice(1).map(({ address }) => address).sort();
    for (const { directory } of instances) {
      await Rig.until("the directory names the three wide ones", async () => {
        const path = "/anvilroute/resolve?region=north&zone=north-a";
        const { body } = await Rig.send(directory, path);
        const { addresses } = JSON.parse(body) as { addresses: string[] };
        return JSON.stringify(addresses.toSorted()) === JSON.stringify(wide);
      });
    }
    expect(wide).toHaveLength(3);
  });
});
