import { afterEach, beforeEach, describe, expect, it } from "vitest";
import * as Headers from "../../platform/headers.ts";
import * as Records from "../../platform/records.ts";
import * as Settings from "../../platform/settings.ts";
import * as Store from "../../platform/store.ts";
import * as KvStore from "../../testing/kv/kv_store.ts";

const settings = {
  self: {
    nodeName: "front-a-1",
    bindIp: "10.1.0.7",
    zone: "north-a",
    region: "north",
  },
  network: {
    listen: {
      front: "10.1.0.7:8668",
      ready: "10.1.0.7:8666",
      directory: "10.1.0.7:8665",
    },
    internalPorts: [7220, 7235],
    zones: { "north-a": "north" },
  },
  platform: { platform: { address: "10.200.1.7:8669", ttlMinMs: 1_000 } },
  terms: { bounds: { budgetRatio: 0.2, budgetWindowS: 10, graceS: 6 } },
};

const config = {
  version: "r7",
  services: [{ name: "orders", maxConns: 330, coldS: 3, coldPerS: 15 }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000 },
  tenants: [{
    name: "hut",
    apiKeys: ["k1", "k2"],
    priority: 1,
    ratePerS: 235,
    burst: 235,
    homeRegions: [],
  }],
  hosts: [{
    host: "shop.example",
    paths: [
      {
        name: "r-1",
        pathPrefix: "/a/",
        kind: "unsafe",
        timeoutMs: 3_000,
        targetLatencyMs: 500,
        priority: 1,
        service: "orders",
        attempts: 2,
        public: false,
      },
      {
        name: "r-2",
        pathPrefix: "/a/b/",
        kind: "safe",
        timeoutMs: 2_500,
        targetLatencyMs: 400,
        priority: 2,
        backends: [{ service: "orders", weight: 90 }],
        attempts: 2,
        public: true,
      },
    ],
  }],
};

function decode(key: string, value: unknown) {
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return Records.decodeItem({ key, value: text, revision: 1 });
}

describe("the settings file", () => {
  it("is decoded into the gateway's settings", () => {
    const read = Settings.parseSettings(JSON.stringify(settings)).unwrap();
    expect(read.instance.domain).toBe("north-a");
    expect(read.listen.peer).toBe("10.1.0.7:7220");
    expect(read.limits.retryRatio).toBe(0.2);
  });

  // Guards against a process that starts with half of its settings.
  it("names every wrong field in one line", () => {
    const wrong = { ...settings, self: { ...settings.self, zone: 7 } };
    const text = JSON.stringify({ ...wrong, platform: {} });
    const { error } = Settings.parseSettings(text) as { error: string };
    expect(error).toContain("self.zone = 7");
    expect(error).toContain("platform.platform.address");
    expect(Settings.parseSettings("{").isErr()).toBe(true);
  });
});

describe("the store's records", () => {
  it("decode a configuration", () => {
    const change = decode("op/config", config);
    if (change?.kind !== "config") throw new Error("no configuration");
    expect(change.config.version).toBe(7);
    expect(change.config.keys.get("k2")?.name).toBe("hut");
    const [first, second] = change.config.routesByHost.get("shop.example")!;
    expect([first?.name, second?.name]).toEqual(["r-2", "r-1"]);
    expect([first?.isRepeatable, second?.isRepeatable]).toEqual([true, false]);
  });

  it("decode entries, evacuations and what was removed", () => {
    const entry = {
      service: "orders",
      address: "10.1.1.1:80",
      zone: "north-a",
      capacity: 9,
      state: "draining",
      coldLeftMs: 500,
      born: 12,
    };
    expect(decode("servers/i-1", entry)).toMatchObject({
      kind: "target",
      entry: { id: "i-1", isLeaving: true, coldLeftMs: 500, startedAtMs: 12 },
    });
    expect(decode("op/evacuate/north-a", "{}"))
      .toEqual({ kind: "evacuation", domain: "north-a", isActive: true });
    const gone = { key: "servers/i-1", value: undefined, revision: 9 };
    expect(Records.decodeItem(gone)).toEqual({
      kind: "target-gone",
      id: "i-1",
    });
  });

  // Guards against an entry of another writer that takes good ones down.
  it.each([
    ["no JSON", "x{"],
    ["no state", { service: "orders", address: "1.1.1.1:1", capacity: 9 }],
    ["an unknown state", {
      service: "orders",
      address: "1.1.1.1:1",
      zone: "a",
      capacity: 9,
      state: "odd",
    }],
    ["no address", {
      service: "orders",
      zone: "a",
      capacity: 9,
      state: "ready",
    }],
    ["a capacity of another type", {
      service: "orders",
      address: "1.1.1.1:1",
      zone: "a",
      capacity: "9",
      state: "ready",
    }],
  ])("name what is wrong with %s", (_name, value) => {
    expect(decode("servers/i-1", value)).toMatchObject({
      kind: "unreadable",
      key: "servers/i-1",
      detail: expect.any(String),
    });
  });
});

describe("the headers", () => {
  it("of a caller are read, wherever they stand", () => {
    const fields = Headers.headerDialect.readCaller({
      "x-request-id": "9c",
      "x-deadline-ms": "2500",
      authorization: "bearer k1",
      cookie: "a=b; X-Affinity-Key=17; c=d",
    });
    expect(fields).toEqual({
      requestId: "9c",
      deadlineMs: 2500,
      key: "k1",
      affinityKey: "17",
    });
  });

  // Guards against a key at a target and against an account that the caller claims.
  it("for a target carry neither the key nor what the caller claims to be", () => {
    const raw = [
      ["Host", "shop.example"],
      ["Authorization", "Bearer k1"],
      ["X-Tenant", "somebody-else"],
      ["X-Deadline-Ms", "99999"],
      ["Connection", "keep-alive, X-Private"],
      ["X-Private", "1"],
      ["X-Other", "2"],
    ].flat();
    const list = Headers.headerDialect.formatForTarget(raw, {
      targetId: "i-1",
      account: "hut",
      deadlineMs: 400,
    });
    expect(list).toEqual([
      ...["Host", "shop.example", "X-Other", "2", "X-Deadline-Ms", "400"],
      ...["X-Expect-Instance", "i-1", "X-Tenant", "hut"],
    ]);
  });

  it("of a target say what became of the request", () => {
    const read = Headers.headerDialect.readResponse;
    expect(read(503, [["X-Not-Run", "1"]]).isNotRun).toBe(true);
    expect(read(421, []).isMisdirected).toBe(true);
    const answer = read(200, [
      ["X-Server-Stamp", "s"],
      ["X-Server-Load", "3,1,9"],
      ["Connection", "close"],
    ]);
    expect(answer).toMatchObject({
      isSigned: true,
      isClosing: true,
      load: { running: 3, waiting: 1, slots: 9 },
    });
  });
});

describe("the store's client", () => {
  let kv: KvStore.KvStore;
  let store: ReturnType<typeof Store.createStore>;
  beforeEach(async () => {
    kv = await KvStore.startKvStore({ pageItems: 2 });
    store = Store.createStore(kv.address, "127.0.0.1");
  });
  afterEach(async () => {
    await store.close();
    await kv.close();
  });
  const never = new AbortController().signal;

  it("reads all pages", async () => {
    for (const key of ["s/1", "s/2", "s/3", "s/4", "t/1"]) kv.put(key, key);
    const read = (await store.readAll("s/")).unwrap();
    expect(read.items.map((item) => item.value))
      .toEqual(["s/1", "s/2", "s/3", "s/4"]);
  });

  it("hears of changes and deletions after a revision", async () => {
    kv.put("s/1", "old");
    const { revision } = (await store.readAll("s/")).unwrap();
    const pending = store.watch("s/", revision, 2_000, never);
    kv.put("s/1", "new");
    const first = (await pending).unwrap();
    expect(first).toMatchObject({ items: [{ key: "s/1", value: "new" }] });
    kv.remove("s/1");
    const after = first.kind === "changes" ? first.revision : 0;
    const second = (await store.watch("s/", after, 2_000, never)).unwrap();
    expect(second)
      .toMatchObject({ items: [{ key: "s/1", value: undefined }] });
  });

  it("says when the history is gone", async () => {
    kv.put("s/1", "a");
    kv.compact();
    const got = (await store.watch("s/", 0, 2_000, never)).unwrap();
    expect(got.kind).toBe("history-gone");
  });

  // Guards against two secrets when the answer of the write was lost.
  it("creates a key once, whoever's answer was lost", async () => {
    const other = Store.createStore(kv.address, "127.0.0.1");
    const both = await Promise.all([
      store.create("own/secret", "one"),
      other.create("own/secret", "two"),
    ]);
    expect(both[0].unwrap()).toBe(both[1].unwrap());
    kv.setMode("losing-answers");
    expect((await store.create("own/next", "x")).isErr()).toBe(true);
    kv.setMode("serving");
    expect((await store.create("own/next", "y")).isOk()).toBe(true);
    await other.close();
  });

  it("tells a lapsed lease from a store that does not answer", async () => {
    const lease = (await store.grantLease(10_000)).unwrap();
    expect((await store.put("own/me", "1", lease)).isOk()).toBe(true);
    expect((await store.renewLease(lease)).isOk()).toBe(true);
    kv.endLeases();
    expect(kv.get("own/me")).toBeUndefined();
    const lapsed = await store.renewLease(lease);
    expect(lapsed.isErr() && lapsed.error.code.name).toBe("lease-lapsed");
    kv.setMode("busy");
    const busy = await store.renewLease(lease);
    expect(busy.isErr() && busy.error.code.name).toBe("store-unreachable");
  });

  // Guards against a connection that went silent and is used for ever.
  it("opens new connections after a silent one", async () => {
    kv.put("s/1", "a");
    kv.setMode("silent");
    expect((await store.readAll("s/")).isErr()).toBe(true);
    kv.setMode("serving");
    expect((await store.readAll("s/")).isOk()).toBe(true);
  });
});
