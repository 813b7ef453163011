import * as NodeNet from "node:net";
import { describe, expect, it, vi } from "vitest";
import * as Client from "../src/peer/client.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";
import * as Rig from "./support/peer_rig.ts";

const rig = Rig.createPeerRig();

describe("peer net", () => {
  it("finds all members from one seed, and both ends use one connection", async () => {
    const a = await rig.start("a", []);
    const rest = await Promise.all(
      ["b", "c", "d"].map((id) => rig.start(id, [a.address])),
    );
    const all = [a, ...rest];
    await vi.waitFor(() => {
      for (const one of all) {
        expect(one.net.getMembers().filter((m) => m.isReachable)).toHaveLength(
          3,
        );
      }
    }, Rig.WAIT);
    let count = 0;
    for (const one of all) one.net.handle("count", () => void count++);
    for (const one of all) one.net.notifyAll("count", {});
    await vi.waitFor(() => expect(count).toBe(12), Rig.WAIT);
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
    const a = await rig.start("a", []);
    const b = await rig.start("b", []);
    for (const one of [a, b]) {
      one.net.handle("slow", async () => {
        await new Promise((done) => setTimeout(done, 300));
        return one.net.self;
      });
    }
    a.net.addPeerAddresses([b.address]);
    b.net.addPeerAddresses([a.address]);
    await Promise.all([Rig.waitReachable(a, "b"), Rig.waitReachable(b, "a")]);
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
    const a = await rig.start("a", []);
    const b = await rig.start("b", [a.address]);
    await Rig.waitReachable(b, "a");
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
    const a = await rig.start("a", []);
    const link = await rig.startLink(a.address);
    a.heartbeat.peerAddress = link.address;
    const b = await rig.start("b", [link.address]);
    // `a` must not get around the link.
    b.heartbeat.peerAddress = "127.0.0.1:9";
    await Rig.waitReachable(b, "a");
    link.setFrozen(true);
    await vi.waitFor(() => {
      expect(b.net.tryGetMember("a")?.isReachable).toBe(false);
      expect(b.net.getReachability("a")).toBe("silent");
    }, Rig.WAIT);
    await vi.waitFor(() => expect(b.net.getConnectedCount()).toBe(0), Rig.WAIT);
    const silent = (await b.net.call("a", "x", {}, 1_000)).unwrapErr();
    expect(silent.detail).toContain("no answer");
    link.setFrozen(false);
    await Rig.waitReachable(b, "a");

    link.close();
    await a.stop();
    await vi.waitFor(
      () => expect(b.net.getReachability("a")).toBe("refused"),
      Rig.WAIT,
    );
    const refused = (await b.net.call("a", "x", {}, 1_000)).unwrapErr();
    expect(refused.detail).toBe("connection refused");
    await rig.start("a", [], { listen: link.address, incarnation: "a-run2" });
    await Rig.waitReachable(b, "a");
    expect(b.net.tryGetMember("a")?.heartbeat.incarnation).toBe("a-run2");
  });

  it("lets a new incarnation replace the old one while its connection is open", async () => {
    const a = await rig.start("a", []);
    const old = await rig.start("b", [a.address]);
    await Rig.waitReachable(a, "b");
    const link = await rig.startLink(a.address);
    await rig.start("b", [link.address], { incarnation: "b-run2" });
    await vi.waitFor(() => {
      const { incarnation } = a.net.tryGetMember("b")!.heartbeat;
      expect(incarnation).toBe("b-run2");
    }, Rig.WAIT);
    await old.stop();
    await Rig.waitReachable(a, "b");
    expect(a.net.getConnectedCount()).toBe(1);
  });

  it("calls a member outside the own mesh by connecting to it", async () => {
    const first = await rig.start("m0", []);
    const rest = await Promise.all(
      Array.from(
        { length: 27 },
        (_, i) =>
          rig.start(`m${i + 1}`, [first.address], {
            domain: `d-${(i + 1) % 2}`,
          }),
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
    }, Rig.WAIT);
    const before = last.net.getConnectedCount();
    expect(before).toBeLessThan(27);
    const res = await last.net.call(outside, "members.list", {}, 3_000);
    expect(res.isOk()).toBe(true);
    expect(last.net.getReachability(outside)).toBe("reachable");
  });

  it("serves the operators' tool without taking it for a member", async () => {
    const a = await rig.start("a", []);
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
    const a = await rig.start("a", []);
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
