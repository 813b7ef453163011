import * as NodeNet from "node:net";
import { describe, expect, it, vi } from "vitest";
import * as Client from "../src/peer/client.ts";
import * as Handshake from "../src/peer/handshake.ts";
import * as Wire from "../src/peer/wire.ts";
import * as Helpers from "../testing/fakes/peer_net.ts";
import * as Stranger from "../testing/fakes/stranger.ts";
import * as Rig from "./support/peer_rig.ts";

const rig = Rig.createPeerRig();

describe("handshake", () => {
  it("keeps out a peer and a tool with another secret", async () => {
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

  it("refuses a proof that was recorded on another connection", async () => {
    const a = await rig.start("a", []);
    const seen: string[] = [];
    const link = await rig.startLink(a.address);
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
    rig.addCleanup(() => recorder.close());
    const { port } = recorder.address() as NodeNet.AddressInfo;
    const tool = Client.createPeerClient({
      address: `127.0.0.1:${port}`,
      secret: Helpers.SECRET,
      id: "tool",
    });
    expect((await tool.call("members.list", {}, 2_000)).isOk()).toBe(true);
    tool.close();
    expect(seen.join()).not.toContain(Helpers.SECRET);

    const replay = await Stranger.talk(a.address, (line, socket) => {
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
        const challenge = {
          identity: { ...Stranger.STRANGER, id: "b" },
          nonce,
        };
        socket.write(`${JSON.stringify({ challenge })}\n`);
      });
    });
    await new Promise<void>((done) => impostor.listen(0, "127.0.0.1", done));
    rig.addCleanup(() => impostor.close());
    const { port } = impostor.address() as NodeNet.AddressInfo;
    const a = await rig.start("a", [`127.0.0.1:${port}`]);
    await vi.waitFor(() => expect(reflected).toBeGreaterThan(1), Rig.WAIT);
    expect(a.net.getConnectedCount()).toBe(0);
    expect(a.net.getMembers()).toEqual([]);
  });

  it("does not take itself for a peer when a relay leads back to it", async () => {
    const a = await rig.start("a", []);
    const link = await rig.startLink(a.address);
    a.net.addPeerAddresses([link.address]);
    await vi.waitFor(() => expect(link.getAcceptedCount()).toBe(1), Rig.WAIT);
    await vi.waitFor(() => expect(link.getOpenCount()).toBe(0), Rig.WAIT);
    expect(a.net.getConnectedCount()).toBe(0);
  });

  it("binds a proof to its direction, nonces, ids and role", () => {
    const t: Handshake.Transcript = {
      initiator: Stranger.STRANGER,
      acceptor: { ...Stranger.STRANGER, id: "y" },
      initiatorNonce: Stranger.NONCE,
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
        initiator: { ...Stranger.STRANGER, role: "tool" },
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
    const a = await rig.start("a", []);
    const startedAt = performance.now();
    const silent = await Stranger.talk(a.address, () => {});
    const slow = await Stranger.talk(a.address, () => {});
    const timer = setInterval(() => slow.socket.write("{"), 100);
    await Promise.all([silent.closed, slow.closed]);
    clearInterval(timer);
    expect(performance.now() - startedAt).toBeLessThan(
      Handshake.HANDSHAKE_STEP_TIMEOUT_MS + 2_000,
    );
  });

  it("closes a connection that sends a long line before it is known", async () => {
    const a = await rig.start("a", []);
    const stranger = await Stranger.talk(a.address, () => {});
    stranger.socket.write("x".repeat(Wire.MAX_HANDSHAKE_LINE_BYTES + 1));
    expect(await stranger.closed).toEqual([]);
  });
});
