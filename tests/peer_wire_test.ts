import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import * as Heartbeat from "../src/peer/heartbeat.ts";
import * as Listing from "../src/peer/listing.ts";
import * as Wire from "../src/peer/wire.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";
import * as Stranger from "../testing/fakes/stranger.ts";
import * as Rig from "./support/peer_rig.ts";

const rig = Rig.createPeerRig();

describe("lines", () => {
  it("puts lines together from chunks cut anywhere", () => {
    fc.assert(fc.property(
      fc.array(
        fc.string({ unit: "grapheme" }).map((s) => s.replaceAll("\n", "")),
      ),
      fc.integer({ min: 1, max: 7 }),
      (lines, size) => {
        const bytes = Buffer.from(lines.map((l) => `${l}\n`).join(""));
        const splitter = Wire.createLineSplitter(1_000_000);
        const out: string[] = [];
        for (let i = 0; i < bytes.length; i += size) {
          out.push(...splitter.push(bytes.subarray(i, i + size)) ?? []);
        }
        expect(out).toEqual(lines);
      },
    ));
  });

  it("closes only the connection that sent a malformed, wrong or oversized line", async () => {
    const a = await rig.start("a", []);
    const b = await rig.start("b", [a.address]);
    await Rig.waitReachable(b, "a");
    const bad = [
      "not json",
      "[1]",
      '{"jsonrpc":"1.0"}',
      '{"jsonrpc":"2.0","method":"heartbeat","params":{"id":"x"}}',
      '{"jsonrpc":"2.0","method":"heartbeat","params":[1,-1,0,0,0,0,{"id":"a"}]}',
      "x".repeat(Wire.MAX_LINE_BYTES + 1),
    ];
    for (const line of bad) {
      const conn = await Stranger.sendAsMember(a.address, line);
      await conn.closed;
    }
    expect(a.net.getReachability("b")).toBe("reachable");
    expect(a.net.tryGetMember("x")).toBeUndefined();
    expect(a.net.getConnectedCount()).toBe(1);
  });

  it("fails a call or an answer over 2 MB without losing the connection", async () => {
    const a = await rig.start("a", []);
    const b = await rig.start("b", [a.address]);
    await Rig.waitReachable(b, "a");
    const big = "x".repeat(Wire.MAX_LINE_BYTES);
    a.net.handle("big", () => big);
    a.net.handle("echo", (params) => params);
    const sent = await b.net.call("a", "echo", { big }, 2_000);
    expect(sent.unwrapErr().code.number).toBe(205);
    const answered = await b.net.call("a", "big", {}, 2_000);
    expect(answered.unwrapErr().code.number).toBe(205);
    const small = await b.net.call("a", "echo", { n: 1 }, 2_000);
    expect(small.unwrap()).toEqual({ n: 1 });
  });
});

describe("heartbeats on the wire", () => {
  it("guards against versions that do not hear each other in a rolling restart", () => {
    const { isStoreFailing: _, isTableSettled: __, ...older } = Helpers
      .createHeartbeat("b", "d");
    expect(Heartbeat.tryReadHeartbeat(older))
      .toEqual({ ...older, isStoreFailing: false, isTableSettled: false });
    const wrong = { ...older, isTableSettled: "yes" };
    expect(Heartbeat.tryReadHeartbeat(wrong)).toBeUndefined();
  });

  it("date a heartbeat by the sender's clock even when it is read late", () => {
    const remote = { id: "b", incarnation: "b-run1" };
    const mine = Heartbeat.createCodec(0, remote);
    const theirs = Heartbeat.createCodec(0, { id: "a", incarnation: "a-run1" });
    const a = Helpers.createHeartbeat("a", "d");
    const b = Helpers.createHeartbeat("b", "d");
    // The other side's clock is 500 s ahead; its codec opened at 0 on it.
    const skew = 500_000;
    theirs.decode(mine.encode(a, 10_000), 10_002 + skew);
    const wire = theirs.encode(b, 11_000 + skew);
    // This process was paused for 20 s before it read the heartbeat.
    const got = mine.decode(wire, 31_000);
    expect(got?.sentAtMs).toBeLessThanOrEqual(11_000);
    expect(got?.sentAtMs).toBeGreaterThan(10_990);
  });

  it("send what did not change only once, and give back every field", () => {
    const sender = Heartbeat.createCodec(0, { id: "a", incarnation: "a-run1" });
    const reader = Heartbeat.createCodec(0, { id: "b", incarnation: "b-run1" });
    const heartbeat = Helpers.createHeartbeat("b", "d");
    reader.decode(sender.encode(heartbeat, 1), 2);
    const next = { ...heartbeat, state: "leaving", shards: [3] } as const;
    const wire = JSON.stringify(sender.encode(next, 1_000));
    expect(wire).not.toContain("domain");
    expect(reader.decode(JSON.parse(wire), 1_001)?.heartbeat).toEqual(next);
    const never = { ...next, relayedStoreSeenMsAgo: Infinity };
    const old = JSON.stringify(sender.encode(never, 2_000));
    const got = reader.decode(JSON.parse(old), 2_001)?.heartbeat;
    expect(got?.relayedStoreSeenMsAgo).toBe(Heartbeat.MAX_AGE_MS);
  });
});

describe("readers of the wire", () => {
  it("never throw, whatever arrives", () => {
    const remote = { id: "b", incarnation: "b-run1" };
    const codec = Heartbeat.createCodec(0, remote);
    const listing = Listing.createListing();
    const self = Helpers.createHeartbeat("b", "d");
    fc.assert(
      fc.property(fc.anything(), fc.array(fc.anything()), (any, list) => {
        expect(codec.decode(any, 1)).toBeUndefined();
        expect(codec.decode(list, 1)).toBeUndefined();
        Listing.tryReadChanges(any);
        Listing.tryReadChanges({ version: 1, members: list, ages: {} });
        listing.answer(any, self, []);
      }),
    );
  });
});
