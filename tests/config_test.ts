import * as fc from "fast-check";
import { afterEach, describe, expect, it, vi } from "vitest";
import * as Freshness from "../src/config/freshness.ts";
import * as Holder from "../src/config/holder.ts";
import * as Watchers from "../src/config/watchers.ts";
import type * as Contracts from "../src/contracts.ts";
import * as Keys from "../src/keys/keys.ts";
import * as Client from "../src/peer/client.ts";
import type * as Types from "../src/types.ts";
import * as Fakes from "../testing/fakes/config_net.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";

const WAIT = { timeout: 15_000, interval: 20 };
const cleanups: (() => unknown)[] = [];

async function start(...args: Parameters<typeof Fakes.startInstance>) {
  const started = await Fakes.startInstance(...args);
  cleanups.push(started.stop);
  return started;
}

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

/** Starts four instances in two domains; `isCut` tells who can't reach the store. */
async function startFour(
  store: Fakes.FakeStore,
  isCut: (id: string) => boolean = () => false,
) {
  const first = await start("a1", [], store, { isCut: () => isCut("a1") });
  const rest = await Promise.all(
    ["a2", "b1", "b2"].map((id) =>
      start(id, [first.address], store, {
        domain: id.startsWith("a") ? "uusimaa-1" : "uusimaa-2",
        isCut: () => isCut(id),
      })
    ),
  );
  const all = [first, ...rest];
  await vi.waitFor(() => {
    for (const { net } of all) expect(net.getConnectedCount()).toBe(3);
  }, WAIT);
  return all;
}

function waitTable(
  all: readonly Fakes.Instance[],
  csv: string,
  revision: number,
) {
  return vi.waitFor(() => {
    for (const { config } of all) {
      expect(config.getTable()?.accounts).toEqual([csv]);
      expect(config.getTable()?.revision).toBe(revision);
    }
  }, WAIT);
}

async function pushByTool(address: string, params: unknown) {
  const tool = Client.createPeerClient({
    address,
    secret: Helpers.SECRET,
    id: "tool",
  });
  const res = await tool.call<{ revision: number }>(
    "config.push",
    params,
    2_000,
  );
  tool.close();
  return res;
}

describe("distribution", () => {
  it("brings a stored table to instances that can't reach the store", async () => {
    const store = Fakes.createFakeStore();
    store.put("table", Fakes.createTableRecord("one"));
    const all = await startFour(store, (id) => id !== "a1");
    await waitTable(all, "one", 1);
    const startedAt = performance.now();
    store.put("table", Fakes.createTableRecord("two"));
    await waitTable(all, "two", 2);
    expect(performance.now() - startedAt).toBeLessThan(6_000);
  });

  it("lets at most two instances of a domain watch the store", async () => {
    const store = Fakes.createFakeStore();
    const first = await start("a0", [], store);
    const rest = await Promise.all(
      [1, 2, 3, 4].map((n) => start(`a${n}`, [first.address], store)),
    );
    await vi.waitFor(() => {
      for (const { net } of [first, ...rest]) {
        expect(net.getMembers().filter((m) => m.isReachable)).toHaveLength(4);
      }
      const watchers = [...store.watching].filter(([, n]) => n > 0);
      expect(watchers).toHaveLength(2);
    }, WAIT);
  });

  it("starts a new instance from a peer with the store down", async () => {
    const store = Fakes.createFakeStore();
    store.put("table", Fakes.createTableRecord("one"));
    store.put("keys", Fakes.createKeysRecord(["k1"]));
    const a = await start("a", [], store);
    await waitTable([a], "one", 1);
    store.isDown = true;
    const b = await start("b", [a.address], store);
    await waitTable([b], "one", 1);
    await vi.waitFor(
      () => expect(b.keys.authenticate("k1").isOk()).toBe(true),
      WAIT,
    );
  });

  it("keeps the table in force when the stored one is wrong, and takes the next", async () => {
    const store = Fakes.createFakeStore();
    store.put("table", Fakes.createTableRecord("one"));
    const all = await startFour(store);
    await waitTable(all, "one", 1);
    store.put("table", Fakes.createTableRecord("bad"));
    store.put("table", "{not json");
    await vi.waitFor(
      () => expect(all[0]?.config.getHighestRevisions().table).toBe(3),
      WAIT,
    );
    expect(all[0]?.config.getTable()?.accounts).toEqual(["one"]);
    store.put("table", Fakes.createTableRecord("four"));
    await waitTable(all, "four", 4);
    for (const one of all) expect(one.applied).not.toContain(2);
  });

  it("spreads what the tool pushes, and never goes back", async () => {
    const store = Fakes.createFakeStore();
    store.isDown = true;
    const all = await startFour(store);
    const push = (revision: number, csv: string) =>
      pushByTool(all[0]!.address, {
        key: "table",
        revision,
        record: Fakes.createTableRecord(csv),
      });
    expect((await push(7, "seven")).unwrap().revision).toBe(7);
    await waitTable(all, "seven", 7);
    expect((await push(6, "six")).unwrap().revision).toBe(7);
    expect((await push(8, "bad")).unwrapErr().detail).toContain("line 1");
    const malformed = await pushByTool(all[0]!.address, { key: "other" });
    expect(malformed.isErr()).toBe(true);
    await waitTable(all, "seven", 7);
  });

  it("brings a withdrawal to all by push while the store is down, and to later ones", async () => {
    const store = Fakes.createFakeStore();
    const record = Fakes.createKeysRecord(["k1", "k2"]);
    store.put("keys", record);
    const all = await startFour(store);
    const waitCode = (one: Fakes.Instance, key: string, code: number) =>
      vi.waitFor(() => {
        const res = one.keys.authenticate(key);
        expect(res.isOk() ? 0 : res.error.code.number).toBe(code);
      }, WAIT);
    for (const one of all) await waitCode(one, "k1", 0);
    store.isDown = true;
    const digest = Keys.computeDigest("k1");
    await pushByTool(all[2]!.address, {
      key: "keys",
      revision: 1,
      record: { ...record, withdrawn: [digest] },
    });
    for (const one of all) await waitCode(one, "k1", 103);
    const late = await start("a3", [all[0]!.address], store);
    await waitCode(late, "k2", 0);
    await waitCode(late, "k1", 103);
    // A stored record that does not name the withdrawal must not undo it.
    store.isDown = false;
    store.put("keys", Fakes.createKeysRecord(["k1", "k2", "k3"]));
    for (const one of [...all, late]) {
      await waitCode(one, "k3", 0);
      await waitCode(one, "k1", 103);
      expect(one.config.getKeysRecord().record.withdrawn).toEqual([digest]);
    }
  });
});

describe("records in force", () => {
  it("never go back under reordered and repeated deliveries", () => {
    const revisions = fc.array(fc.integer({ min: 1, max: 9 }), {
      maxLength: 30,
    });
    fc.assert(fc.property(revisions, fc.integer(), (order, bad) => {
      const keys = Keys.createKeys();
      const holder = Holder.createHolder({
        parseTable: Fakes.parseTable,
        keys,
        log: Helpers.quietLog,
      });
      const tables: number[] = [];
      const withdrawn: number[] = [];
      holder.onTable((table) => void tables.push(table.revision));
      holder.onKeys((_, record) =>
        void withdrawn.push(record.withdrawn.length)
      );
      const isBad = (revision: number) => revision === Math.abs(bad) % 9;
      for (const revision of order) {
        const csv = isBad(revision) ? "bad" : `t${revision}`;
        const table = { revision, record: Fakes.createTableRecord(csv) };
        holder.apply("table", table, "test");
        const record = Fakes.createKeysRecord([`k${revision}`], [
          `w${revision}`,
        ]);
        holder.apply("keys", { revision, record }, "test");
      }
      const good = order.filter((revision) => !isBad(revision));
      expect(holder.getRevision("table")).toBe(Math.max(0, ...good));
      expect(holder.getRevision("keys")).toBe(Math.max(0, ...order));
      expect(tables).toEqual([...new Set(tables)].toSorted((x, y) => x - y));
      expect(withdrawn).toEqual(withdrawn.toSorted((x, y) => x - y));
      for (const revision of order) {
        const res = keys.authenticate(`w${revision}`);
        expect(res.unwrapErr().code.number).toBe(103);
      }
    }));
  });

  it("are not blocked by a malformed record with a high revision", () => {
    const holder = Holder.createHolder({
      parseTable: Fakes.parseTable,
      keys: Keys.createKeys(),
      log: Helpers.quietLog,
    });
    const bad = { revision: 900, record: {} };
    expect(holder.apply("keys", bad, "test").isErr()).toBe(true);
    expect(holder.isNeeded("keys", 900)).toBe(false);
    expect(holder.isNeeded("keys", 5)).toBe(true);
    const good = { revision: 5, record: Fakes.createKeysRecord(["k1"]) };
    expect(holder.apply("keys", good, "test").unwrap()).toBe(true);
  });
});

/** A member as a peer net would report it. */
function createMember(
  id: string,
  domain: string,
  fields: Partial<Types.Heartbeat> = {},
  ageMs = 500,
): Types.Member {
  const heartbeat = Helpers.createHeartbeat(id, domain);
  const isReachable = ageMs < 3_000;
  return { heartbeat: { ...heartbeat, ...fields }, ageMs, isReachable };
}

describe("watchers", () => {
  it("are chosen among live members of the own domain only", () => {
    const ids = ["a", "b", "c", "d", "e"];
    const count = (members: readonly Types.Member[], among = ids) =>
      among.filter((id) =>
        Watchers.isWatcher(
          id,
          "d1",
          members.filter((m) => m.heartbeat.id !== id),
        )
      ).length;
    expect(count(ids.map((id) => createMember(id, "d1")))).toBe(2);
    const others = ids.map((id) => createMember(`x-${id}`, "d2"));
    expect(count(others)).toBe(ids.length);
    const gone = ids.map((id) =>
      createMember(id, "d1", id < "d" ? { state: "leaving" } : {})
    );
    expect(count(gone, ["d", "e"])).toBe(2);
    expect(count(ids.map((id) => createMember(id, "d1", {}, 9_000)))).toBe(5);
  });
});

describe("freshness", () => {
  function createCase(
    members: readonly Types.Member[],
    domains: readonly string[] = ["d1", "d2", "d3"],
    own: {
      readAtMs?: number;
      answeredAtMs?: number;
      isFailing?: boolean;
      revision?: number;
    } = {},
    whenIsolated: "refuse" | "serve" = "refuse",
  ) {
    const state = { nowMs: 100_000, members, ...own };
    const freshness = Freshness.createFreshness({
      peers: { getMembers: () => state.members } as Contracts.PeerNet,
      platform: {
        getLastAnsweredAtMs: () => state.answeredAtMs,
        isFailing: () => state.isFailing ?? false,
      } as Contracts.PlatformClient,
      config: {
        getKeysRevision: () => state.revision ?? 5,
        tryGetKeysReadAtMs: () => state.readAtMs,
      },
      clock: { nowMs: () => state.nowMs, wallMs: () => 0 },
      domains: () => domains,
      cfg: { domain: "d1", stalenessLimitMs: 4_000, whenIsolated },
    });
    return { state, freshness };
  }
  const lost = { storeSeenMsAgo: 60_000, relayedStoreSeenMsAgo: 60_000 };

  it("ends after the limit in an instance without store and peers", () => {
    const { state, freshness } = createCase([], undefined, {
      readAtMs: 100_000,
      answeredAtMs: 100_000,
    });
    expect(freshness.isCurrent()).toBe(true);
    state.nowMs += 4_000;
    expect(freshness.isCurrent()).toBe(true);
    state.nowMs += 1;
    expect(freshness.isCurrent()).toBe(false);
    expect(freshness.getAgeMs()).toBe(4_001);
    expect(createCase([]).freshness.isCurrent()).toBe(false);
    const serve = createCase([], undefined, {}, "serve").freshness;
    expect(serve.isCurrent()).toBe(true);
  });

  it("does not take an answer to another call for a read of the keys", () => {
    const { freshness } = createCase([], undefined, { answeredAtMs: 99_900 });
    expect(freshness.isCurrent()).toBe(false);
  });

  it("adds the heartbeat's age to the evidence in it", () => {
    const { freshness } = createCase([
      createMember("b", "d2", { relayedStoreSeenMsAgo: 1_200 }, 700),
    ]);
    expect(freshness.getAgeMs()).toBe(1_900);
  });

  it("ignores evidence for a keys revision that is missing here", () => {
    const member = createMember("b", "d2", {
      keysRevision: 6,
      relayedStoreSeenMsAgo: 10,
    });
    const { state, freshness } = createCase([member]);
    expect(freshness.isCurrent()).toBe(false);
    state.revision = 6;
    state.nowMs += 100;
    expect(freshness.isCurrent()).toBe(true);
  });

  it("never gets younger while peers only hear each other", () => {
    const stepMs = 100;
    const cases = [createCase([]), createCase([])] as const;
    cases[0].state.readAtMs = 100_000;
    let lastMs = -stepMs;
    for (let step = 0; step <= 50; step++) {
      for (const [index, one] of cases.entries()) {
        const other = cases[1 - index]!;
        const relayed = Math.ceil(one.freshness.getAgeMs());
        // Sent now, and read at the next step.
        other.state.members = [
          createMember("p", "d2", { relayedStoreSeenMsAgo: relayed }, stepMs),
        ];
      }
      const ages = cases.map((one) => one.freshness.getAgeMs());
      expect(Math.min(...ages)).toBeGreaterThanOrEqual(lastMs + stepMs);
      lastMs = Math.min(...ages);
      for (const one of cases) one.state.nowMs += stepMs;
    }
    for (const one of cases) expect(one.freshness.isCurrent()).toBe(false);
  });

  it("holds with the store down when a majority of domains is reached", () => {
    const b = createMember("b", "d2", lost);
    const c = createMember("c", "d3", lost);
    expect(createCase([b]).freshness.isCurrent()).toBe(true);
    const four = ["d1", "d2", "d3", "d4"];
    expect(createCase([b], four).freshness.isCurrent()).toBe(false);
    expect(createCase([b, c], four).freshness.isCurrent()).toBe(true);
    expect(createCase([b, c], []).freshness.isCurrent()).toBe(false);
  });

  it("leaves no gap before an outage is known, and one read's time after it", () => {
    const failing = {
      storeSeenMsAgo: 100,
      isStoreFailing: true,
      relayedStoreSeenMsAgo: 60_000,
    };
    const { state, freshness } = createCase(
      [createMember("b", "d2", failing)],
      undefined,
      { answeredAtMs: 99_900, isFailing: true },
    );
    expect(freshness.isCurrent()).toBe(true);
    state.isFailing = false;
    state.answeredAtMs = state.nowMs;
    state.nowMs += 1_900;
    expect(freshness.isCurrent()).toBe(true);
    state.nowMs += 200;
    expect(freshness.isCurrent()).toBe(false);
  });

  it("guards against an outage's end that leaves less than one read's time since the last request", () => {
    const failing = { ...lost, isStoreFailing: true };
    const { state, freshness } = createCase(
      [createMember("b", "d2", failing)],
      undefined,
      { answeredAtMs: 99_900, isFailing: true },
    );
    // Requests without a heartbeat in between.
    expect(freshness.isCurrent()).toBe(true);
    state.nowMs += 950;
    expect(freshness.isCurrent()).toBe(true);
    state.isFailing = false;
    state.answeredAtMs = state.nowMs;
    state.nowMs += 1_900;
    expect(freshness.isCurrent()).toBe(true);
    state.nowMs += 200;
    expect(freshness.isCurrent()).toBe(false);
  });

  it("refuses when a reached peer reaches the store or has newer keys", () => {
    const b = createMember("b", "d2", lost);
    const seesStore = createMember("c", "d3", {
      ...lost,
      storeSeenMsAgo: 1_500,
      keysRevision: 6,
    });
    expect(createCase([b, seesStore]).freshness.isCurrent()).toBe(false);
    const newer = createMember("c", "d3", { ...lost, keysRevision: 6 });
    expect(createCase([b, newer]).freshness.isCurrent()).toBe(false);
    const self = createCase([b], undefined, { answeredAtMs: 99_000 });
    expect(self.freshness.isCurrent()).toBe(false);
  });

  it("does not count the own domain when its other members are out of reach", () => {
    const away = createMember("a2", "d1", lost, 9_000);
    expect(createCase([away], ["d1"]).freshness.isCurrent()).toBe(false);
    expect(createCase([], ["d1"]).freshness.isCurrent()).toBe(true);
  });

  it("follows the store through real peers and ends in an isolated instance", async () => {
    const store = Fakes.createFakeStore();
    store.put("keys", Fakes.createKeysRecord(["k1"]));
    const domains = ["uusimaa-1", "uusimaa-2", "pirkanmaa-1"];
    const a = await start("a", [], store, { domains });
    const b = await start("b", [a.address], store, {
      domain: "uusimaa-2",
      domains,
      isCut: () => true,
    });
    await vi.waitFor(() => expect(b.freshness.isCurrent()).toBe(true), WAIT);
    // Evidence is renewed, not only remembered.
    const until = performance.now() + 6_000;
    while (performance.now() < until) {
      expect(b.freshness.isCurrent()).toBe(true);
      await new Promise((done) => setTimeout(done, 50));
    }
    const stoppedAt = performance.now();
    await a.stop();
    await vi.waitFor(() => expect(b.freshness.isCurrent()).toBe(false), WAIT);
    expect(performance.now() - stoppedAt).toBeLessThan(5_000);
  });
});
