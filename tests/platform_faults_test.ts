import * as Net from "node:net";
import * as fc from "fast-check";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import * as Clock from "../src/clock.ts";
import * as Client from "../src/platform/client.ts";
import * as ResultCodes from "../src/result_codes.ts";
import * as FaultProxy from "../testing/fault_proxy/proxy.ts";
import * as Platform from "../testing/harness/platform.ts";
import * as Process from "../testing/harness/process.ts";
import * as Wait from "../testing/harness/wait.ts";

const TIMEOUT_MS = 600;
/** Timers and scheduling on a busy machine. */
const SLACK_MS = 250;

let platform: Platform.PlatformProcess;
let client: Client.ClosablePlatformClient;
let keys = 0;

/** A key that no other test uses. */
function newKey(): string {
  return `test/${++keys}`;
}

function getCode(
  res: { isErr(): boolean; unwrapErr(): ResultCodes.Failure },
): string {
  return res.isErr() ? res.unwrapErr().code.name : "ok";
}

beforeAll(async () => {
  platform = await Platform.startPlatform();
  const address = platform.address;
  client = Client.createPlatformClient({ address, timeoutMs: TIMEOUT_MS });
});

afterEach(async () => {
  await platform.setFaults({
    availability: "up",
    slowMs: 0,
    loseWrites: 0,
    loseBy: "reset",
    loseOps: ["cas", "remove"],
    listLagMs: 0,
  });
});

afterAll(async () => {
  await client.close();
  await Process.killAll();
});

describe("lost answers", () => {
  it.each(["reset", "silence"] as const)(
    "guards against a conflict reported for the own write (%s)",
    async (loseBy) => {
      const key = newKey();
      await platform.setFaults({ loseWrites: 1, loseBy });
      const made = await client.cas(key, 0, "a", { writeId: `${key}-1` });
      await platform.setFaults({ loseWrites: 1, loseBy });
      const version = made.unwrap();
      const changed = await client.cas(key, version, "b", {
        writeId: `${key}-2`,
      });
      const entry = (await client.get(key)).unwrap();
      expect(entry).toEqual({ key, value: "b", version: changed.unwrap() });
      expect((await platform.setFaults({})).loseWrites).toBe(0);
    },
  );

  it("guards against a removal reported as failed that took effect", async () => {
    const key = newKey();
    const version = (await client.cas(key, 0, "a", { writeId: "w" })).unwrap();
    await platform.setFaults({ loseWrites: 1 });
    (await client.remove(key, version)).unwrap();
    expect((await client.get(key)).unwrap()).toBeUndefined();
  });

  it("guards against a second lease when the answer to the grant is lost", async () => {
    await platform.setFaults({ loseWrites: 1, loseOps: ["grant"] });
    const lease = (await client.grantLease(5_000)).unwrap();
    (await client.renewLease(lease)).unwrap();
    const { byOp } = await platform.getCounters();
    expect(byOp["grant"]).toBeGreaterThanOrEqual(2);
    (await client.releaseLease(lease)).unwrap();
  });

  it("guards against calling a write conflicting that may have been overwritten", async () => {
    const key = newKey();
    const first = (await client.cas(key, 0, "a", { writeId: "1" })).unwrap();
    await platform.setFaults({ loseWrites: 1, loseBy: "silence" });
    const lost = client.cas(key, first, "b", { writeId: "2" });
    const other = Client.createPlatformClient({
      address: platform.address,
      timeoutMs: TIMEOUT_MS,
    });
    const second = await Wait.waitFor(
      async () => {
        const entry = (await other.get(key)).unwrap();
        return entry?.value === "b" ? entry.version : undefined;
      },
      TIMEOUT_MS / 2,
      "the write to take effect",
    );
    (await other.cas(key, second, "c", { writeId: "3" })).unwrap();
    expect(getCode(await lost)).toBe("store-write-unknown");
    await other.close();
  });

  it("guards against a lost write that is reported as not written when the store then goes down", async () => {
    const key = newKey();
    await platform.setFaults({ loseWrites: 1, loseBy: "silence" });
    const pending = client.cas(key, 0, "a", { writeId: "w" });
    const isWritten = async () =>
      (await platform.getEntries()).some((one) => one.key === key);
    await Wait.waitFor(isWritten, TIMEOUT_MS / 2, "the write to take effect");
    await platform.setFaults({ availability: "refuse" });
    expect(getCode(await pending)).toBe("store-write-unknown");
  });
});

describe("behind a broken link", () => {
  it("guards against a write applied twice or called conflicting when answers break at any byte", async () => {
    const proxy = await FaultProxy.createFaultProxy({
      target: platform.address,
    });
    const behind = Client.createPlatformClient({
      address: proxy.address,
      timeoutMs: 200,
    });
    const key = newKey();
    const first = (await client.cas(key, 0, "0", { writeId: "0" })).unwrap();
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
        outcomes.push(getCode(res));
        // Resets the connections, so that no late copy of the write arrives.
        proxy.resetConnections();
        const entry = (await client.get(key)).unwrap();
        const isWritten = entry?.value === value;
        expect(isWritten || entry?.value === known.value).toBe(true);
        if (res.isOk()) expect(entry?.version).toBe(res.unwrap());
        if (res.isOk()) expect(isWritten).toBe(true);
        else expect(getCode(res)).toBe("store-write-unknown");
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
      await platform.setFaults({ availability });
      const calls: readonly (() => Promise<{ isOk(): boolean }>)[] = [
        () => client.get("a"),
        () => client.list("a"),
        () => client.cas("a", 0, "v", { writeId: "w" }),
        () => client.remove("a", 1),
        () => client.grantLease(1_000),
        () => client.renewLease("x"),
        () => client.releaseLease("x"),
        () => client.listInstances(),
        () => client.watch("a", 1, 0),
      ];
      const durations = await Promise.all(calls.map(async (call) => {
        const startedAt = performance.now();
        expect((await call()).isOk()).toBe(false);
        return performance.now() - startedAt;
      }));
      expect(Math.max(...durations)).toBeLessThan(TIMEOUT_MS + SLACK_MS);
    },
  );

  it("guards against an age of the last answer that counts from its arrival", async () => {
    await platform.setFaults({ slowMs: 200 });
    const before = performance.now();
    (await client.get("a")).unwrap();
    const at = client.getLastAnsweredAtMs() ?? 0;
    expect(at).toBeGreaterThanOrEqual(before);
    expect(performance.now() - at).toBeGreaterThanOrEqual(190);
    await platform.setFaults({ availability: "hang", slowMs: 0 });
    await client.get("a");
    expect(client.getLastAnsweredAtMs()).toBe(at);
  });

  it("guards against another server's 404 taken as an absent key", async () => {
    const other = Client.createPlatformClient({
      address: platform.control,
      timeoutMs: TIMEOUT_MS,
    });
    expect(getCode(await other.get("a"))).toBe("store-error");
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
      timeoutMs: TIMEOUT_MS,
    });
    expect(getCode(await other.get("a"))).toBe("store-unreachable");
    await other.close();
    server.close();
  });

  it("guards against an outage that stops the lease's time", async () => {
    const key = newKey();
    const leaseId = (await client.grantLease(200)).unwrap();
    (await client.cas(key, 0, "v", { writeId: "w", leaseId })).unwrap();
    await platform.setFaults({ availability: "refuse" });
    const isGone = async () =>
      !(await platform.getEntries()).some((one) => one.key === key);
    await Wait.waitFor(isGone, 2_000, "expiry during the outage");
    await platform.setFaults({ availability: "up" });
    expect(getCode(await client.renewLease(leaseId))).toBe("lease-lapsed");
  });

  it("guards against a change missed between two watches or during an outage", async () => {
    const key = newKey();
    const start = (await client.watch(key, 0, 0)).unwrap();
    expect(start.isChanged).toBe(true);
    const pending = client.watch(key, start.revision, 5_000);
    const version = (await client.cas(key, 0, "a", { writeId: "1" })).unwrap();
    const first = (await pending).unwrap();
    expect(first.entries).toEqual([{ key, value: "a", version }]);

    const cut = client.watch(key, first.revision, 5_000);
    await Wait.waitFor(
      async () => (await platform.getCounters()).pendingWatches === 1,
      2_000,
      "the watch to arrive",
    );
    const slow = Client.createPlatformClient({
      address: platform.address,
      timeoutMs: 5_000,
    });
    await platform.setFaults({ slowMs: 300 });
    const late = slow.cas(key, version, "b", { writeId: "2" });
    await platform.setFaults({ availability: "refuse" });
    expect(getCode(await cut)).toBe("store-unreachable");
    await platform.setFaults({ availability: "up", slowMs: 0 });
    (await late).unwrap();
    const next = (await client.watch(key, first.revision, 5_000)).unwrap();
    expect(next.entries.map((one) => one.value)).toEqual(["b"]);
    await slow.close();
  });
});
