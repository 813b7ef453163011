import { describe, expect, it } from "vitest";
import * as Items from "../../src/gateway/items.ts";
import * as ItemSync from "../../src/gateway/item_sync.ts";
import * as Log from "../../src/log.ts";
import * as GatewayNet from "../../testing/fakes/gateway_net.ts";
import * as ManualTime from "../../testing/fakes/manual_time.ts";

describe("the store's items among peers", () => {
  const NEAR = ["near-1", "near-2", "near-3"];
  const put = (revision: number) => ({
    key: `a/${revision}`,
    revision,
    value: "v",
  });

  function create() {
    const clock = ManualTime.createTime();
    const net = GatewayNet.createGatewayNet();
    const instances = new Map(
      [...NEAR, "far"].map((self) => {
        const items = Items.createItems(clock, ["a/"]);
        const sharing = ItemSync.createItemSync({
          peers: net.createPeers(self),
          items,
          feed: { handlePeerItems: (received) => items.apply(received) },
          state: { getEntryGraceMs: () => 0 },
          prefixes: ["a/"],
          getDomainPeers: () => NEAR.filter((id) => id !== self),
          getReaders: () => ["near-3"],
          clock,
          log: Log.createLogger("error", {}, () => {}),
        });
        return [self, { items, sharing }] as const;
      }),
    );
    return { clock, get: (id: string) => instances.get(id)! };
  }

  // Guards against a domain that stays behind: its reader hears nothing, and the
  // pulses of neighbours that are as far behind hid those of the one that is ahead.
  it("are asked for while neighbours are behind, too, and passed on", async () => {
    const { clock, get } = create();
    for (const id of [...NEAR, "far"]) get(id).items.apply([put(1)]);
    get("far").items.apply([put(2)]);
    const { sharing } = get("near-1");
    for (let ms = 0; ms < 1_000; ms += 100) {
      sharing.recordPeerRevisions("far", [2]);
      sharing.recordPeerRevisions("near-2", [1]);
      await clock.advance(100);
    }
    expect(sharing.getCounts().pulls).toBe(1);
    for (const id of NEAR) expect(get(id).items.getRevisions()).toEqual([2]);
    expect(get("near-2").sharing.getCounts().pulls).toBe(0);
  });

  // Guards against pulls by everybody for news that the reader is about to push.
  it("are not asked for while the push may be on its way", async () => {
    const { clock, get } = create();
    get("near-1").items.apply([put(1)]);
    get("near-1").sharing.recordPeerRevisions("far", [2]);
    await clock.advance(300);
    get("near-1").sharing.recordPeerRevisions("far", [2]);
    get("near-3").sharing.push([put(2)], [1]);
    await clock.advance(1_000);
    get("near-1").sharing.recordPeerRevisions("far", [2]);
    expect(get("near-1").sharing.getCounts().pulls).toBe(0);
    expect(get("near-1").items.getRevisions()).toEqual([2]);
  });
});
