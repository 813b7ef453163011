import * as NodeNet from "node:net";
import { describe, expect, it, vi } from "vitest";
import * as Client from "../src/peer/client.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";
import * as Rig from "./support/peer_rig.ts";

const rig = Rig.createPeerRig();

describe("peer network", () => {
  it("connects to all members from one seed and sends each notification once per peer", async () => {
    const a = await rig.start("a", []);
    const joiners = await Promise.all(
      ["b", "c", "d"].map((id) => rig.start(id, [a.address])),
    );
    const peers = [a, ...joiners];
    await vi.waitFor(() => {
      for (const peer of peers) {
        expect(peer.net.getMembers().filter((member) => member.isReachable))
          .toHaveLength(3);
      }
    }, Rig.WAIT);
    let count = 0;
    for (const peer of peers) peer.net.handle("count", () => void count++);
    for (const peer of peers) peer.net.notifyAll("count", {});
    await vi.waitFor(() => expect(count).toBe(12), Rig.WAIT);
    for (const caller of peers) {
      for (const { heartbeat } of caller.net.getMembers()) {
        const res = await caller.net.call(
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

  it("completes calls while the duplicate of two simultaneous connections closes", async () => {
    const a = await rig.start("a", []);
    const b = await rig.start("b", []);
    for (const peer of [a, b]) {
      peer.net.handle("slow", async () => {
        await new Promise((resolve) => setTimeout(resolve, 300));
        return peer.net.self;
      });
    }
    a.net.addPeerAddresses([b.address]);
    b.net.addPeerAddresses([a.address]);
    await Promise.all([Rig.waitReachable(a, "b"), Rig.waitReachable(b, "a")]);
    const calls = Array.from({ length: 40 }, async (_, i) => {
      await new Promise((resolve) => setTimeout(resolve, i * 100));
      const [caller, calleeId] = i % 2 === 0
        ? [a, "b"] as const
        : [b, "a"] as const;
      return (await caller.net.call(calleeId, "slow", {}, 3_000)).isOk();
    });
    expect(await Promise.all(calls)).not.toContain(false);
    expect([a.net.getConnectedCount(), b.net.getConnectedCount()]).toEqual([
      1,
      1,
    ]);
  });

  it("returns handler errors, unknown methods, timeouts and unknown peers as failures", async () => {
    const a = await rig.start("a", []);
    const b = await rig.start("b", [a.address]);
    await Rig.waitReachable(b, "a");
    a.net.handle("bad", () => {
      throw new Error("no such shard");
    });
    a.net.handle("never", () => new Promise(() => {}));
    const handlerError = (await b.net.call("a", "bad", {}, 2_000)).unwrapErr();
    expect(handlerError.code.number).toBe(203);
    expect(handlerError.detail).toContain("no such shard");
    const unknownMethod = (await b.net.call("a", "none", {}, 2_000))
      .unwrapErr();
    expect(unknownMethod.code.number).toBe(203);
    const timeout = (await b.net.call("a", "never", {}, 100)).unwrapErr();
    expect(timeout.code.number).toBe(202);
    const unknownPeer = (await b.net.call("zz", "never", {}, 100)).unwrapErr();
    expect(unknownPeer.code.number).toBe(201);
  });

  it("distinguishes an ended process from an unresponsive network, and reconnects after both", async () => {
    const a = await rig.start("a", []);
    const proxy = await rig.startProxy(a.address);
    a.heartbeat.peerAddress = proxy.address;
    const b = await rig.start("b", [proxy.address]);
    // The address of `b` is wrong, so `a` can't connect to it past the proxy.
    b.heartbeat.peerAddress = "127.0.0.1:9";
    await Rig.waitReachable(b, "a");
    proxy.setFrozen(true);
    await vi.waitFor(() => {
      expect(b.net.tryGetMember("a")?.isReachable).toBe(false);
      expect(b.net.getReachability("a")).toBe("unresponsive");
    }, Rig.WAIT);
    await vi.waitFor(() => expect(b.net.getConnectedCount()).toBe(0), Rig.WAIT);
    const unresponsive = (await b.net.call("a", "x", {}, 1_000)).unwrapErr();
    expect(unresponsive.detail).toContain("no answer");
    proxy.setFrozen(false);
    await Rig.waitReachable(b, "a");

    proxy.close();
    await a.stop();
    await vi.waitFor(
      () => expect(b.net.getReachability("a")).toBe("refused"),
      Rig.WAIT,
    );
    const refused = (await b.net.call("a", "x", {}, 1_000)).unwrapErr();
    expect(refused.detail).toBe("connection refused");
    await rig.start("a", [], { listen: proxy.address, incarnation: "a-run2" });
    await Rig.waitReachable(b, "a");
    expect(b.net.tryGetMember("a")?.heartbeat.incarnation).toBe("a-run2");
  });

  it("replaces an old incarnation by a new one while the old connection is open", async () => {
    const a = await rig.start("a", []);
    const oldRun = await rig.start("b", [a.address]);
    await Rig.waitReachable(a, "b");
    const proxy = await rig.startProxy(a.address);
    await rig.start("b", [proxy.address], { incarnation: "b-run2" });
    await vi.waitFor(() => {
      const { incarnation } = a.net.tryGetMember("b")!.heartbeat;
      expect(incarnation).toBe("b-run2");
    }, Rig.WAIT);
    await oldRun.stop();
    await Rig.waitReachable(a, "b");
    expect(a.net.getConnectedCount()).toBe(1);
  });

  it("connects to a member outside its mesh in order to call it", async () => {
    const first = await rig.start("m0", []);
    const joiners = await Promise.all(
      Array.from(
        { length: 27 },
        (_, i) =>
          rig.start(`m${i + 1}`, [first.address], {
            domain: `d-${(i + 1) % 2}`,
          }),
      ),
    );
    const lastJoined = joiners.at(-1)!;
    const unconnectedId = await vi.waitFor(() => {
      const members = lastJoined.net.getMembers();
      expect(members.filter((member) => member.isReachable)).toHaveLength(27);
      const unconnected = members.find(({ heartbeat }) =>
        lastJoined.net.getReachability(heartbeat.id) !== "reachable"
      );
      return unconnected!.heartbeat.id;
    }, Rig.WAIT);
    const connectedBefore = lastJoined.net.getConnectedCount();
    expect(connectedBefore).toBeLessThan(27);
    const res = await lastJoined.net.call(
      unconnectedId,
      "members.list",
      {},
      3_000,
    );
    expect(res.isOk()).toBe(true);
    expect(lastJoined.net.getReachability(unconnectedId)).toBe("reachable");
  });

  it("serves the operators' tool and does not list it as a member", async () => {
    const a = await rig.start("a", []);
    a.net.handle("status", (_, callerId) => ({ from: callerId }));
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
    const afterStop = (await tool.call("status", {}, 2_000)).unwrapErr();
    expect(afterStop.detail).toBe("connection refused");
  });

  it("receives concurrent calls of the operators' tool over one connection", async () => {
    const a = await rig.start("a", []);
    a.net.handle("status", (_, callerId) => ({ from: callerId }));
    let openedCount = 0;
    const countingProxy = NodeNet.createServer((socket) => {
      openedCount++;
      const [host = "", port = ""] = a.address.split(":");
      const upstream = NodeNet.connect(Number(port), host);
      for (const end of [socket, upstream]) end.on("error", () => {});
      socket.pipe(upstream).pipe(socket);
    });
    await new Promise<void>((resolve) =>
      countingProxy.listen(0, "127.0.0.1", resolve)
    );
    const { port } = countingProxy.address() as NodeNet.AddressInfo;
    const tool = Client.createPeerClient({
      address: `127.0.0.1:${port}`,
      secret: Helpers.SECRET,
      id: "tool-1",
    });
    const responses = await Promise.all(
      [1, 2, 3].map(() => tool.call("status", {}, 2_000)),
    );
    expect(responses.map((response) => response.isOk())).toEqual([
      true,
      true,
      true,
    ]);
    expect(openedCount).toBe(1);
    tool.close();
    countingProxy.close();
  });
});
