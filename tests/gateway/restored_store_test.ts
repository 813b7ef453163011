import { describe, it } from "vitest";
import * as Cleanups from "../support/cleanups.ts";
import * as Rig from "../support/gateway_rig.ts";

const { formatConfig, send, until } = Rig;
const addCleanup = Cleanups.createCleanups();
const startFleet = (opts?: Rig.FleetOptions) =>
  Rig.startFleet(addCleanup, opts);

/** Waits until the instance accepts the key. */
const untilKeyWorks = (address: string, key: string) =>
  until(`key ${key} works`, async () => {
    const headers = { authorization: `Bearer ${key}` };
    return (await send(address, "/read/x", { headers })).status === 200;
  });

describe("a store that returns from an older copy", () => {
  // Guards against a configuration without effect because its revision was given out
  // before.
  it("delivers a configuration that is written afterwards", async () => {
    const { front, kv } = await startFleet();
    const copy = kv.copy();
    kv.put("op/config", formatConfig(2, { key: "k2" }));
    await untilKeyWorks(front, "k2");
    kv.restore(copy);
    kv.put("op/config", formatConfig(3, { key: "k3" }));
    await untilKeyWorks(front, "k3");
  });

  // Guards against writes that are skipped because a watch goes on from a revision that
  // was given out a second time.
  it("delivers all writes when more of them follow than were lost", async () => {
    const { front, kv } = await startFleet();
    const copy = kv.copy();
    kv.put("op/evacuate/none", "{}");
    await send(front, "/read/x");
    kv.restore(copy);
    kv.put("op/config", formatConfig(3, { key: "k3" }));
    for (let i = 0; i < 5; i++) kv.put("op/evacuate/none", "{}");
    await untilKeyWorks(front, "k3");
  });

  // Guards against instances that read the store and tell others nothing of the change.
  it("delivers a configuration to all instances of a domain", async () => {
    const { instances, kv } = await startFleet({ instances: 4 });
    const copy = kv.copy();
    kv.put("op/config", formatConfig(2, { key: "k2" }));
    for (const { address } of instances) await untilKeyWorks(address, "k2");
    kv.restore(copy);
    kv.put("op/config", formatConfig(3, { key: "k3" }));
    for (const { address } of instances) await untilKeyWorks(address, "k3");
  });

  // Guards against a target that stays unknown because it registers under a revision
  // that an earlier entry had.
  it("lets a target return whose entry had been removed", async () => {
    const { front, kv, targets } = await startFleet({ targets: 1 });
    const copy = kv.copy();
    kv.remove("servers/i-0");
    await until(
      "no target is left",
      async () => (await send(front, "/read/x")).status === 503,
    );
    kv.restore(copy);
    targets[0]!.register();
    await until(
      "the target serves",
      async () => (await send(front, "/read/x")).status === 200,
    );
  });
});
