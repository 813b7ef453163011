import { Ok } from "ts-results-es";
import { describe, expect, it } from "vitest";
import * as Items from "../../src/gateway/items.ts";
import * as ItemSync from "../../src/gateway/item_sync.ts";
import * as Log from "../../src/log.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import * as GatewayNet from "../../testing/fakes/gateway_net.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

describe("item sync among peers", () => {
  const LOCALS = ["local-1", "local-2", "local-3"];
  const put = (revision: number) => ({
    key: `a/${revision}`,
    revision,
    value: "v",
  });

  function create() {
    const clock = ManualTime.createTime();
    const net = GatewayNet.createGatewayNet();
    const instances = new Map(
      [...LOCALS, "remote"].map((self) => {
        const items = Items.createItems(clock, ["a/"]);
        const itemSync = ItemSync.createItemSync({
          peers: net.createPeers(self),
          items,
          feed: {
            handlePeerItems: (received) => items.apply(received),
            handleSuperseding: () => {},
          },
          restoreGuard: { getHeldCount: () => 0, getSuperseding: () => [] },
          state: { getEntryGraceMs: () => 0 },
          prefixes: ["a/"],
          getDomainPeers: () => LOCALS.filter((id) => id !== self),
          getReaders: () => ["local-3"],
          clock,
          log: Log.createLogger("error", {}, () => {}),
        });
        return [self, { items, itemSync }] as const;
      }),
    );
    return { clock, get: (id: string) => instances.get(id)! };
  }

  // Guards against a domain that stays behind because its reader receives no changes.
  // Status messages of peers with the same old revisions must not reset the wait, or
  // the instance never pulls from the peer that is ahead.
  it("pulls from a remote peer once when the whole domain is behind, and forwards the items", async () => {
    const { clock, get } = create();
    for (const id of [...LOCALS, "remote"]) get(id).items.apply([put(1)]);
    get("remote").items.apply([put(2)]);
    const { itemSync } = get("local-1");
    for (let ms = 0; ms < 1_000; ms += 100) {
      itemSync.recordPeerRevisions("remote", [2]);
      itemSync.recordPeerRevisions("local-2", [1]);
      await clock.advance(100);
    }
    expect(itemSync.getCounts().pulls).toBe(1);
    for (const id of LOCALS) expect(get(id).items.getRevisions()).toEqual([2]);
    expect(get("local-2").itemSync.getCounts().pulls).toBe(0);
  });

  // Guards against a fleet that loads its state through the links between regions when
  // it restarts.
  it("of an instance without items pulls from its own domain at once, and from others only after a wait", async () => {
    const { clock, get } = create();
    const { itemSync } = get("local-1");
    get("remote").items.apply([put(2)]);
    itemSync.recordPeerRevisions("remote", [2]);
    expect(itemSync.getCounts().pulls).toBe(0);
    get("local-2").items.apply([put(2)]);
    itemSync.recordPeerRevisions("local-2", [2]);
    await clock.advance(1);
    expect(itemSync.getCounts().pulls).toBe(1);
    expect(get("local-1").items.getRevisions()).toEqual([2]);

    const late = get("local-3").itemSync;
    late.recordPeerRevisions("remote", [2]);
    await clock.advance(1_000);
    late.recordPeerRevisions("remote", [2]);
    expect(late.getCounts().pulls).toBe(1);
  });

  // Guards against pulls by all instances for changes that the reader is about to push.
  it("doesn't pull while the reader's push may still arrive", async () => {
    const { clock, get } = create();
    get("local-1").items.apply([put(1)]);
    get("local-1").itemSync.recordPeerRevisions("remote", [2]);
    await clock.advance(300);
    get("local-1").itemSync.recordPeerRevisions("remote", [2]);
    get("local-3").itemSync.push([put(2)], [1]);
    await clock.advance(1_000);
    get("local-1").itemSync.recordPeerRevisions("remote", [2]);
    expect(get("local-1").itemSync.getCounts().pulls).toBe(0);
    expect(get("local-1").items.getRevisions()).toEqual([2]);
  });
});

describe("item sync over a slow link", () => {
  // Guards against a list that takes longer than the timeout of a pull, and is
  // therefore pulled again and again, queued each time and never received.
  it("waits longer after a pull that timed out, and then receives the items", async () => {
    const clock = ManualTime.createTime();
    const items = Items.createItems(clock, ["a/"]);
    const timeouts: number[] = [];
    const transferMs = 3_000;
    const list = [{ key: "a/1", revision: 5, value: "v" }];
    const itemSync = ItemSync.createItemSync({
      peers: {
        ...GatewayNet.createGatewayNet().createPeers("self"),
        async call<T>(
          _id: string,
          _method: string,
          _params: unknown,
          ms: number,
        ) {
          timeouts.push(ms);
          await clock.sleep(Math.min(ms, transferMs));
          if (ms < transferMs) return ResultCodes.fail("peerTimeout", "slow");
          return Ok({ items: list, isAll: true, revisions: [5] } as T);
        },
      },
      items,
      feed: {
        handlePeerItems: (received) => items.apply(received),
        handleSuperseding: () => {},
      },
      restoreGuard: { getHeldCount: () => 0, getSuperseding: () => [] },
      state: { getEntryGraceMs: () => 0 },
      prefixes: ["a/"],
      getDomainPeers: () => ["peer"],
      getReaders: () => [],
      clock,
      log: Log.createLogger("error", {}, () => {}),
    });
    for (let ms = 0; ms < 10_000; ms += 250) {
      itemSync.recordPeerRevisions("peer", [5]);
      await clock.advance(250);
    }
    expect(items.getRevisions()).toEqual([5]);
    expect(timeouts).toEqual([800, 1_600, 3_200]);
  });
});
