import * as fc from "fast-check";
import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import * as Clock from "../src/clock.ts";
import * as Client from "../src/platform/client.ts";
import * as Registration from "../testing/platform/registration.ts";
import * as Wait from "../testing/harness/wait.ts";
import * as Rig from "./support/platform_rig.ts";

const rig = Rig.createPlatformRig();

afterEach(async () => {
  await rig.platform.setFaults({ listLagMs: 0 });
});

describe("platform store", () => {
  it("accepts exactly one of 40 concurrent writes, so that no two writers report success", async () => {
    const key = rig.newKey();
    const results = await Promise.all(
      Array.from(
        { length: 40 },
        (_, i) =>
          rig.client.cas(key, 0, `v${i}`, { writeId: `race-${key}-${i}` }),
      ),
    );
    const winners = results.flatMap((res, i) => res.isOk() ? [i] : []);
    expect(winners).toHaveLength(1);
    const losers = results.filter((res) => res.isErr()).map(Rig.getCode);
    expect(new Set(losers)).toEqual(new Set(["store-conflict"]));
    const entry = (await rig.client.get(key)).unwrap();
    expect(entry?.value).toBe(`v${winners[0]}`);
    expect(entry?.version).toBe(results[winners[0] ?? 0]?.unwrap());
  });

  it("never reuses a version that a key had before its removal", async () => {
    const key = rig.newKey();
    const first = (await rig.client.cas(key, 0, "a", { writeId: "a" }))
      .unwrap();
    (await rig.client.remove(key, first)).unwrap();
    expect((await rig.client.get(key)).unwrap()).toBeUndefined();
    const second = (await rig.client.cas(key, 0, "b", { writeId: "b" }))
      .unwrap();
    expect(second).toBeGreaterThan(first);
    expect(Rig.getCode(await rig.client.remove(key, first))).toBe(
      "store-conflict",
    );
    expect((await rig.client.get(key)).unwrap()?.value).toBe("b");
  });

  it("behaves like a map with versions under any sequence of writes", async () => {
    const op = fc.record({
      kind: fc.constantFrom("cas", "stale-cas", "remove"),
      name: fc.constantFrom("a", "b/c", "b/é ?&#%"),
      value: fc.string({ unit: "binary", maxLength: 20 }),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(op, { maxLength: 12 }), async (ops) => {
        const prefix = `${rig.newKey()}/`;
        const model = new Map<string, { value: string; version: number }>();
        for (const [i, { kind, name, value }] of ops.entries()) {
          const key = prefix + name;
          const version = model.get(key)?.version ?? 0;
          const writeId = `${prefix}${i}`;
          if (kind === "remove") {
            const res = await rig.client.remove(key, Math.max(version, 1));
            expect(res.isOk()).toBe(version > 0);
            model.delete(key);
          } else if (kind === "cas") {
            const res = await rig.client.cas(key, version, value, { writeId });
            model.set(key, { value, version: res.unwrap() });
          } else {
            const res = await rig.client.cas(key, version + 1, value, {
              writeId,
            });
            expect(Rig.getCode(res)).toBe("store-conflict");
          }
        }
        const expected = [...model].map(([key, entry]) => ({ key, ...entry }))
          .sort((a, b) => a.key < b.key ? -1 : 1);
        expect((await rig.client.list(prefix)).unwrap()).toEqual(expected);
      }),
      { numRuns: 25, verbose: 1 },
    );
  });

  it("rejects a value that exceeds the size limit", async () => {
    const key = rig.newKey();
    const longestValue = "é".repeat(Client.MAX_VALUE_BYTES / 2);
    (await rig.client.cas(key, 0, longestValue, { writeId: "fits" })).unwrap();
    expect((await rig.client.get(key)).unwrap()?.value).toBe(longestValue);
    const res = await rig.client.cas(rig.newKey(), 0, `${longestValue}x`, {
      writeId: "over",
    });
    expect(Rig.getCode(res)).toBe("value-too-large");
    const status = await put(rig.newKey(), {
      ...CAS,
      value: `${longestValue}x`,
    });
    expect(status).toBe(413);
  });
});

const CAS = { expectedVersion: 0, value: "v", writeId: "w" };

async function put(key: string, body: unknown): Promise<number> {
  const query = new URLSearchParams({ key });
  const res = await request(
    `http://${rig.platform.address}/v1/entry?${query}`,
    {
      method: "PUT",
      body: typeof body === "string" ? body : JSON.stringify(body),
    },
  );
  await res.body.dump();
  return res.statusCode;
}

describe("platform server", () => {
  const key = "test/malformed";
  it.each([
    ["no JSON", "{"],
    ["no object", "[]"],
    ["no version", { ...CAS, expectedVersion: undefined }],
    ["a negative version", { ...CAS, expectedVersion: -1 }],
    ["a fraction as version", { ...CAS, expectedVersion: 0.5 }],
    ["a number as value", { ...CAS, value: 1 }],
    ["no write id", { ...CAS, writeId: "" }],
    ["a number as lease", { ...CAS, leaseId: 7 }],
  ])("rejects without effect a write that has %s", async (_, body) => {
    expect(await put(key, body)).toBe(400);
    expect((await rig.client.get(key)).unwrap()).toBeUndefined();
  });

  it("rejects an unknown path, a wrong method, and a missing or malformed field", async () => {
    const base = `http://${rig.platform.address}`;
    const getStatus = async (path: string, method: "GET" | "POST" = "GET") => {
      const res = await request(base + path, { method });
      await res.body.dump();
      return res.statusCode;
    };
    expect(await getStatus("/v2/entry?key=a")).toBe(404);
    expect(await getStatus("/v1/entry")).toBe(400);
    expect(await getStatus("/v1/entry?key=a", "POST")).toBe(405);
    expect(await getStatus("/v1/watch?after=x&waitMs=1")).toBe(400);
    expect(await getStatus("/v1/watch?after=1&waitMs=99999999")).toBe(400);
    expect(await getStatus("/v1/leases", "POST")).toBe(400);
  });
});

describe("store lease", () => {
  it("removes its keys when it expires and rejects later writes", async () => {
    const [unleased, leased] = [rig.newKey(), rig.newKey()];
    const lease = (await rig.client.grantLease(300)).unwrap();
    const opts = { writeId: "w", leaseId: lease };
    (await rig.client.cas(unleased, 0, "v", { writeId: "w" })).unwrap();
    (await rig.client.cas(leased, 0, "v", opts)).unwrap();
    const hasExpired = async () =>
      (await rig.client.get(leased)).unwrap() === undefined;
    await Wait.waitFor(hasExpired, 2_000, "expiry of the lease");
    expect((await rig.client.get(unleased)).unwrap()?.value).toBe("v");
    expect(Rig.getCode(await rig.client.renewLease(lease))).toBe(
      "lease-lapsed",
    );
    const lateWrite = await rig.client.cas(rig.newKey(), 0, "v", opts);
    expect(Rig.getCode(lateWrite)).toBe("lease-lapsed");
  });

  it("keeps its keys while it is renewed and removes them on release", async () => {
    const key = rig.newKey();
    const leaseId = (await rig.client.grantLease(800)).unwrap();
    (await rig.client.cas(key, 0, "v", { writeId: "w", leaseId })).unwrap();
    for (let i = 0; i < 10; i++) {
      await Clock.sleep(150);
      (await rig.client.renewLease(leaseId)).unwrap();
    }
    expect((await rig.client.get(key)).unwrap()?.value).toBe("v");
    (await rig.client.releaseLease(leaseId)).unwrap();
    expect((await rig.client.get(key)).unwrap()).toBeUndefined();
    (await rig.client.releaseLease(leaseId)).unwrap();
  });
});

describe("store watch", () => {
  it("ignores changes of keys outside its prefix", async () => {
    const key = rig.newKey();
    const { revision } = (await rig.client.watch(key, 0, 0)).unwrap();
    const pending = rig.client.watch(key, revision, 150);
    (await rig.client.cas(rig.newKey(), 0, "x", { writeId: "x" })).unwrap();
    expect((await pending).unwrap().isChanged).toBe(false);
  });

  it("reports a removal, and repeats the known entries when nothing changed", async () => {
    const key = rig.newKey();
    const version = (await rig.client.cas(key, 0, "a", { writeId: "1" }))
      .unwrap();
    const seen = (await rig.client.watch(key, 0, 0)).unwrap();
    const unchanged = (await rig.client.watch(key, seen.revision, 20)).unwrap();
    expect(unchanged).toMatchObject({
      isChanged: false,
      entries: seen.entries,
    });
    (await rig.client.remove(key, version)).unwrap();
    const next = (await rig.client.watch(key, seen.revision, 2_000)).unwrap();
    expect(next).toMatchObject({ isChanged: true, entries: [] });
  });

  it("ends at the platform when the client cancels it", async () => {
    const abort = new AbortController();
    const { revision } = (await rig.client.watch("none", 0, 0)).unwrap();
    const pending = rig.client.watch("none", revision, 30_000, abort.signal);
    abort.abort();
    expect((await pending).isErr()).toBe(true);
    await Wait.waitFor(
      async () => (await rig.platform.getCounters()).pendingWatches === 0,
      2_000,
      "the platform to end the watch",
    );
  });
});

describe("instance list", () => {
  const instance = {
    id: "t1",
    service: "booking",
    domain: "uusimaa-1",
    region: "uusimaa",
    address: "127.0.0.1:9",
    slots: 7,
    state: "live",
  } as const;

  async function getState(): Promise<string> {
    const instances = (await rig.client.listInstances()).unwrap();
    return instances.find((listed) => listed.id === "t1")?.state ?? "absent";
  }

  const waitForState = (state: string) =>
    Wait.waitFor(async () => await getState() === state, 3_000, state);

  it("shows new instances, state changes, removals and instances whose registration expired", async () => {
    const opts = { platform: rig.platform.address, instance, ttlMs: 400 };
    const first = Registration.createRegistration(opts);
    await waitForState("live");
    expect((await rig.client.listInstances()).unwrap()).toEqual([instance]);
    expect(await first.setState("leaving")).toBe(true);
    expect(await getState()).toBe("leaving");
    await first.stop({ remove: true });
    expect(await getState()).toBe("absent");
    const second = Registration.createRegistration(opts);
    await waitForState("live");
    await second.stop({ remove: false });
    await waitForState("absent");
  });

  it("lags by the configured time and never returns to an older state", async () => {
    const opts = { platform: rig.platform.address, instance, ttlMs: 400 };
    const registration = Registration.createRegistration(opts);
    await waitForState("live");
    await rig.platform.setFaults({ listLagMs: 500 });
    const changedAt = performance.now();
    await registration.setState("leaving");
    expect(await getState()).toBe("live");
    await waitForState("leaving");
    expect(performance.now() - changedAt).toBeGreaterThanOrEqual(490);
    await rig.platform.setFaults({ listLagMs: 100_000 });
    expect(await getState()).toBe("leaving");
    await rig.platform.setFaults({ listLagMs: 0 });
    await registration.stop({ remove: true });
  });
});

describe("platform call counter", () => {
  it("counts every call, including a pending watch", async () => {
    await rig.platform.resetCounters();
    await rig.client.get("a");
    await rig.client.list("a");
    const { revision } = (await rig.client.watch("a", 0, 0)).unwrap();
    const pending = rig.client.watch("a", revision, 200);
    const counters = await Wait.waitFor(
      async () => {
        const current = await rig.platform.getCounters();
        return current.pendingWatches === 1 ? current : undefined;
      },
      2_000,
      "the pending watch",
    );
    expect(counters.byOp).toEqual({ get: 1, list: 1, watch: 2 });
    await pending;
    expect((await rig.platform.getCounters()).total).toBe(4);
  });
});
