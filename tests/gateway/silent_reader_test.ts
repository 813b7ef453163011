import { afterEach, describe, expect, it } from "vitest";
import * as Clock from "../../src/clock.ts";
import * as Rig from "../support/gateway_rig.ts";

const cleanups: (() => unknown)[] = [];
const addCleanup = (release: () => unknown) => void cleanups.push(release);
afterEach(async () => {
  for (const release of cleanups.splice(0).reverse()) await release();
});

/** Time within which a change in the store has to be in force at instances that the store serves, ms. */
const IN_FORCE_MS = 2_500;
/** Longer than a reader's watch. */
const PARTITION_MS = 6_000;

/** A domain of instances, one of which reads the store for all. */
async function start(instances: number) {
  const fleet = await Rig.startFleet(addCleanup, {
    instances,
    targets: 3,
    hasStoreLinks: true,
  });
  const isReader = (lines: readonly string[]) =>
    lines.findLast((line) => line.includes("event=store-reader "))
      ?.includes("isReader=true") ?? false;
  const getReaders = () =>
    fleet.instances.filter(({ lines }) => isReader(lines));
  await Rig.until(
    "one instance reads for the domain",
    () => getReaders().length === 1,
  );
  // The readers of the start have ended their last watches.
  await Clock.sleep(PARTITION_MS);
  const [reader] = getReaders();
  const others = fleet.instances.filter((instance) => instance !== reader);

  /** Sends orders for `ms` at an even pace to the instances; returns their statuses and when they were sent. */
  async function sendOrders(
    ms: number,
    to: typeof others,
  ): Promise<{ readonly status: number; readonly sentAtMs: number }[]> {
    const pending: Promise<{ status: number; sentAtMs: number }>[] = [];
    const endMs = performance.now() + ms;
    for (let i = 0; performance.now() < endMs; i++) {
      const { address } = to[i % to.length]!;
      const sentAtMs = performance.now();
      const headers = { cookie: `X-Affinity-Key=${i}` };
      pending.push(
        Rig.send(address, "/order/x", { headers })
          .then(({ status }) => ({ status, sentAtMs })),
      );
      await Clock.sleep(10);
    }
    return await Promise.all(pending);
  }
  return { ...fleet, reader: reader!, others, sendOrders };
}

// Guards against instances that wait for seconds for the changes of a reader which the
// store does not respond to: the reader's open watch looked like a store without changes.
describe("while the store gives no response to the only reader of a domain", () => {
  it("the other instances send nothing to a target that leaves", async () => {
    const { others, reader, sendOrders, targets } = await start(4);
    await reader.storeLink!.partition("hanging");
    const [leaving] = targets;
    leaving!.register("draining");
    const acceptedAtMs = performance.now();
    const orders = await sendOrders(PARTITION_MS, others);
    const late = leaving!.arrivedAtMs.filter((atMs) =>
      atMs > acceptedAtMs + IN_FORCE_MS
    );
    expect(late).toEqual([]);
    expect(orders.filter(({ status }) => status !== 200)).toEqual([]);
  });

  it("the other instances reject a key that was withdrawn", async () => {
    const { kv, others, reader, sendOrders } = await start(4);
    await reader.storeLink!.partition("hanging");
    kv.put("op/config", Rig.formatConfig(2, { key: "k2" }));
    const acceptedAtMs = performance.now();
    const orders = await sendOrders(PARTITION_MS, others);
    const late = orders.filter(({ sentAtMs, status }) =>
      sentAtMs > acceptedAtMs + IN_FORCE_MS && status !== 401
    );
    expect(late).toEqual([]);
  });

  // Guards against a reader that is never replaced: its failure was known only after the
  // last response to it had become so old that the whole store counted as down.
  it("the other instances learn of changes for as long as that lasts", async () => {
    const { kv, others, reader, sendOrders } = await start(4);
    await reader.storeLink!.partition("hanging");
    await Clock.sleep(3 * PARTITION_MS);
    kv.put("op/config", Rig.formatConfig(2, { key: "k2" }));
    const acceptedAtMs = performance.now();
    const orders = await sendOrders(PARTITION_MS, others);
    const late = orders.filter(({ sentAtMs, status }) =>
      sentAtMs > acceptedAtMs + IN_FORCE_MS && status !== 401
    );
    expect(late).toEqual([]);
  });

  // The store may not respond to the first instances that step in, either.
  it("two of five instances still learn of a change when it responds to them only", async () => {
    const { kv, others, reader, sendOrders } = await start(5);
    const served = others.slice(0, 2);
    for (const instance of [reader, ...others.slice(2)]) {
      await instance.storeLink!.partition("hanging");
    }
    kv.put("op/config", Rig.formatConfig(2, { key: "k2" }));
    const acceptedAtMs = performance.now();
    const orders = await sendOrders(PARTITION_MS, served);
    const late = orders.filter(({ sentAtMs, status }) =>
      sentAtMs > acceptedAtMs + IN_FORCE_MS && status !== 401
    );
    expect(late).toEqual([]);
  });
});

describe("while the store responds to all instances of a domain", () => {
  // Guards against calls of instances that step in for a reader without need.
  it("one of them reads it, and renewals of leases keep the others informed", async () => {
    const { instances, kv } = await start(4);
    const before = new Map(kv.getCalls());
    await Clock.sleep(10_000);
    const countCalls = (call: string) =>
      (kv.getCalls().get(call) ?? 0) - (before.get(call) ?? 0);
    expect(countCalls("kv-watch")).toBeLessThanOrEqual(5);
    // Three members renew their leases every 8 s; the reader asks once for each response to a watch.
    expect(countCalls("kv-keep")).toBeLessThanOrEqual(11);
    const lines = instances.flatMap(({ lines }) => lines);
    expect(lines.filter((line) => line.includes("store-contact-lost")))
      .toEqual([]);
  });
});
