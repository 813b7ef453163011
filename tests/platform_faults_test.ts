import * as Net from "node:net";
import * as fc from "fast-check";
import { afterEach, describe, expect, it } from "vitest";
import * as Clock from "../src/clock.ts";
import * as Client from "../src/platform/client.ts";
import * as FaultProxy from "../testing/fault_proxy/proxy.ts";
import * as Wait from "../testing/harness/wait.ts";
import * as Rig from "./support/platform_rig.ts";

/** Allowance for timers and scheduling delays on a busy machine. */
const SLACK_MS = 250;

const rig = Rig.createPlatformRig();

afterEach(async () => {
  await rig.platform.setFaults({
    availability: "up",
    slowMs: 0,
    loseWrites: 0,
    loseBy: "reset",
    loseOps: ["cas", "remove"],
    listLagMs: 0,
  });
});

describe("store client with lost responses", () => {
  it.each(["reset", "silence"] as const)(
    "never reports its own write as a conflict (%s)",
    async (loseBy) => {
      const key = rig.newKey();
      await rig.platform.setFaults({ loseWrites: 1, loseBy });
      const created = await rig.client.cas(key, 0, "a", {
        writeId: `${key}-1`,
      });
      await rig.platform.setFaults({ loseWrites: 1, loseBy });
      const version = created.unwrap();
      const updated = await rig.client.cas(key, version, "b", {
        writeId: `${key}-2`,
      });
      const entry = (await rig.client.get(key)).unwrap();
      expect(entry).toEqual({ key, value: "b", version: updated.unwrap() });
      expect((await rig.platform.setFaults({})).loseWrites).toBe(0);
    },
  );

  it("reports success for a removal that took effect", async () => {
    const key = rig.newKey();
    const version = (await rig.client.cas(key, 0, "a", { writeId: "w" }))
      .unwrap();
    await rig.platform.setFaults({ loseWrites: 1 });
    (await rig.client.remove(key, version)).unwrap();
    expect((await rig.client.get(key)).unwrap()).toBeUndefined();
  });

  it("resends a lease grant whose response is lost, and can renew and release the lease", async () => {
    await rig.platform.setFaults({ loseWrites: 1, loseOps: ["grant"] });
    const lease = (await rig.client.grantLease(5_000)).unwrap();
    (await rig.client.renewLease(lease)).unwrap();
    const { byOp } = await rig.platform.getCounters();
    expect(byOp["grant"]).toBeGreaterThanOrEqual(2);
    (await rig.client.releaseLease(lease)).unwrap();
  });

  it("reports an unknown outcome for a write that may have been overwritten", async () => {
    const key = rig.newKey();
    const first = (await rig.client.cas(key, 0, "a", { writeId: "1" }))
      .unwrap();
    await rig.platform.setFaults({ loseWrites: 1, loseBy: "silence" });
    const lostWrite = rig.client.cas(key, first, "b", { writeId: "2" });
    const otherClient = Client.createPlatformClient({
      address: rig.platform.address,
      timeoutMs: Rig.TIMEOUT_MS,
    });
    const second = await Wait.waitFor(
      async () => {
        const entry = (await otherClient.get(key)).unwrap();
        return entry?.value === "b" ? entry.version : undefined;
      },
      Rig.TIMEOUT_MS / 2,
      "the write to take effect",
    );
    (await otherClient.cas(key, second, "c", { writeId: "3" })).unwrap();
    expect(Rig.getCode(await lostWrite)).toBe("store-write-unknown");
    await otherClient.close();
  });

  it("reports an unknown outcome when the store goes down after a lost response", async () => {
    const key = rig.newKey();
    await rig.platform.setFaults({ loseWrites: 1, loseBy: "silence" });
    const pending = rig.client.cas(key, 0, "a", { writeId: "w" });
    const isWritten = async () =>
      (await rig.platform.getEntries()).some((entry) => entry.key === key);
    await Wait.waitFor(
      isWritten,
      Rig.TIMEOUT_MS / 2,
      "the write to take effect",
    );
    await rig.platform.setFaults({ availability: "refuse" });
    expect(Rig.getCode(await pending)).toBe("store-write-unknown");
  });
});

describe("store client on an unreliable connection", () => {
  it("applies no write twice and reports no conflict when the stream is cut at any byte", async () => {
    const proxy = await FaultProxy.createFaultProxy({
      target: rig.platform.address,
    });
    const proxiedClient = Client.createPlatformClient({
      address: proxy.address,
      timeoutMs: 200,
    });
    const key = rig.newKey();
    const first = (await rig.client.cas(key, 0, "0", { writeId: "0" }))
      .unwrap();
    let lastEntry = { version: first, value: "0" };
    let writes = 0;
    const fault = fc.record({
      direction: fc.constantFrom("toTarget", "toClient"),
      truncateAfterBytes: fc.integer({ min: 0, max: 500 }),
      truncateBy: fc.constantFrom("close", "reset"),
    });
    const faultDurationMs = fc.constantFrom(50, 1_000);
    const outcomes: string[] = [];
    await fc.assert(
      fc.asyncProperty(
        fault,
        faultDurationMs,
        async ({ direction, ...faults }, durationMs) => {
          await proxy.setFaults({ [direction]: faults });
          const value = String(++writes);
          const writing = proxiedClient.cas(key, lastEntry.version, value, {
            writeId: value,
          });
          await Promise.race([writing, Clock.sleep(durationMs)]);
          await proxy.heal();
          const res = await writing;
          outcomes.push(Rig.getCode(res));
          // Resetting the connections prevents a late copy of the write from arriving.
          proxy.resetConnections();
          const entry = (await rig.client.get(key)).unwrap();
          const isWritten = entry?.value === value;
          expect(isWritten || entry?.value === lastEntry.value).toBe(true);
          if (res.isOk()) expect(entry?.version).toBe(res.unwrap());
          if (res.isOk()) expect(isWritten).toBe(true);
          else expect(Rig.getCode(res)).toBe("store-write-unknown");
          if (entry !== undefined) lastEntry = entry;
        },
      ),
      { numRuns: 60, endOnFailure: true },
    );
    expect(new Set(outcomes)).toEqual(new Set(["ok", "store-write-unknown"]));
    await proxiedClient.close();
    await proxy.stop();
  });
});

describe("store client with a faulty store", () => {
  it.each(["refuse", "hang"] as const)(
    "ends every call within its time limit (%s)",
    async (availability) => {
      await rig.platform.setFaults({ availability });
      const calls: readonly (() => Promise<{ isOk(): boolean }>)[] = [
        () => rig.client.get("a"),
        () => rig.client.list("a"),
        () => rig.client.cas("a", 0, "v", { writeId: "w" }),
        () => rig.client.remove("a", 1),
        () => rig.client.grantLease(1_000),
        () => rig.client.renewLease("x"),
        () => rig.client.releaseLease("x"),
        () => rig.client.listInstances(),
        () => rig.client.watch("a", 1, 0),
      ];
      const durations = await Promise.all(calls.map(async (call) => {
        const startedAt = performance.now();
        expect((await call()).isOk()).toBe(false);
        return performance.now() - startedAt;
      }));
      expect(Math.max(...durations)).toBeLessThan(Rig.TIMEOUT_MS + SLACK_MS);
    },
  );

  it("dates the last response to when its call was sent and keeps that time in an outage", async () => {
    await rig.platform.setFaults({ slowMs: 200 });
    const before = performance.now();
    (await rig.client.get("a")).unwrap();
    const responseAtMs = rig.client.getLastResponseAtMs() ?? 0;
    expect(responseAtMs).toBeGreaterThanOrEqual(before);
    expect(performance.now() - responseAtMs).toBeGreaterThanOrEqual(190);
    await rig.platform.setFaults({ availability: "hang", slowMs: 0 });
    await rig.client.get("a");
    expect(rig.client.getLastResponseAtMs()).toBe(responseAtMs);
  });

  it("does not report an absent key when another server returns 404", async () => {
    const otherClient = Client.createPlatformClient({
      address: rig.platform.control,
      timeoutMs: Rig.TIMEOUT_MS,
    });
    expect(Rig.getCode(await otherClient.get("a"))).toBe("store-error");
    await otherClient.close();
  });

  it("reports a server that sends malformed HTTP as unreachable, without a crash", async () => {
    const server = Net.createServer((socket) => {
      socket.on("error", () => {});
      socket.end("not http\r\n\r\n");
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as Net.AddressInfo;
    const otherClient = Client.createPlatformClient({
      address: `127.0.0.1:${port}`,
      timeoutMs: Rig.TIMEOUT_MS,
    });
    expect(Rig.getCode(await otherClient.get("a"))).toBe("store-unreachable");
    await otherClient.close();
    server.close();
  });

  it("finds its lease expired when the lease ran out during an outage", async () => {
    const key = rig.newKey();
    const leaseId = (await rig.client.grantLease(200)).unwrap();
    (await rig.client.cas(key, 0, "v", { writeId: "w", leaseId })).unwrap();
    await rig.platform.setFaults({ availability: "refuse" });
    const hasExpired = async () =>
      !(await rig.platform.getEntries()).some((entry) => entry.key === key);
    await Wait.waitFor(hasExpired, 2_000, "expiry during the outage");
    await rig.platform.setFaults({ availability: "up" });
    expect(Rig.getCode(await rig.client.renewLease(leaseId))).toBe(
      "lease-lapsed",
    );
  });

  it("receives every change in later watches, also one that happens between two watches", async () => {
    const key = rig.newKey();
    const start = (await rig.client.watch(key, 0, 0)).unwrap();
    expect(start.isChanged).toBe(true);
    const pending = rig.client.watch(key, start.revision, 5_000);
    const version = (await rig.client.cas(key, 0, "a", { writeId: "1" }))
      .unwrap();
    const first = (await pending).unwrap();
    expect(first.entries).toEqual([{ key, value: "a", version }]);

    const interruptedWatch = rig.client.watch(key, first.revision, 5_000);
    await Wait.waitFor(
      async () => (await rig.platform.getCounters()).pendingWatches === 1,
      2_000,
      "the watch to arrive",
    );
    const slowClient = Client.createPlatformClient({
      address: rig.platform.address,
      timeoutMs: 5_000,
    });
    await rig.platform.setFaults({ slowMs: 300 });
    const lateWrite = slowClient.cas(key, version, "b", { writeId: "2" });
    await rig.platform.setFaults({ availability: "refuse" });
    expect(Rig.getCode(await interruptedWatch)).toBe("store-unreachable");
    await rig.platform.setFaults({ availability: "up", slowMs: 0 });
    (await lateWrite).unwrap();
    const next = (await rig.client.watch(key, first.revision, 5_000)).unwrap();
    expect(next.entries.map((entry) => entry.value)).toEqual(["b"]);
    await slowClient.close();
  });
});
