import { describe, expect, it } from "vitest";
import * as Clock from "../../src/clock.ts";
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

/** Waits until the instance responds to a read with the status. */
const untilStatus = (address: string, status: number, description: string) =>
  until(
    description,
    async () => (await send(address, "/read/x")).status === status,
  );

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
    await untilStatus(front, 503, "no target is left");
    kv.restore(copy);
    targets[0]!.register();
    await untilStatus(front, 200, "the target serves");
  });

  // Guards against instances that start afterwards and find no peers.
  it("gets the records of all instances again", async () => {
    const { kv } = await startFleet({ instances: 2 });
    const getMembers = () =>
      kv.getKeys().filter((key) => key.startsWith("anvilroute/members/"));
    const copy = kv.copy();
    await until("both records are written", () => getMembers().length === 2);
    kv.restore({ ...copy, items: new Map() });
    await until("both records are back", () => getMembers().length === 2);
  });

  describe("without the secret of the peers", () => {
    async function loseSecret(fleet: Awaited<ReturnType<typeof startFleet>>) {
      const { kv } = fleet;
      const isOwnKey = (key: string) => key.startsWith("anvilroute/");
      await until("the record is written", () => kv.getKeys().some(isOwnKey));
      const copy = kv.copy();
      const items = [...copy.items].filter(([key]) => !isOwnKey(key));
      kv.restore({ ...copy, items: new Map(items) });
    }

    /** Waits until each instance names both in its directory. */
    async function untilConnected(
      { instances }: Awaited<ReturnType<typeof startFleet>>,
    ) {
      const path = "/anvilroute/resolve?region=north&zone=north-a";
      for (const { directory } of instances) {
        await until("both instances are in the directory", async () => {
          const { body } = await send(directory, path);
          return body.split("127.").length === 3;
        });
      }
    }

    // Guards against a fleet that falls into parts with different secrets.
    it("connects to an instance that starts later", async () => {
      const fleet = await startFleet();
      await loseSecret(fleet);
      await Clock.sleep(1_500);
      await fleet.startInstance();
      await untilConnected(fleet);
    });

    it("connects to an instance that writes another secret first", async () => {
      const fleet = await startFleet();
      await loseSecret(fleet);
      await fleet.startInstance();
      await untilConnected(fleet);
    });
  });

  describe("before targets and operators have written again", () => {
    const OBSERVATION_MS = 1_500;

    /** Sends requests for a while; returns the statuses and the targets that responded. */
    async function observe(address: string) {
      const seen = new Set<string>();
      const endMs = performance.now() + OBSERVATION_MS;
      while (performance.now() < endMs) {
        const { body, status } = await send(address, "/read/x");
        seen.add(status === 200 ? body.split(" ")[0]! : String(status));
        await Clock.sleep(20);
      }
      return [...seen];
    }

    // Guards against requests to a target that had begun to leave.
    it("doesn't make a leaving target usable again", async () => {
      const { front, kv, targets } = await startFleet();
      await send(front, "/read/x");
      const [primary, other] = targets.toSorted((a, b) =>
        b.ran.length - a.ran.length
      );
      const copy = kv.copy();
      primary!.register("draining");
      await until(
        "another target serves",
        async () => (await send(front, "/read/x")).body.startsWith(other!.id),
      );
      kv.restore(copy);
      expect(await observe(front)).toEqual([other!.id]);
    });

    // Guards against requests to a target that has ended.
    it("doesn't make a removed target usable again", async () => {
      const { front, kv } = await startFleet({ targets: 1 });
      const copy = kv.copy();
      kv.remove("servers/i-0");
      await untilStatus(front, 503, "no target is left");
      kv.restore(copy);
      expect(await observe(front)).toEqual(["503"]);
    });

    // Guards against capacity that is lost although its target lives.
    it("keeps a target whose entry was lost", async () => {
      const { front, kv, targets } = await startFleet({ targets: 1 });
      kv.remove("servers/i-0");
      await untilStatus(front, 503, "no target is left");
      const copy = kv.copy();
      targets[0]!.register();
      await untilStatus(front, 200, "the target serves");
      kv.restore(copy);
      expect(await observe(front)).toEqual(["i-0"]);
    });

    // Guards against requests to a domain that is evacuated.
    it("doesn't end an evacuation", async () => {
      const { front, kv } = await startFleet();
      const copy = kv.copy();
      kv.put("op/evacuate/north-a", "{}");
      await untilStatus(front, 503, "the domain is evacuated");
      kv.restore(copy);
      expect(await observe(front)).toEqual(["503"]);
    });

    it("ends an evacuation that is taken back after the restore", async () => {
      const { front, kv } = await startFleet();
      const copy = kv.copy();
      kv.put("op/evacuate/north-a", "{}");
      await untilStatus(front, 503, "the domain is evacuated");
      kv.restore(copy);
      await Clock.sleep(500);
      kv.put("op/evacuate/north-a", "{}");
      await Clock.sleep(500);
      kv.remove("op/evacuate/north-a");
      await untilStatus(front, 200, "requests are served again");
    });

    // Guards against an instance that starts meanwhile and serves by what the copy holds.
    it("passes what is in force to an instance that starts", async () => {
      const { instances, kv, startInstance } = await startFleet();
      const copy = kv.copy();
      kv.put("op/config", formatConfig(2, { key: "k2" }));
      kv.put("op/evacuate/north-a", "{}");
      await until(
        "both are in force",
        async () => {
          const headers = { authorization: "Bearer k2" };
          const { address } = instances[0]!;
          return (await send(address, "/read/x", { headers })).status === 503;
        },
      );
      // The members' records are written at the start, so the copy has them.
      const items = new Map(kv.copy().items);
      for (const key of ["op/config", "op/evacuate/north-a"]) {
        const item = copy.items.get(key);
        if (item === undefined) items.delete(key);
        else items.set(key, item);
      }
      kv.restore({ ...copy, items });
      await Clock.sleep(1_500);
      await startInstance();
      const { address, ready } = instances[1]!;
      await Rig.waitReady(ready);
      const headers = { authorization: "Bearer k2" };
      const { status } = await send(address, "/read/x", { headers });
      expect(status).toBe(503);
      expect((await send(address, "/read/x")).status).toBe(401);
    });
  });
});
