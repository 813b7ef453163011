import * as fc from "fast-check";
import * as NodeNet from "node:net";
import { afterEach, describe, expect, it, vi } from "vitest";
import * as Client from "../src/peer/client.ts";
import type * as Connection from "../src/peer/connection.ts";
import * as Handshake from "../src/peer/handshake.ts";
import * as Heartbeat from "../src/peer/heartbeat.ts";
import * as Listing from "../src/peer/listing.ts";
import * as Members from "../src/peer/members.ts";
import * as Mesh from "../src/peer/mesh.ts";
import * as Release from "../src/peer/release.ts";
import * as Wire from "../src/peer/wire.ts";
import * as Rendezvous from "../src/rendezvous.ts";
import type * as Types from "../src/types.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";

const WAIT = { timeout: 15_000, interval: 20 };
const cleanups: (() => unknown)[] = [];

async function start(...args: Parameters<typeof Helpers.startNet>) {
  const started = await Helpers.startNet(...args);
  cleanups.push(started.stop);
  return started;
}

async function startLink(target: string) {
  const link = await Helpers.startLink(target);
  cleanups.push(link.close);
  return link;
}

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

function waitReachable(one: Helpers.TestNet, id: string) {
  return vi.waitFor(
    () => expect(one.net.getReachability(id)).toBe("reachable"),
    WAIT,
  );
}

/** Connects like a stranger; resolves with all lines once the other side closes. */
async function talk(
  address: string,
  answer: (line: string, socket: NodeNet.Socket) => void,
) {
  const [host, port] = address.split(":");
  const socket = NodeNet.connect({ host: host ?? "", port: Number(port) });
  const lines: string[] = [];
  socket.setEncoding("utf8");
  socket.on("error", () => {});
  socket.on("data", (text: string) => {
    for (const line of text.split("\n").filter((l) => l !== "")) {
      lines.push(line);
      answer(line, socket);
    }
  });
  await new Promise((done) => socket.once("connect", done));
  const closed = new Promise<readonly string[]>((done) =>
    socket.once("close", () => done(lines))
  );
  return { socket, closed };
}

const STRANGER = { id: "x", incarnation: "r1", role: "peer", seq: 1 } as const;
const NONCE = "ab".repeat(16);

function hello(identity: object = STRANGER): string {
  return JSON.stringify({ hello: { version: 1, identity, nonce: NONCE } });
}

describe("handshake", () => {
  it("keeps out a peer and a tool with another secret", async () => {
    const a = await start("a", []);
    const b = await start("b", [a.address], { secret: "another-secret-here" });
    const tool = Client.createPeerClient({
      address: a.address,
      secret: "another-secret-here",
      id: "tool",
    });
    const res = await tool.call("members.list", {}, 2_000);
    expect(res.unwrapErr().code.number).toBe(204);
    expect(a.net.getConnectedCount() + b.net.getConnectedCount()).toBe(0);
  });

  it("refuses a proof that was recorded on another connection", async () => {
    const a = await start("a", []);
    const seen: string[] = [];
    const link = await startLink(a.address);
    // The recorder sits between the tool and the instance.
    const recorder = NodeNet.createServer((near) => {
      const [host, port] = link.address.split(":");
      const far = NodeNet.connect({ host: host ?? "", port: Number(port) });
      near.on("data", (chunk) => {
        seen.push(...chunk.toString().split("\n").filter((l) => l !== ""));
        far.write(chunk);
      });
      far.on("data", (chunk) => void near.write(chunk));
      near.on("close", () => far.destroy());
    });
    await new Promise<void>((done) => recorder.listen(0, "127.0.0.1", done));
    cleanups.push(() => recorder.close());
    const { port } = recorder.address() as NodeNet.AddressInfo;
    const tool = Client.createPeerClient({
      address: `127.0.0.1:${port}`,
      secret: Helpers.SECRET,
      id: "tool",
    });
    expect((await tool.call("members.list", {}, 2_000)).isOk()).toBe(true);
    tool.close();
    expect(seen.join()).not.toContain(Helpers.SECRET);

    const replay = await talk(a.address, (line, socket) => {
      if (line.includes("challenge")) socket.write(`${seen[1]}\n`);
    });
    replay.socket.write(`${seen[0]}\n`);
    const lines = await replay.closed;
    expect(lines.join()).toContain("challenge");
    expect(lines.join()).not.toContain("proof");
  });

  it("refuses its own proof when an impostor sends it back", async () => {
    let reflected = 0;
    const impostor = NodeNet.createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        const message = JSON.parse(chunk.toString());
        if (message.hello === undefined) {
          reflected++;
          return void socket.write(chunk);
        }
        const { nonce } = message.hello;
        const challenge = { identity: { ...STRANGER, id: "b" }, nonce };
        socket.write(`${JSON.stringify({ challenge })}\n`);
      });
    });
    await new Promise<void>((done) => impostor.listen(0, "127.0.0.1", done));
    cleanups.push(() => impostor.close());
    const { port } = impostor.address() as NodeNet.AddressInfo;
    const a = await start("a", [`127.0.0.1:${port}`]);
    await vi.waitFor(() => expect(reflected).toBeGreaterThan(1), WAIT);
    expect(a.net.getConnectedCount()).toBe(0);
    expect(a.net.getMembers()).toEqual([]);
  });

  it("does not take itself for a peer when a relay leads back to it", async () => {
    const a = await start("a", []);
    const link = await startLink(a.address);
    a.net.addPeerAddresses([link.address]);
    await vi.waitFor(() => expect(link.getAcceptedCount()).toBe(1), WAIT);
    await vi.waitFor(() => expect(link.getOpenCount()).toBe(0), WAIT);
    expect(a.net.getConnectedCount()).toBe(0);
  });

  it("binds a proof to its direction, nonces, ids and role", () => {
    const t: Handshake.Transcript = {
      initiator: STRANGER,
      acceptor: { ...STRANGER, id: "y" },
      initiatorNonce: NONCE,
      acceptorNonce: "cd".repeat(16),
    };
    const swapped = {
      initiator: t.acceptor,
      acceptor: t.initiator,
      initiatorNonce: t.acceptorNonce,
      acceptorNonce: t.initiatorNonce,
    };
    const variants = [
      Handshake.computeProof("s", "initiator", t),
      Handshake.computeProof("s", "acceptor", t),
      Handshake.computeProof("s", "initiator", swapped),
      Handshake.computeProof("s", "acceptor", swapped),
      Handshake.computeProof("s", "initiator", {
        ...t,
        initiator: { ...STRANGER, role: "tool" },
      }),
      Handshake.computeProof("s", "initiator", {
        ...t,
        initiatorNonce: t.acceptorNonce,
      }),
      Handshake.computeProof("t", "initiator", t),
    ];
    expect(new Set(variants).size).toBe(variants.length);
  });

  it("closes a connection that stays silent or sends its hello slowly", async () => {
    const a = await start("a", []);
    const startedAt = performance.now();
    const silent = await talk(a.address, () => {});
    const slow = await talk(a.address, () => {});
    const timer = setInterval(() => slow.socket.write("{"), 100);
    await Promise.all([silent.closed, slow.closed]);
    clearInterval(timer);
    expect(performance.now() - startedAt).toBeLessThan(
      Handshake.HANDSHAKE_STEP_TIMEOUT_MS + 2_000,
    );
  });

  it("closes a connection that sends a long line before it is known", async () => {
    const a = await start("a", []);
    const stranger = await talk(a.address, () => {});
    stranger.socket.write("x".repeat(Wire.MAX_HANDSHAKE_LINE_BYTES + 1));
    expect(await stranger.closed).toEqual([]);
  });
});

/** Authenticates by hand as the tool or a peer and then sends `line`. */
async function sendAsMember(address: string, line: string) {
  const conn = await talk(address, (text, socket) => {
    const { challenge } = JSON.parse(text);
    if (challenge === undefined) return void socket.write(`${line}\n`);
    const proof = Handshake.computeProof(Helpers.SECRET, "initiator", {
      initiator: STRANGER,
      acceptor: challenge.identity,
      initiatorNonce: NONCE,
      acceptorNonce: challenge.nonce,
    });
    socket.write(`${JSON.stringify({ proof })}\n`);
  });
  conn.socket.write(`${hello()}\n`);
  return conn;
}

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
    const a = await start("a", []);
    const b = await start("b", [a.address]);
    await waitReachable(b, "a");
    const bad = [
      "not json",
      "[1]",
      '{"jsonrpc":"1.0"}',
      '{"jsonrpc":"2.0","method":"heartbeat","params":{"id":"x"}}',
      '{"jsonrpc":"2.0","method":"heartbeat","params":[1,-1,0,0,0,0,{"id":"a"}]}',
      "x".repeat(Wire.MAX_LINE_BYTES + 1),
    ];
    for (const line of bad) {
      const conn = await sendAsMember(a.address, line);
      await conn.closed;
    }
    expect(a.net.getReachability("b")).toBe("reachable");
    expect(a.net.tryGetMember("x")).toBeUndefined();
    expect(a.net.getConnectedCount()).toBe(1);
  });

  it("fails a call or an answer over 2 MB without losing the connection", async () => {
    const a = await start("a", []);
    const b = await start("b", [a.address]);
    await waitReachable(b, "a");
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

describe("peer net", () => {
  it("finds all members from one seed, and both ends use one connection", async () => {
    const a = await start("a", []);
    const rest = await Promise.all(
      ["b", "c", "d"].map((id) => start(id, [a.address])),
    );
    const all = [a, ...rest];
    await vi.waitFor(() => {
      for (const one of all) {
        expect(one.net.getMembers().filter((m) => m.isReachable)).toHaveLength(
          3,
        );
      }
    }, WAIT);
    let count = 0;
    for (const one of all) one.net.handle("count", () => void count++);
    for (const one of all) one.net.notifyAll("count", {});
    await vi.waitFor(() => expect(count).toBe(12), WAIT);
    for (const from of all) {
      for (const { heartbeat } of from.net.getMembers()) {
        const res = await from.net.call(
          heartbeat.id,
          "members.list",
          {},
          2_000,
        );
        expect(res.isOk()).toBe(true);
      }
    }
    expect(count).toBe(12);
  });

  it("keeps calls alive while the spare one of two simultaneous connections closes", async () => {
    const a = await start("a", []);
    const b = await start("b", []);
    for (const one of [a, b]) {
      one.net.handle("slow", async () => {
        await new Promise((done) => setTimeout(done, 300));
        return one.net.self;
      });
    }
    a.net.addPeerAddresses([b.address]);
    b.net.addPeerAddresses([a.address]);
    await Promise.all([waitReachable(a, "b"), waitReachable(b, "a")]);
    const calls = Array.from({ length: 40 }, async (_, i) => {
      await new Promise((done) => setTimeout(done, i * 100));
      const [from, to] = i % 2 === 0 ? [a, "b"] as const : [b, "a"] as const;
      return (await from.net.call(to, "slow", {}, 3_000)).isOk();
    });
    expect(await Promise.all(calls)).not.toContain(false);
    expect([a.net.getConnectedCount(), b.net.getConnectedCount()]).toEqual([
      1,
      1,
    ]);
  });

  it("passes on handlers' errors and unknown methods as failures", async () => {
    const a = await start("a", []);
    const b = await start("b", [a.address]);
    await waitReachable(b, "a");
    a.net.handle("bad", () => {
      throw new Error("no such shard");
    });
    a.net.handle("never", () => new Promise(() => {}));
    const bad = (await b.net.call("a", "bad", {}, 2_000)).unwrapErr();
    expect(bad.code.number).toBe(203);
    expect(bad.detail).toContain("no such shard");
    const none = (await b.net.call("a", "none", {}, 2_000)).unwrapErr();
    expect(none.code.number).toBe(203);
    const late = (await b.net.call("a", "never", {}, 100)).unwrapErr();
    expect(late.code.number).toBe(202);
    const who = (await b.net.call("zz", "never", {}, 100)).unwrapErr();
    expect(who.code.number).toBe(201);
  });

  it("tells an ended process from a black-holed link, and reconnects after both", async () => {
    const a = await start("a", []);
    const link = await startLink(a.address);
    a.heartbeat.peerAddress = link.address;
    const b = await start("b", [link.address]);
    // `a` must not get around the link.
    b.heartbeat.peerAddress = "127.0.0.1:9";
    await waitReachable(b, "a");
    link.setFrozen(true);
    await vi.waitFor(() => {
      expect(b.net.tryGetMember("a")?.isReachable).toBe(false);
      expect(b.net.getReachability("a")).toBe("silent");
    }, WAIT);
    await vi.waitFor(() => expect(b.net.getConnectedCount()).toBe(0), WAIT);
    const silent = (await b.net.call("a", "x", {}, 1_000)).unwrapErr();
    expect(silent.detail).toContain("no answer");
    link.setFrozen(false);
    await waitReachable(b, "a");

    link.close();
    await a.stop();
    await vi.waitFor(
      () => expect(b.net.getReachability("a")).toBe("refused"),
      WAIT,
    );
    const refused = (await b.net.call("a", "x", {}, 1_000)).unwrapErr();
    expect(refused.detail).toBe("connection refused");
    await start("a", [], { listen: link.address, incarnation: "a-run2" });
    await waitReachable(b, "a");
    expect(b.net.tryGetMember("a")?.heartbeat.incarnation).toBe("a-run2");
  });

  it("lets a new incarnation replace the old one while its connection is open", async () => {
    const a = await start("a", []);
    const old = await start("b", [a.address]);
    await waitReachable(a, "b");
    const link = await startLink(a.address);
    await start("b", [link.address], { incarnation: "b-run2" });
    await vi.waitFor(() => {
      const { incarnation } = a.net.tryGetMember("b")!.heartbeat;
      expect(incarnation).toBe("b-run2");
    }, WAIT);
    await old.stop();
    await waitReachable(a, "b");
    expect(a.net.getConnectedCount()).toBe(1);
  });

  it("calls a member outside the own mesh by connecting to it", async () => {
    const first = await start("m0", []);
    const rest = await Promise.all(
      Array.from(
        { length: 27 },
        (_, i) =>
          start(`m${i + 1}`, [first.address], { domain: `d-${(i + 1) % 2}` }),
      ),
    );
    const last = rest.at(-1)!;
    const outside = await vi.waitFor(() => {
      const members = last.net.getMembers();
      expect(members.filter((m) => m.isReachable)).toHaveLength(27);
      const unconnected = members.find(({ heartbeat }) =>
        last.net.getReachability(heartbeat.id) !== "reachable"
      );
      return unconnected!.heartbeat.id;
    }, WAIT);
    const before = last.net.getConnectedCount();
    expect(before).toBeLessThan(27);
    const res = await last.net.call(outside, "members.list", {}, 3_000);
    expect(res.isOk()).toBe(true);
    expect(last.net.getReachability(outside)).toBe("reachable");
  });

  it("serves the operators' tool without taking it for a member", async () => {
    const a = await start("a", []);
    a.net.handle("status", (_, from) => ({ from }));
    const tool = Client.createPeerClient({
      address: a.address,
      secret: Helpers.SECRET,
      id: "tool-1",
    });
    const res = await tool.call("status", {}, 2_000);
    expect(res.unwrap()).toEqual({ from: "tool-1" });
    expect(tool.tryGetPeerId()).toBe("a");
    expect(a.net.getMembers()).toEqual([]);
    tool.close();
    await a.stop();
    const gone = (await tool.call("status", {}, 2_000)).unwrapErr();
    expect(gone.detail).toBe("connection refused");
  });

  it("opens one connection for the tool's calls that start at the same time", async () => {
    const a = await start("a", []);
    a.net.handle("status", (_, from) => ({ from }));
    let opened = 0;
    const front = NodeNet.createServer((socket) => {
      opened++;
      const [host = "", port = ""] = a.address.split(":");
      const onward = NodeNet.connect(Number(port), host);
      for (const each of [socket, onward]) each.on("error", () => {});
      socket.pipe(onward).pipe(socket);
    });
    await new Promise<void>((done) => front.listen(0, "127.0.0.1", done));
    const { port } = front.address() as NodeNet.AddressInfo;
    const tool = Client.createPeerClient({
      address: `127.0.0.1:${port}`,
      secret: Helpers.SECRET,
      id: "tool-1",
    });
    const answers = await Promise.all(
      [1, 2, 3].map(() => tool.call("status", {}, 2_000)),
    );
    expect(answers.map((one) => one.isOk())).toEqual([true, true, true]);
    expect(opened).toBe(1);
    tool.close();
    front.close();
  });
});

describe("heartbeats on the wire", () => {
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

describe("release", () => {
  it("closes only old idle connections that nothing needs, and says so first", () => {
    const told: string[] = [];
    const create = (
      id: string,
      fields: Partial<Connection.Connection> = {},
    ) => ({
      remote: { ...STRANGER, id },
      isInitiator: true,
      openedAtMs: 0,
      isIdle: () => true,
      notify: (method: string) => void told.push(`${id} ${method}`),
      close: (reason: string) =>
        void told.push(`${id} ${Release.isRelease(reason)}`),
      ...fields,
    } as Connection.Connection);
    const connections = [
      create("unneeded"),
      create("needed"),
      create("busy", { isIdle: () => false }),
      create("young", { openedAtMs: 99_000 }),
      create("theirs", { isInitiator: false }),
    ];
    const clock = { nowMs: () => 100_000, wallMs: () => 0 };
    Release.closeUnneeded(connections, (id) => id === "needed", clock);
    expect(told).toEqual(["unneeded connection.release", "unneeded true"]);
    expect(Release.isRelease("closed by the other side")).toBe(false);
  });
});

describe("membership", () => {
  function createCase(isMeshed: boolean) {
    const state = { nowMs: 10_000, failedAtMs: -Infinity };
    const clock = { nowMs: () => state.nowMs, wallMs: () => 0 };
    const members = Members.createMembers(
      "a",
      (_, sentAtMs) => !isMeshed && sentAtMs > state.failedAtMs,
      clock,
    );
    return { state, members };
  }
  const toMember = (heartbeat: Types.Heartbeat, ageMs = 100) => ({
    heartbeat,
    ageMs,
    isReachable: ageMs < 3_000,
  });

  it("is listed whole once, then only what changed, and refreshes ages", () => {
    const listing = Listing.createListing();
    const self = Helpers.createHeartbeat("b", "d");
    const c = Helpers.createHeartbeat("c", "d");
    const ask = (version: number, others: readonly Types.Member[]) => {
      const answer = listing.answer({ version }, self, others);
      return Listing.tryReadChanges(JSON.parse(JSON.stringify(answer)))!;
    };
    const first = ask(0, [toMember(c)]);
    expect(first.members.map((m) => m.heartbeat.id)).toEqual(["b", "c"]);
    const same = ask(first.version, [toMember({ ...c, load: 0.9 }, 200)]);
    expect(same).toMatchObject({ members: [], ages: { b: 0, c: 200 } });
    const gone = ask(same.version, [toMember(c, 5_000)]);
    expect(gone.members.map((m) => m.isReachable)).toEqual([false]);
    expect(listing.answer({}, self, [toMember(c)])).toHaveLength(2);

    const { state, members } = createCase(false);
    members.noteChanges(first, 9_000);
    expect(members.tryGet("c")).toMatchObject({
      ageMs: 1_100,
      isReachable: true,
    });
    state.nowMs += 10_000;
    members.noteChanges(same, 19_000);
    expect(members.tryGet("c")).toMatchObject({
      ageMs: 1_200,
      isReachable: true,
    });
    expect(members.tryGet("c")?.heartbeat.relayedStoreSeenMsAgo).toBe(9_900);
  });

  it("does not take a member of the own mesh for reachable because others reach it", () => {
    const { members } = createCase(true);
    const ages = { c: 0 };
    const listed = toMember(Helpers.createHeartbeat("c", "d"));
    members.noteChanges({ version: 1, members: [listed], ages: {} }, 9_900);
    members.noteChanges({ version: 2, members: [], ages }, 9_950);
    expect(members.tryGet("c")?.isReachable).toBe(false);
  });

  it("takes others' word only from after the own failure to reach a member", () => {
    const { state, members } = createCase(false);
    const heartbeat = Helpers.createHeartbeat("c", "d");
    members.noteHeartbeat({ heartbeat, sentAtMs: 10_000 });
    state.nowMs = 20_000;
    expect(members.tryGet("c")?.isReachable).toBe(true);
    state.failedAtMs = 15_000;
    expect(members.tryGet("c")?.isReachable).toBe(false);
    members.noteChanges(
      { version: 1, members: [], ages: { c: 9_000 } },
      20_000,
    );
    expect(members.tryGet("c")?.isReachable).toBe(false);
    members.noteChanges({ version: 2, members: [], ages: { c: 100 } }, 20_000);
    expect(members.tryGet("c")?.isReachable).toBe(true);
  });

  it("prefers what a member said itself, and forgets ended ones", () => {
    const { state, members } = createCase(false);
    const heartbeat = Helpers.createHeartbeat("c", "d");
    members.noteHeartbeat({ heartbeat: heartbeat, sentAtMs: 9_000 });
    const old = toMember({ ...heartbeat, incarnation: "c-run0" }, 0);
    members.noteChanges({ version: 1, members: [old], ages: {} }, 9_990);
    expect(members.tryGet("c")?.heartbeat.incarnation).toBe("c-run1");
    state.nowMs += 600_000;
    members.forget(() => false);
    expect(members.tryGet("c")?.isReachable).toBe(false);
    members.forget(() => true);
    expect(members.tryGet("c")).toBeUndefined();
  });
});

describe("topology", () => {
  const createMembers = (domains: number, each: number) =>
    Array.from({ length: domains * each }, (_, i) => ({
      id: `i${i}`,
      domain: `d${i % domains}`,
      isUsable: true,
    }));

  it("is a full mesh up to 24 members, then the own domain and two of each other", () => {
    const small = createMembers(6, 4);
    expect(Mesh.selectPeers(small[0]!, small).size).toBe(23);
    const large = createMembers(17, 36);
    for (const self of large.slice(0, 40)) {
      const ids = Mesh.selectPeers(self, large);
      expect(ids.has(self.id)).toBe(false);
      expect(ids.size).toBe(35 + 2 * 16);
    }
  });

  it("replaces links to members that do not answer, and keeps trying them", () => {
    const large = createMembers(17, 36);
    const self = large[0]!;
    const before = Mesh.selectPeers(self, large);
    const lost = new Set(
      [...before].filter((id) => Number(id.slice(1)) % 17 === 1),
    );
    const after = Mesh.selectPeers(
      self,
      large.map((m) => ({ ...m, isUsable: !lost.has(m.id) })),
    );
    expect(lost.size).toBe(2);
    expect(after.size).toBe(before.size + 2);
    for (const id of before) expect(after.has(id)).toBe(true);
  });

  it("ranks alike in every process and moves few keys when an id goes", () => {
    // Fixed values: another result would split a fleet of mixed versions.
    expect(Rendezvous.rank("table", ["a", "b", "c", "d"])).toEqual(
      Rendezvous.rank("table", ["d", "c", "b", "a"]),
    );
    const ids = Array.from({ length: 10 }, (_, i) => `i${i}`);
    const keys = Array.from({ length: 2_000 }, (_, i) => `k${i}`);
    const owner = (key: string, among: readonly string[]) =>
      Rendezvous.rank(key, among)[0];
    const rest = ids.slice(1);
    for (const key of keys) {
      const before = owner(key, ids);
      if (before !== "i0") expect(owner(key, rest)).toBe(before);
    }
    const share = keys.filter((key) => owner(key, ids) === "i3").length;
    expect(share).toBeGreaterThan(130);
    expect(share).toBeLessThan(270);
  });

  it("picks in proportion to weights", () => {
    const candidates = [
      { id: "a", weight: 4 },
      { id: "b", weight: 1 },
      { id: "c", weight: 0 },
    ];
    const counts = new Map<string | undefined, number>();
    for (let i = 0; i < 5_000; i++) {
      const id = Rendezvous.weightedPick(`t1/${i}`, candidates);
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    expect(counts.get("c")).toBeUndefined();
    expect(counts.get("a")! / counts.get("b")!).toBeGreaterThan(3.4);
    expect(counts.get("a")! / counts.get("b")!).toBeLessThan(4.7);
    expect(Rendezvous.weightedPick("k", [])).toBeUndefined();
  });
});
