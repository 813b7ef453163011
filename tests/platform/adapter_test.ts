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
  const json = typeof value === "string" ? value : JSON.stringify(value);
  return Records.decodeItem({ key, value: json, revision: 1 });
}

describe("settings file", () => {
  it("is decoded into the gateway's settings", () => {
    const decoded = Settings.parseSettings(JSON.stringify(settings)).unwrap();
    expect(decoded.instance.domain).toBe("north-a");
    expect(decoded.listen.peer).toBe("10.1.0.7:7220");
    expect(decoded.limits.retryRatio).toBe(0.2);
  });

  // Guards against changes that come late where one kind of them has a shorter bound.
  it("names the shortest of the bounds for changes in the store", () => {
    const parse = (bounds: object) =>
      Settings.parseSettings(JSON.stringify({ ...settings, terms: { bounds } }))
        .unwrap().timing.changeInForceMs;
    expect(parse({})).toBe(2_500);
    const bounds = { configApplyMs: 4_000, evacuateMs: 5_000 };
    expect(parse({ ...bounds, drainMaxMs: 3_000 })).toBe(3_000);
    expect(parse({ ...bounds, drainMaxMs: 6_000 })).toBe(4_000);
  });

  // Guards against a process that doesn't start, or leaves the directory, for a faulty figure.
  it.each([
    [7.5, 7.5],
    [undefined, undefined],
    [0, undefined],
    [-7, undefined],
    [1e300, undefined],
    ["140", undefined],
  ])("reads a link of %j Mbit/s as %j", (linkMbps, expected) => {
    const self = { ...settings.self, limits: { linkMbps } };
    const decoded = Settings.parseSettings(
      JSON.stringify({ ...settings, self }),
    ).unwrap();
    expect(decoded.instance.linkMbps).toBe(expected);
  });

  // Guards against a process that starts with incomplete settings.
  it("is rejected with one message that names every wrong field", () => {
    const wrongSettings = { ...settings, self: { ...settings.self, zone: 7 } };
    const json = JSON.stringify({ ...wrongSettings, platform: {} });
    const { error } = Settings.parseSettings(json) as { error: string };
    expect(error).toContain("self.zone = 7");
    expect(error).toContain("platform.platform.address");
    expect(Settings.parseSettings("{").isErr()).toBe(true);
  });
});

describe("decoder of store items", () => {
  it("decodes a configuration", () => {
    const change = decode("op/config", config);
    if (change?.kind !== "config") throw new Error("no configuration");
    expect(change.config.version).toBe(7);
    expect(change.config.keys.get("k2")?.name).toBe("hut");
    const [first, second] = change.config.routesByHost.get("shop.example")!;
    expect([first?.name, second?.name]).toEqual(["r-2", "r-1"]);
    expect([first?.isRepeatable, second?.isRepeatable]).toEqual([true, false]);
  });

  // Guards against a download that isn't sent again, and a request of an unknown kind that
  // runs twice.
  it.each([
    ["safe", true],
    ["download", true],
    ["unsafe", false],
    ["Download", false],
    ["upload", false],
    [["download"], false],
    [undefined, false],
  ])("lets requests of a route of kind %j run again: %s", (kind, expected) => {
    const [host] = config.hosts;
    const hosts = [{ ...host, paths: [{ ...host!.paths[0], kind }] }];
    const change = decode("op/config", { ...config, hosts });
    if (change?.kind !== "config") throw new Error("no configuration");
    const [route] = change.config.routesByHost.get("shop.example")!;
    expect(route?.isRepeatable).toBe(expected);
    expect(change.config.hasDownloads).toBe(kind === "download");
  });

  it("decodes target entries, evacuations and removals", () => {
    const entry = {
      service: "orders",
      address: "10.1.1.1:80",
      zone: "north-a",
      version: "v1",
      capacity: 9,
      state: "draining",
      coldLeftMs: 500,
      callSeq: 4,
      born: 12,
    };
    expect(decode("servers/i-1", entry)).toMatchObject({
      kind: "target",
      entry: { id: "i-1", isLeaving: true, coldLeftMs: 500, startedAtMs: 12 },
    });
    expect(decode("op/evacuate/north-a", "{}"))
      .toEqual({ kind: "evacuation", domain: "north-a", isActive: true });
    const removedItem = { key: "servers/i-1", value: undefined, revision: 9 };
    expect(Records.decodeItem(removedItem)).toEqual({
      kind: "target-gone",
      id: "i-1",
    });
  });

  const sound = {
    service: "orders",
    address: "1.1.1.1:1",
    zone: "a",
    version: "v1",
    capacity: 9,
    state: "ready",
    coldLeftMs: 0,
    callSeq: 1,
  };

  // Guards against a malformed entry of one writer that makes valid entries unusable.
  it.each([
    ["no JSON", "x{"],
    ["no state", { ...sound, state: undefined }],
    ["an unknown state", { ...sound, state: "odd" }],
    ["no address", { ...sound, address: undefined }],
    ["a capacity of another type", { ...sound, capacity: "9" }],
  ])(
    "reports what is wrong with an entry that has %s",
    (_name, value) => {
      expect(decode("servers/i-1", value)).toMatchObject({
        kind: "unreadable",
        key: "servers/i-1",
        detail: expect.any(String),
      });
    },
  );
});

describe("header translation", () => {
  it("reads a caller's fields from headers and from any position in the cookie", () => {
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
      isRelayed: false,
    });
  });

  // Guards against a request that another instance rejects as one without a key, and
  // against one that is passed to and fro.
  it("keeps the key of a request for another instance, and hides from targets that it was passed on", () => {
    const raw = [
      ["Authorization", "Bearer k1"],
      ["X-Deadline-Ms", "2500"],
      ["Connection", "keep-alive"],
    ].flat();
    const dialect = Headers.headerDialect;
    const relayed = dialect.formatForInstance(raw, {
      relayedBy: "front-1",
      deadlineMs: 2_300,
    });
    expect(relayed).toEqual([
      ...["Authorization", "Bearer k1", "X-Deadline-Ms", "2300"],
      ...["Anvilroute-Relayed-By", "front-1"],
    ]);
    const headers = { "anvilroute-relayed-by": "front-1" };
    expect(dialect.readCaller(headers).isRelayed).toBe(true);
    const list = dialect.formatForTarget(relayed, {
      targetId: "i-1",
      account: undefined,
      deadlineMs: 1,
    });
    expect(list).not.toContain("Anvilroute-Relayed-By");
  });

  // Guards against a key that reaches a target and against an account name chosen by the caller.
  it("removes the key, the claimed account and per-connection headers from a target's request", () => {
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

  it("reads a target's rejection, signature, load and connection close", () => {
    const readResponse = Headers.headerDialect.readResponse;
    expect(readResponse(503, [["X-Not-Run", "1"]]).isNotRun).toBe(true);
    expect(readResponse(421, []).isMisdirected).toBe(true);
    const response = readResponse(200, [
      ["X-Server-Stamp", "s"],
      ["X-Server-Load", "3,1,9"],
      ["Connection", "close"],
    ]);
    expect(response).toMatchObject({
      isSigned: true,
      isClosing: true,
      load: { running: 3, waiting: 1, slots: 9 },
    });
  });

  // Guards against a report that is dropped, or believed, because of its fourth figure:
  // targets that share their machines add how long work takes.
  it.each([
    ["140", 1.4],
    ["100", 1],
    ["62.5", 0.625],
    ["10", 0.1],
    ["10000", 100],
    ["0", undefined],
    ["9", undefined],
    ["10001", undefined],
    ["9".repeat(400), undefined],
    ["-250", undefined],
    ["1e3", undefined],
    ["", undefined],
    ["NaN", undefined],
    ["250,1", undefined],
  ])("reads the fourth figure %j of a load report as %j", (text, slowdown) => {
    const headers = [["X-Server-Load", `3,1,9,${text}`]] as const;
    expect(Headers.headerDialect.readResponse(200, headers).load).toEqual({
      running: 3,
      waiting: 1,
      slots: 9,
      ...(slowdown === undefined ? {} : { slowdown }),
    });
  });

  // Guards against a target that looks endlessly loaded, or free, through a faulty report.
  it("ignores a load report with malformed or absurd counts", () => {
    const values = ["3,1", "a,1,9", "-3,1,9", `${"9".repeat(400)},1,9`];
    for (const value of [...values, "3,1,1000001", "3,1,9 ,100"]) {
      const headers = [["X-Server-Load", value]] as const;
      const { load } = Headers.headerDialect.readResponse(200, headers);
      expect(load).toBeUndefined();
    }
  });

  it("reads the rate limit that a target names, and ignores a malformed one", () => {
    const readLimit = (value: string) =>
      Headers.headerDialect.readResponse(200, [["Server-Limit", value]])
        .rateLimitPerS;
    expect(["10.8", "7", "0"].map(readLimit)).toEqual([10.8, 7, 0]);
    for (const value of ["", "-1", "1e9", "many", "5 "]) {
      expect(readLimit(value)).toBeUndefined();
    }
  });
});

describe("store client", () => {
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
  const neverAborted = new AbortController().signal;

  it("reads all pages of a prefix and nothing outside it", async () => {
    for (const key of ["s/1", "s/2", "s/3", "s/4", "t/1"]) kv.put(key, key);
    const pages = (await store.readAll("s/")).unwrap();
    expect(pages.items.map((item) => item.value))
      .toEqual(["s/1", "s/2", "s/3", "s/4"]);
  });

  // Guards against a watch that goes on from a count that the restored store gave out again.
  it("reports lost history after a restore, also at the same count of changes", async () => {
    const copy = kv.copy();
    kv.put("s/1", "lost");
    const before = (await store.readAll("s/")).unwrap();
    kv.restore(copy);
    kv.put("s/1", "again");
    kv.put("s/2", "new");
    const watched = await store.watch("s/", before.revision, 1, neverAborted);
    expect(watched.unwrap().kind).toBe("history-gone");
    const after = (await store.readAll("s/")).unwrap();
    expect(after.revision).toBeGreaterThan(before.revision);
    expect(after.items[0]!.revision)
      .toBeGreaterThan(before.items[0]!.revision);
  });

  it("receives changes and deletions after a revision", async () => {
    kv.put("s/1", "old");
    const { revision } = (await store.readAll("s/")).unwrap();
    const pending = store.watch("s/", revision, 2_000, neverAborted);
    kv.put("s/1", "new");
    const first = (await pending).unwrap();
    expect(first).toMatchObject({ items: [{ key: "s/1", value: "new" }] });
    kv.remove("s/1");
    const after = first.kind === "changes" ? first.revision : 0;
    const second = (await store.watch("s/", after, 2_000, neverAborted))
      .unwrap();
    expect(second)
      .toMatchObject({ items: [{ key: "s/1", value: undefined }] });
  });

  it("reports that the history after a revision is no longer available", async () => {
    kv.put("s/1", "a");
    kv.compact();
    const watchResult = (await store.watch("s/", 0, 2_000, neverAborted))
      .unwrap();
    expect(watchResult.kind).toBe("history-gone");
  });

  // Guards against two instances with different secrets after a race or a lost response.
  it("creates a key once when two instances race or a response is lost", async () => {
    const otherStore = Store.createStore(kv.address, "127.0.0.1");
    const results = await Promise.all([
      store.create("own/secret", "one"),
      otherStore.create("own/secret", "two"),
    ]);
    expect(results[0].unwrap()).toBe(results[1].unwrap());
    kv.setMode("losing-answers");
    expect((await store.create("own/next", "x")).isErr()).toBe(true);
    kv.setMode("serving");
    expect((await store.create("own/next", "y")).isOk()).toBe(true);
    await otherStore.close();
  });

  it("distinguishes an expired lease from an unreachable store", async () => {
    const lease = (await store.grantLease(10_000)).unwrap();
    expect((await store.put("own/me", "1", lease)).isOk()).toBe(true);
    expect((await store.renewLease(lease)).isOk()).toBe(true);
    kv.endLeases();
    expect(kv.get("own/me")).toBeUndefined();
    const expired = await store.renewLease(lease);
    expect(expired.isErr() && expired.error.code.name).toBe("lease-lapsed");
    kv.setMode("busy");
    const busy = await store.renewLease(lease);
    expect(busy.isErr() && busy.error.code.name).toBe("store-unreachable");
  });

  describe("after a restore that lost its lease", () => {
    /** Grants a lease, loses it, and grants its number to another instance. */
    async function loseLease() {
      const copy = kv.copy();
      const lease = (await store.grantLease(10_000)).unwrap();
      await store.put("own/me", "1", lease);
      kv.restore(copy);
      const otherStore = Store.createStore(kv.address, "127.0.0.1");
      const otherLease = (await otherStore.grantLease(10_000)).unwrap();
      await otherStore.put("own/other", "2", otherLease);
      await otherStore.close();
      return lease;
    }

    // Guards against an instance whose record is missing for as long as another one
    // renews the lease with the same number.
    it("reports the lease as lapsed although another one has its number", async () => {
      const lease = await loseLease();
      const renewed = await store.renewLease(lease);
      expect(renewed.isErr() && renewed.error.code.name).toBe("lease-lapsed");
    });

    it("reports a write under the lease as failed, so that it is written again under its own", async () => {
      const lease = await loseLease();
      const put = await store.put("own/me", "1", lease);
      expect(put.isErr() && put.error.code.name).toBe("lease-lapsed");
    });

    // Guards against the record of another instance that vanishes when one stops.
    it("doesn't end the lease of another instance", async () => {
      const lease = await loseLease();
      await store.releaseLease(lease);
      expect(kv.get("own/other")).toBe("2");
    });
  });

  // Guards against an unresponsive connection that is reused forever.
  it("opens new connections after a time-out", async () => {
    kv.put("s/1", "a");
    kv.setMode("silent");
    expect((await store.readAll("s/")).isErr()).toBe(true);
    kv.setMode("serving");
    expect((await store.readAll("s/")).isOk()).toBe(true);
  });
});
