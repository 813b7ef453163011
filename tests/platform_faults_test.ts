import * as Net from "node:net";
import * as fc from "fast-check";
import { afterEach, describe, expect, it } from "vitest";
import * as Clock from "../src/clock.ts";
import * as Client from "../src/platform/client.ts";
import * as FaultProxy from "../testing/fault_proxy/proxy.ts";
import * as Wait from "../testing/harness/wait.ts";
import * as Rig from "./support/platform_rig.ts";

/** Timers and scheduling on a busy machine. */
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

describe("lost answers", () => {
  it.each(["reset", "silence"] as const)(
    "guards against a conflict reported for the own write (%s)",
    async (loseBy) => {
      const key = rig.newKey();
      await rig.platform.setFaults({ loseWrites: 1, loseBy });
      const made = await rig.client.cas(key, 0, "a", { writeId: `${key}-1` });
      await rig.platform.setFaults({ loseWrites: 1, loseBy });
      const version = made.unwrap();
      const changed = await rig.client.cas(key, version, "b", {
        writeId: `${key}-2`,
      });
      const entry = (await rig.client.get(key)).unwrap();
      expect(entry).toEqual({ key, value: "b", version: changed.unwrap() });
      expect((await rig.platform.setFaults({})).loseWrites).toBe(0);
    },
  );

  it("guards against a removal reported as failed that took effect", async () => {
    const key = rig.newKey();
    const version = (await rig.client.cas(key, 0, "a", { writeId: "w" }))
      .unwrap();
    await rig.platform.setFaults({ loseWrites: 1 });
    (await rig.client.remove(key, version)).unwrap();
    expect((await rig.client.get(key)).unwrap()).toBeUndefined();
  });

  it("guards against a second lease when the answer to the grant is lost", async () => {
    await rig.platform.setFaults({ loseWrites: 1, loseOps: ["grant"] });
    const lease = (await rig.client.grantLease(5_000)).unwrap();
    (await rig.client.renewLease(lease)).unwrap();
    const { byOp } = await rig.platform.getCounters();
    expect(byOp["grant"]).toBeGreaterThanOrEqual(2);
    (await rig.client.releaseLease(lease)).unwrap();
  });

  it("guards against calling a write conflicting that may have been overwritten", async () => {
    const key = rig.newKey();
    const first = (await rig.client.cas(key, 0, "a", { writeId: "1" }))
      .unwrap();
    await rig.platform.setFaults({ loseWrites: 1, loseBy: "silence" });
    const lost = rig.client.cas(key, first, "b", { writeId: "2" });
    const other = Client.createPlatformClient({
      address: rig.platform.address,
      timeoutMs: Rig.TIMEOUT_MS,
    });
    const second = await Wait.waitFor(
      async () => {
        const entry = (await other.get(key)).unwrap();
        return entry?.value === "b" ? entry.version : undefined;
      },
      Rig.TIMEOUT_MS / 2,
      "the write to take effect",
    );
    (await other.cas(key, second, "c", { writeId: "3" })).unwrap();
    expect(Rig.getCode(await lost)).toBe("store-write-unknown");
    await other.close();
  });

  it("guards against a lost write that is reported as not written when the store then goes down", async () => {
    const key = rig.newKey();
    await rig.platform.setFaults({ loseWrites: 1, loseBy: "silence" });
    const pending = rig.client.cas(key, 0, "a", { writeId: "w" });
    const isWritten = async () =>
      (await rig.platform.getEntries()).some((one) => one.key === key);
    await Wait.waitFor(
      isWritten,
      Rig.TIMEOUT_MS / 2,
      "the write to take effect",
    );
    await rig.platform.setFaults({ availability: "refuse" });
    expect(Rig.getCode(await pending)).toBe("store-write-unknown");
  });
});

describe("behind a broken link", () => {
  it("guards against a write applied twice or called conflicting when answers break at any byte", async () => {
    const proxy = await FaultProxy.createFaultProxy({
      target: rig.platform.address,
    });
    const behind = Client.createPlatformClient({
      address: proxy.address,
      timeoutMs: 200,
    });
    const key = rig.newKey();
    const first = (await rig.client.cas(key, 0, "0", { writeId: "0" }))
      .unwrap();
    let known = { version: first, value: "0" };
    let writes = 0;
    const fault = fc.record({
      way: fc.constantFrom("toTarget", "toClient"),
      truncateAfterBytes: fc.integer({ min: 0, max: 500 }),
      truncateBy: fc.constantFrom("close", "reset"),
    });
    const lastsMs = fc.constantFrom(50, 1_000);
    const outcomes: string[] = [];
    await fc.assert(
      fc.asyncProperty(fault, lastsMs, async ({ way, ...faults }, ms) => {
        await proxy.setFaults({ [way]: faults });
        const value = String(++writes);
        const writing = behind.cas(key, known.version, value, {
          writeId: value,
        });
        await Promise.race([writing, Clock.sleep(ms)]);
        await proxy.heal();
        const res = await writing;
        outcomes.push(Rig.getCode(res));
        // Resets the connections, so that no late copy of the write arrives.
        proxy.resetConnections();
        const entry = (await rig.client.get(key)).unwrap();
        const isWritten = entry?.value === value;
        expect(isWritten || entry?.value === known.value).toBe(true);
        if (res.isOk()) expect(entry?.version).toBe(res.unwrap());
        if (res.isOk()) expect(isWritten).toBe(true);
        else expect(Rig.getCode(res)).toBe("store-write-unknown");
        if (entry !== undefined) known = entry;
      }),
      { numRuns: 60, endOnFailure: true },
    );
    expect(new Set(outcomes)).toEqual(new Set(["ok", "store-write-unknown"]));
    await behind.close();
    await proxy.stop();
  });
});

describe("outages", () => {
  it.each(["refuse", "hang"] as const)(
    "guards against calls that do not end within their time-out (%s)",
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

  it("guards against an age of the last answer that counts from its arrival", async () => {
    await rig.platform.setFaults({ slowMs: 200 });
    const before = performance.now();
    (await rig.client.get("a")).unwrap();
    const at = rig.client.getLastResponseAtMs() ?? 0;
    expect(at).toBeGreaterThanOrEqual(before);
    expect(performance.now() - at).toBeGreaterThanOrEqual(190);
    await rig.platform.setFaults({ availability: "hang", slowMs: 0 });
    await rig.client.get("a");
    expect(rig.client.getLastResponseAtMs()).toBe(at);
  });

  it("guards against another server's 404 taken as an absent key", async () => {
    const other = Client.createPlatformClient({
      address: rig.platform.control,
      timeoutMs: Rig.TIMEOUT_MS,
    });
    expect(Rig.getCode(await other.get("a"))).toBe("store-error");
    await other.close();
  });

  it("guards against a crash on garbage instead of HTTP", async () => {
    const server = Net.createServer((socket) => {
      socket.on("error", () => {});
      socket.end("not http\r\n\r\n");
    });
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address() as Net.AddressInfo;
    const other = Client.createPlatformClient({
      address: `127.0.0.1:${port}`,
      timeoutMs: Rig.TIMEOUT_MS,
    });
    expect(Rig.getCode(await other.get("a"))).toBe("store-unreachable");
    await other.close();
    server.close();
  });

  it("guards against an outage that stops the lease's time", async () => {
    const key = rig.newKey();
    const leaseId = (await rig.client.grantLease(200)).unwrap();
    (await rig.client.cas(key, 0, "v", { writeId: "w", leaseId })).unwrap();
    await rig.platform.setFaults({ availability: "refuse" });
    const isGone = async () =>
      !(await rig.platform.getEntries()).some((one) => one.key === key);
    await Wait.waitFor(isGone, 2_000, "expiry during the outage");
    await rig.platform.setFaults({ availability: "up" });
    expect(Rig.getCode(await rig.client.renewLease(leaseId))).toBe(
      "lease-lapsed",
    );
  });

  it("guards against a change missed between two watches or during an outage", async () => {
    const key = rig.newKey();
    const start = (await rig.client.watch(key, 0, 0)).unwrap();
    expect(start.isChanged).toBe(true);
    const pending = rig.client.watch(key, start.revision, 5_000);
    const version = (await rig.client.cas(key, 0, "a", { writeId: "1" }))
      .unwrap();
    const first = (await pending).unwrap();
    expect(first.entries).toEqual([{ key, value: "a", version }]);

    const cut = rig.client.watch(key, first.revision, 5_000);
    await Wait.waitFor(
      async () => (await rig.platform.getCounters()).pendingWatches === 1,
      2_000,
      "the watch to arrive",
    );
    const slow = Client.createPlatformClient({
      address: rig.platform.address,
      timeoutMs: 5_000,
    });
    await rig.platform.setFaults({ slowMs: 300 });
    const late = slow.cas(key, version, "b", { writeId: "2" });
    await rig.platform.setFaults({ availability: "refuse" });
    expect(Rig.getCode(await cut)).toBe("store-unreachable");
    await rig.platform.setFaults({ availability: "up", slowMs: 0 });
    (await late).unwrap();
    const next = (await rig.client.watch(key, first.revision, 5_000)).unwrap();
    expect(next.entries.map((one) => one.value)).toEqual(["b"]);
    await slow.close();
  });
});
