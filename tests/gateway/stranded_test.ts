import { describe, expect, it } from "vitest";
import * as Clock from "../../src/clock.ts";
import type * as KvLink from "../../testing/kv/kv_link.ts";
import * as Cleanups from "../support/cleanups.ts";
import * as Rig from "../support/gateway_rig.ts";

const { send, until } = Rig;

describe("an instance that is partitioned from all targets", () => {
  const addCleanup = Cleanups.createCleanups();
  /** Time in which an instance notices the partition. */
  const NOTICE_MS = 2_000;
  const RESOLVE_PATH = "/anvilroute/resolve?region=north&zone=north-a";

  async function startFleet(instances = 2) {
    const fleet = await Rig.startFleet(addCleanup, {
      instances,
      targets: 4,
      hasLinks: true,
    });
    for (const { address, directory } of fleet.instances) {
      await until("all instances are in the directory", async () => {
        const { body } = await send(directory, RESOLVE_PATH);
        return body.split("127.").length === instances + 1;
      });
      expect((await send(address, "/read/x")).status).toBe(200);
    }
    return fleet;
  }

  async function partition(
    { links }: { readonly links: readonly KvLink.KvLink[] },
    how: KvLink.Partition,
  ) {
    for (const link of links) await link.partition(how);
  }

  /** Sends reads and orders of several affinity keys one after the other; returns the share that is served. */
  async function getServedShare(address: string, durationMs: number) {
    let sent = 0;
    let served = 0;
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
      const path = sent % 2 === 0 ? "/read/x" : "/order/x";
      const headers = { cookie: `X-Affinity-Key=${sent % 16}` };
      const { status } = await send(address, path, { headers });
      sent++;
      if (status === 200) served++;
      await Clock.sleep(10);
    }
    return served / sent;
  }

  for (const how of ["hanging", "reset", "refusing"] as const) {
    // Guards against callers that are refused by an instance which others could replace.
    it(`serves its callers through another instance (${how})`, async () => {
      const { instances, targets } = await startFleet();
      const [cut] = instances;
      await partition(cut!, how);
      await getServedShare(cut!.address, NOTICE_MS);
      expect(await getServedShare(cut!.address, 1_500))
        .toBeGreaterThanOrEqual(0.95);
      // No order has run twice on its way through two instances.
      const ran = targets.flatMap((target) => target.ran);
      expect(new Set(ran).size).toBe(ran.length);
    });
  }

  // Guards against callers that the directory keeps sending to it.
  it("isn't named in the directory until it reaches a target again", async () => {
    const { instances } = await startFleet();
    const [cut, other] = instances;
    const getNamed = async () =>
      (await send(other!.directory, RESOLVE_PATH)).body.split("127.").length -
      1;
    await partition(cut!, "hanging");
    await getServedShare(cut!.address, NOTICE_MS);
    expect(await getNamed()).toBe(1);
    for (const link of cut!.links) await link.heal();
    await until("it is named again", async () => await getNamed() === 2);
    expect(await getServedShare(cut!.address, 500)).toBe(1);
  });

  // Guards against a directory that names nobody, and requests that pass to and fro.
  it("stays in the directory and rejects at once if all instances are partitioned", async () => {
    const { instances } = await startFleet();
    for (const instance of instances) await partition(instance, "reset");
    await getServedShare(instances[0]!.address, NOTICE_MS);
    const { body } = await send(instances[0]!.directory, RESOLVE_PATH);
    expect(body.split("127.").length).toBe(3);
    const startedAtMs = performance.now();
    const response = await send(instances[0]!.address, "/order/x");
    expect(response.status).toBe(503);
    expect(response.headers["retry-after"]).toBeDefined();
    expect(performance.now() - startedAtMs).toBeLessThan(500);
  });
});
