import * as NodeNet from "node:net";
import { describe, expect, it, vi } from "vitest";
import * as Client from "../src/peer/client.ts";
import * as Handshake from "../src/peer/handshake.ts";
import * as Wire from "../src/peer/wire.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";
import * as ScriptedPeer from "../testing/fakes/scripted_peer.ts";
import * as Rig from "./support/peer_rig.ts";

const rig = Rig.createPeerRig();

describe("handshake", () => {
  it("rejects a peer and a tool with another secret", async () => {
    const a = await rig.start("a", []);
    const b = await rig.start("b", [a.address], {
      secret: "another-secret-here",
    });
    const tool = Client.createPeerClient({
      address: a.address,
      secret: "another-secret-here",
      id: "tool",
    });
    const res = await tool.call("members.list", {}, 2_000);
    expect(res.unwrapErr().code.number).toBe(204);
    expect(a.net.getConnectedCount() + b.net.getConnectedCount()).toBe(0);
  });

  it("rejects a proof that was recorded on another connection", async () => {
    const a = await rig.start("a", []);
    const recordedLines: string[] = [];
    const proxy = await rig.startProxy(a.address);
    // The recorder forwards the bytes between the tool and the instance.
    const recorder = NodeNet.createServer((inbound) => {
      const [host, port] = proxy.address.split(":");
      const outbound = NodeNet.connect({
        host: host ?? "",
        port: Number(port),
      });
      inbound.on("data", (chunk) => {
        recordedLines.push(
          ...chunk.toString().split("\n").filter((line) => line !== ""),
        );
        outbound.write(chunk);
      });
      outbound.on("data", (chunk) => void inbound.write(chunk));
      inbound.on("close", () => outbound.destroy());
    });
    await new Promise<void>((resolve) =>
      recorder.listen(0, "127.0.0.1", resolve)
    );
    rig.addCleanup(() => recorder.close());
    const { port } = recorder.address() as NodeNet.AddressInfo;
    const tool = Client.createPeerClient({
      address: `127.0.0.1:${port}`,
      secret: Helpers.SECRET,
      id: "tool",
    });
    expect((await tool.call("members.list", {}, 2_000)).isOk()).toBe(true);
    tool.close();
    expect(recordedLines.join()).not.toContain(Helpers.SECRET);

    const replay = await ScriptedPeer.connect(a.address, (line, socket) => {
      if (line.includes("challenge")) socket.write(`${recordedLines[1]}\n`);
    });
    replay.socket.write(`${recordedLines[0]}\n`);
    const lines = await replay.closed;
    expect(lines.join()).toContain("challenge");
    expect(lines.join()).not.toContain("proof");
  });

  it("rejects its own proof if the remote end reflects it", async () => {
    let reflectedProofs = 0;
    const impostor = NodeNet.createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        const message = JSON.parse(chunk.toString());
        if (message.hello === undefined) {
          reflectedProofs++;
          return void socket.write(chunk);
        }
        const { nonce } = message.hello;
        const challenge = {
          identity: { ...ScriptedPeer.IDENTITY, id: "b" },
          nonce,
        };
        socket.write(`${JSON.stringify({ challenge })}\n`);
      });
    });
    await new Promise<void>((resolve) =>
      impostor.listen(0, "127.0.0.1", resolve)
    );
    rig.addCleanup(() => impostor.close());
    const { port } = impostor.address() as NodeNet.AddressInfo;
    const a = await rig.start("a", [`127.0.0.1:${port}`]);
    await vi.waitFor(
      () => expect(reflectedProofs).toBeGreaterThan(1),
      Rig.WAIT,
    );
    expect(a.net.getConnectedCount()).toBe(0);
    expect(a.net.getMembers()).toEqual([]);
  });

  it("closes a connection that a proxy leads back to the same instance", async () => {
    const a = await rig.start("a", []);
    const proxy = await rig.startProxy(a.address);
    a.net.addPeerAddresses([proxy.address]);
    await vi.waitFor(() => expect(proxy.getAcceptedCount()).toBe(1), Rig.WAIT);
    await vi.waitFor(() => expect(proxy.getOpenCount()).toBe(0), Rig.WAIT);
    expect(a.net.getConnectedCount()).toBe(0);
  });

  it("computes a different proof for each side, nonce, id, role and secret", () => {
    const transcript: Handshake.Transcript = {
      initiator: ScriptedPeer.IDENTITY,
      acceptor: { ...ScriptedPeer.IDENTITY, id: "y" },
      initiatorNonce: ScriptedPeer.NONCE,
      acceptorNonce: "cd".repeat(16),
    };
    const swapped = {
      initiator: transcript.acceptor,
      acceptor: transcript.initiator,
      initiatorNonce: transcript.acceptorNonce,
      acceptorNonce: transcript.initiatorNonce,
    };
    const variants = [
      Handshake.computeProof("s", "initiator", transcript),
      Handshake.computeProof("s", "acceptor", transcript),
      Handshake.computeProof("s", "initiator", swapped),
      Handshake.computeProof("s", "acceptor", swapped),
      Handshake.computeProof("s", "initiator", {
        ...transcript,
        initiator: { ...ScriptedPeer.IDENTITY, role: "tool" },
      }),
      Handshake.computeProof("s", "initiator", {
        ...transcript,
        initiatorNonce: transcript.acceptorNonce,
      }),
      Handshake.computeProof("t", "initiator", transcript),
    ];
    expect(new Set(variants).size).toBe(variants.length);
  });

  it("closes a connection whose hello is missing or too slow", async () => {
    const a = await rig.start("a", []);
    const startedAtMs = performance.now();
    const unresponsivePeer = await ScriptedPeer.connect(a.address, () => {});
    const slowPeer = await ScriptedPeer.connect(a.address, () => {});
    const timer = setInterval(() => slowPeer.socket.write("{"), 100);
    await Promise.all([unresponsivePeer.closed, slowPeer.closed]);
    clearInterval(timer);
    expect(performance.now() - startedAtMs).toBeLessThan(
      Handshake.HANDSHAKE_STEP_TIMEOUT_MS + 2_000,
    );
  });

  it("closes a connection that sends an oversized line before authentication", async () => {
    const a = await rig.start("a", []);
    const peer = await ScriptedPeer.connect(a.address, () => {});
    peer.socket.write("x".repeat(Wire.MAX_HANDSHAKE_LINE_BYTES + 1));
    expect(await peer.closed).toEqual([]);
  });
});
