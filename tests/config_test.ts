import * as fc from "fast-check";
import { describe, expect, it, vi } from "vitest";
import * as ActiveRecords from "../src/config/active_records.ts";
import * as Watchers from "../src/config/watchers.ts";
import * as Keys from "../src/keys/keys.ts";
import * as Client from "../src/peer/client.ts";
import type * as Types from "../src/types.ts";
import * as Fakes from "../testing/fakes/config_net.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";
import * as Instances from "./support/config_instances.ts";

const WAIT = { timeout: 15_000, interval: 20 };
const start = Instances.createInstanceStarter();

/** Starts four instances in two domains; those for which `isCut` is true can't reach the store. */
async function startFourInstances(
  store: Fakes.FakeStore,
  isCut: (id: string) => boolean = () => false,
) {
  const first = await start("a1", [], store, { isCut: () => isCut("a1") });
  const otherInstances = await Promise.all(
    ["a2", "b1", "b2"].map((id) =>
      start(id, [first.address], store, {
        domain: id.startsWith("a") ? "uusimaa-1" : "uusimaa-2",
        isCut: () => isCut(id),
      })
    ),
  );
  const instances = [first, ...otherInstances];
  await vi.waitFor(() => {
    for (const { net } of instances) expect(net.getConnectedCount()).toBe(3);
  }, WAIT);
  return instances;
}

function waitForTable(
  instances: readonly Fakes.Instance[],
  csv: string,
  revision: number,
) {
  return vi.waitFor(() => {
    for (const { config } of instances) {
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

describe("configuration distribution", () => {
  it("brings a stored table to instances that can't reach the store", async () => {
    const store = Fakes.createFakeStore();
    store.put("table", Fakes.createTableRecord("one"));
    const instances = await startFourInstances(store, (id) => id !== "a1");
    await waitForTable(instances, "one", 1);
    const startedAt = performance.now();
    store.put("table", Fakes.createTableRecord("two"));
    await waitForTable(instances, "two", 2);
    expect(performance.now() - startedAt).toBeLessThan(6_000);
  });

  it("lets at most two instances of a domain watch the store", async () => {
    const store = Fakes.createFakeStore();
    const first = await start("a0", [], store);
    const otherInstances = await Promise.all(
      [1, 2, 3, 4].map((n) => start(`a${n}`, [first.address], store)),
    );
    await vi.waitFor(() => {
      for (const { net } of [first, ...otherInstances]) {
        expect(net.getMembers().filter((member) => member.isReachable))
          .toHaveLength(4);
      }
      const watchers = [...store.pendingWatches].filter(([, count]) =>
        count > 0
      );
      expect(watchers).toHaveLength(2);
    }, WAIT);
  });

  it("supplies a new instance from a peer while the store is down", async () => {
    const store = Fakes.createFakeStore();
    store.put("table", Fakes.createTableRecord("one"));
    store.put("keys", Fakes.createKeysRecord(["k1"]));
    const a = await start("a", [], store);
    await waitForTable([a], "one", 1);
    store.isDown = true;
    const b = await start("b", [a.address], store);
    await waitForTable([b], "one", 1);
    await vi.waitFor(
      () => expect(b.keys.authenticate("k1").isOk()).toBe(true),
      WAIT,
    );
  });

  it("keeps the table in force when the stored table is malformed, and applies the next valid one", async () => {
    const store = Fakes.createFakeStore();
    store.put("table", Fakes.createTableRecord("one"));
    const instances = await startFourInstances(store);
    await waitForTable(instances, "one", 1);
    store.put("table", Fakes.createTableRecord("bad"));
    store.put("table", "{not json");
    await vi.waitFor(
      () => expect(instances[0]?.config.getHighestRevisions().table).toBe(3),
      WAIT,
    );
    expect(instances[0]?.config.getTable()?.accounts).toEqual(["one"]);
    store.put("table", Fakes.createTableRecord("four"));
    await waitForTable(instances, "four", 4);
    for (const instance of instances) {
      expect(instance.appliedRevisions).not.toContain(2);
    }
  });

  it("spreads a table pushed by the tool and never returns to a lower revision", async () => {
    const store = Fakes.createFakeStore();
    store.isDown = true;
    const instances = await startFourInstances(store);
    const push = (revision: number, csv: string) =>
      pushByTool(instances[0]!.address, {
        key: "table",
        revision,
        record: Fakes.createTableRecord(csv),
      });
    expect((await push(7, "seven")).unwrap().revision).toBe(7);
    await waitForTable(instances, "seven", 7);
    expect((await push(6, "six")).unwrap().revision).toBe(7);
    expect((await push(8, "bad")).unwrapErr().detail).toContain("line 1");
    const malformed = await pushByTool(instances[0]!.address, { key: "other" });
    expect(malformed.isErr()).toBe(true);
    await waitForTable(instances, "seven", 7);
  });

  it("brings a pushed withdrawal to all instances while the store is down, and to instances that start later", async () => {
    const store = Fakes.createFakeStore();
    const record = Fakes.createKeysRecord(["k1", "k2"]);
    store.put("keys", record);
    const instances = await startFourInstances(store);
    const waitForCode = (instance: Fakes.Instance, key: string, code: number) =>
      vi.waitFor(() => {
        const res = instance.keys.authenticate(key);
        expect(res.isOk() ? 0 : res.error.code.number).toBe(code);
      }, WAIT);
    for (const instance of instances) await waitForCode(instance, "k1", 0);
    store.isDown = true;
    const digest = Keys.computeDigest("k1");
    await pushByTool(instances[2]!.address, {
      key: "keys",
      revision: 1,
      record: { ...record, withdrawn: [digest] },
    });
    for (const instance of instances) await waitForCode(instance, "k1", 103);
    const lateInstance = await start("a3", [instances[0]!.address], store);
    await waitForCode(lateInstance, "k2", 0);
    await waitForCode(lateInstance, "k1", 103);
    // A stored record that does not list the withdrawal must not undo it.
    store.isDown = false;
    store.put("keys", Fakes.createKeysRecord(["k1", "k2", "k3"]));
    for (const instance of [...instances, lateInstance]) {
      await waitForCode(instance, "k3", 0);
      await waitForCode(instance, "k1", 103);
      expect(instance.config.getKeysRecord().record.withdrawn).toEqual([
        digest,
      ]);
    }
  });
});

describe("configuration in force", () => {
  it("never returns to a lower revision under reordered and repeated deliveries", () => {
    const revisions = fc.array(fc.integer({ min: 1, max: 9 }), {
      maxLength: 30,
    });
    fc.assert(fc.property(revisions, fc.integer(), (order, malformedSeed) => {
      const keys = Keys.createKeys();
      const activeRecords = ActiveRecords.createActiveRecords({
        parseTable: Fakes.parseTable,
        keys,
        log: Helpers.quietLog,
      });
      const tables: number[] = [];
      const withdrawn: number[] = [];
      activeRecords.onTable((table) => void tables.push(table.revision));
      activeRecords.onKeys((_, record) =>
        void withdrawn.push(record.withdrawn.length)
      );
      const isMalformed = (revision: number) =>
        revision === Math.abs(malformedSeed) % 9;
      for (const revision of order) {
        const csv = isMalformed(revision) ? "bad" : `t${revision}`;
        const table = { revision, record: Fakes.createTableRecord(csv) };
        activeRecords.apply("table", table, "test");
        const record = Fakes.createKeysRecord([`k${revision}`], [
          `w${revision}`,
        ]);
        activeRecords.apply("keys", { revision, record }, "test");
      }
      const validRevisions = order.filter((revision) => !isMalformed(revision));
      expect(activeRecords.getRevision("table")).toBe(
        Math.max(0, ...validRevisions),
      );
      expect(activeRecords.getRevision("keys")).toBe(Math.max(0, ...order));
      expect(tables).toEqual([...new Set(tables)].toSorted((x, y) => x - y));
      expect(withdrawn).toEqual(withdrawn.toSorted((x, y) => x - y));
      for (const revision of order) {
        const res = keys.authenticate(`w${revision}`);
        expect(res.unwrapErr().code.number).toBe(103);
      }
    }));
  });

  it("is not blocked by a malformed record with a high revision", () => {
    const activeRecords = ActiveRecords.createActiveRecords({
      parseTable: Fakes.parseTable,
      keys: Keys.createKeys(),
      log: Helpers.quietLog,
    });
    const malformed = { revision: 900, record: {} };
    expect(activeRecords.apply("keys", malformed, "test").isErr()).toBe(true);
    expect(activeRecords.isNeeded("keys", 900)).toBe(false);
    expect(activeRecords.isNeeded("keys", 5)).toBe(true);
    const valid = { revision: 5, record: Fakes.createKeysRecord(["k1"]) };
    expect(activeRecords.apply("keys", valid, "test").unwrap()).toBe(true);
  });
});

describe("watcher selection", () => {
  it("considers only reachable members of the local domain that are not leaving", () => {
    const ids = ["a", "b", "c", "d", "e"];
    const countWatchers = (
      members: readonly Types.Member[],
      candidateIds = ids,
    ) =>
      candidateIds.filter((id) =>
        Watchers.isWatcher(
          id,
          "d1",
          members.filter((member) => member.heartbeat.id !== id),
        )
      ).length;
    expect(countWatchers(ids.map((id) => Helpers.createMember(id, "d1")))).toBe(
      2,
    );
    const remoteMembers = ids.map((id) =>
      Helpers.createMember(`x-${id}`, "d2")
    );
    expect(countWatchers(remoteMembers)).toBe(ids.length);
    const leavingMembers = ids.map((id) =>
      Helpers.createMember(id, "d1", id < "d" ? { state: "leaving" } : {})
    );
    expect(countWatchers(leavingMembers, ["d", "e"])).toBe(2);
    expect(
      countWatchers(ids.map((id) => Helpers.createMember(id, "d1", {}, 9_000))),
    )
      .toBe(5);
  });
});
