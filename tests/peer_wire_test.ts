import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import * as Heartbeat from "../src/peer/heartbeat.ts";
import * as Listing from "../src/peer/listing.ts";
import * as Wire from "../src/peer/wire.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";
import * as ScriptedPeer from "../testing/fakes/scripted_peer.ts";
import * as Rig from "./support/peer_rig.ts";

const rig = Rig.createPeerRig();

describe("peer connection", () => {
  it("reassembles lines from chunks of any size", () => {
    fc.assert(fc.property(
      fc.array(
        fc.string({ unit: "grapheme" }).map((line) =>
          line.replaceAll("\n", "")
        ),
      ),
      fc.integer({ min: 1, max: 7 }),
      (lines, chunkBytes) => {
        const bytes = Buffer.from(lines.map((line) => `${line}\n`).join(""));
        const splitter = Wire.createLineSplitter(1_000_000);
        const receivedLines: string[] = [];
        for (let i = 0; i < bytes.length; i += chunkBytes) {
          receivedLines.push(
            ...splitter.push(bytes.subarray(i, i + chunkBytes)) ?? [],
          );
        }
        expect(receivedLines).toEqual(lines);
      },
    ));
  });

  it("closes on a malformed, invalid or oversized line and leaves others open", async () => {
    const a = await rig.start("a", []);
    const b = await rig.start("b", [a.address]);
    await Rig.waitReachable(b, "a");
    const invalidLines = [
      "not json",
      "[1]",
      '{"jsonrpc":"1.0"}',
      '{"jsonrpc":"2.0","method":"heartbeat","params":{"id":"x"}}',
      '{"jsonrpc":"2.0","method":"heartbeat","params":[1,-1,0,0,0,0,{"id":"a"}]}',
      "x".repeat(Wire.MAX_LINE_BYTES + 1),
    ];
    for (const line of invalidLines) {
      const conn = await ScriptedPeer.authenticateAndSend(a.address, line);
      await conn.closed;
    }
    expect(a.net.getReachability("b")).toBe("reachable");
    expect(a.net.tryGetMember("x")).toBeUndefined();
    expect(a.net.getConnectedCount()).toBe(1);
  });

  it("fails a call or a response over 2 MB and stays open", async () => {
    const a = await rig.start("a", []);
    const b = await rig.start("b", [a.address]);
    await Rig.waitReachable(b, "a");
    const oversized = "x".repeat(Wire.MAX_LINE_BYTES);
    a.net.handle("big", () => oversized);
    a.net.handle("echo", (params) => params);
    const oversizedCall = await b.net.call("a", "echo", { oversized }, 2_000);
    expect(oversizedCall.unwrapErr().code.number).toBe(205);
    const oversizedResponse = await b.net.call("a", "big", {}, 2_000);
    expect(oversizedResponse.unwrapErr().code.number).toBe(205);
    const small = await b.net.call("a", "echo", { n: 1 }, 2_000);
    expect(small.unwrap()).toEqual({ n: 1 });
  });
});

describe("heartbeat codec", () => {
  it("reads heartbeats of an older version, which a rolling restart mixes with the current one", () => {
    const { isStoreFailing: _, isTableSettled: __, ...older } = Helpers
      .createHeartbeat("b", "d");
    expect(Heartbeat.tryReadHeartbeat(older))
      .toEqual({ ...older, isStoreFailing: false, isTableSettled: false });
    const malformed = { ...older, isTableSettled: "yes" };
    expect(Heartbeat.tryReadHeartbeat(malformed)).toBeUndefined();
  });

  // Guards against a heartbeat that is dropped for its link, which older builds don't send.
  it("reads a link, and ignores a malformed one", () => {
    const heartbeat = Helpers.createHeartbeat("b", "d");
    expect(Heartbeat.tryReadHeartbeat(heartbeat)?.linkMbps).toBeUndefined();
    const linked = { ...heartbeat, linkMbps: 7.5 };
    expect(Heartbeat.tryReadHeartbeat(linked)).toEqual(linked);
    for (const linkMbps of [0, -1, "7", null, Infinity, NaN]) {
      expect(Heartbeat.tryReadHeartbeat({ ...heartbeat, linkMbps }))
        .toEqual(heartbeat);
    }
  });

  it("does not underestimate the age of a heartbeat that is read late or sent by a skewed clock", () => {
    const remote = { id: "b", incarnation: "b-run1" };
    const localCodec = Heartbeat.createCodec(0, remote);
    const peerCodec = Heartbeat.createCodec(0, {
      id: "a",
      incarnation: "a-run1",
    });
    const a = Helpers.createHeartbeat("a", "d");
    const b = Helpers.createHeartbeat("b", "d");
    // The peer's clock is 500 s ahead; its codec was opened at 0 ms on that clock.
    const clockSkewMs = 500_000;
    peerCodec.decode(localCodec.encode(a, 10_000), 10_002 + clockSkewMs);
    const params = peerCodec.encode(b, 11_000 + clockSkewMs);
    // This process was paused for 20 s before it read the heartbeat.
    const received = localCodec.decode(params, 31_000);
    expect(received?.sentAtMs).toBeLessThanOrEqual(11_000);
    expect(received?.sentAtMs).toBeGreaterThan(10_990);
  });

  it("sends an unchanged field only once and decodes every field", () => {
    const encoder = Heartbeat.createCodec(0, {
      id: "a",
      incarnation: "a-run1",
    });
    const decoder = Heartbeat.createCodec(0, {
      id: "b",
      incarnation: "b-run1",
    });
    const heartbeat = Helpers.createHeartbeat("b", "d");
    decoder.decode(encoder.encode(heartbeat, 1), 2);
    const changed = { ...heartbeat, state: "leaving", shards: [3] } as const;
    const line = JSON.stringify(encoder.encode(changed, 1_000));
    expect(line).not.toContain("domain");
    expect(decoder.decode(JSON.parse(line), 1_001)?.heartbeat).toEqual(changed);
    const neverSeen = { ...changed, relayedStoreSeenMsAgo: Infinity };
    const neverSeenLine = JSON.stringify(encoder.encode(neverSeen, 2_000));
    const received = decoder.decode(JSON.parse(neverSeenLine), 2_001)
      ?.heartbeat;
    expect(received?.relayedStoreSeenMsAgo).toBe(Heartbeat.MAX_AGE_MS);
  });
});

describe("decoders of peer messages", () => {
  it("do not throw on any input", () => {
    const remote = { id: "b", incarnation: "b-run1" };
    const codec = Heartbeat.createCodec(0, remote);
    const listing = Listing.createListing();
    const self = Helpers.createHeartbeat("b", "d");
    fc.assert(
      fc.property(fc.anything(), fc.array(fc.anything()), (value, list) => {
        expect(codec.decode(value, 1)).toBeUndefined();
        expect(codec.decode(list, 1)).toBeUndefined();
        Listing.tryReadChanges(value);
        Listing.tryReadChanges({ version: 1, members: list, ages: {} });
        listing.respond(value, self, []);
      }),
    );
  });
});
