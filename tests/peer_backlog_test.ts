import * as Net from "node:net";
import { describe, expect, it, vi } from "vitest";
import * as Clock from "../src/clock.ts";
import * as Handshake from "../src/peer/handshake.ts";
import * as LineSocket from "../src/peer/line_socket.ts";
import * as SendBudget from "../src/peer/send_budget.ts";
import * as PeerNet from "../testing/fakes/peer_net.ts";
import * as Cleanups from "./support/cleanups.ts";
import * as Rig from "./support/peer_rig.ts";

const rig = Rig.createPeerRig();
const addCleanup = Cleanups.createCleanups();
const MAX_QUEUED_BYTES = 16_000_000;

function createBudget() {
  return SendBudget.createSendBudget({
    clock: Clock.systemClock,
    maxQueuedBytes: MAX_QUEUED_BYTES,
  });
}

/** Accepts connections on loopback and returns a socket to it, with its remote end. */
async function connect(): Promise<{ local: Net.Socket; remote: Net.Socket }> {
  const server = Net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const accepted = new Promise<Net.Socket>((resolve) =>
    server.once("connection", resolve)
  );
  const { port } = server.address() as Net.AddressInfo;
  const local = Net.connect(port, "127.0.0.1");
  const remote = await accepted;
  remote.on("error", () => {});
  addCleanup(() => {
    local.destroy();
    remote.destroy();
    server.close();
  });
  return { local, remote };
}

/** Connects to an instance as the peer "silent", which reads nothing. */
async function connectSilent(address: string): Promise<Net.Socket> {
  const [host, port] = address.split(":");
  const socket = Net.connect(Number(port), host);
  addCleanup(() => void socket.destroy());
  socket.on("error", () => {});
  const lines = LineSocket.createLineSocket(socket, createBudget());
  const identity = { id: "silent", incarnation: "1", role: "peer", seq: 1 };
  const handshake = await Handshake.initiate(
    lines,
    identity as Handshake.Identity,
    PeerNet.SECRET,
  );
  expect(handshake.isOk()).toBe(true);
  socket.pause();
  return socket;
}

function nextIteration(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe("peers that don't read, over loopback", () => {
  // Guards against a heap that fills up with what waits for several of them.
  it("keep the sum of what waits bounded, while another peer is served", async () => {
    const budget = createBudget();
    const silent = [];
    for (let i = 0; i < 6; i++) {
      const { local, remote } = await connect();
      remote.pause();
      silent.push({ local, lines: LineSocket.createLineSocket(local, budget) });
    }
    const reader = await connect();
    const readerLines = LineSocket.createLineSocket(reader.local, budget);
    let receivedBytes = 0;
    reader.remote.on("data", (chunk) => receivedBytes += chunk.length);
    const line = "x".repeat(99_999);
    let highest = 0;
    for (let i = 0; i < 150; i++) {
      for (const { lines } of silent) lines.write(line);
      readerLines.write(line);
      await nextIteration();
      const queued = silent.reduce(
        (sum, { local }) => sum + local.writableLength,
        0,
      );
      highest = Math.max(highest, queued);
    }
    expect(highest).toBeLessThanOrEqual(MAX_QUEUED_BYTES + 100_000);
    expect(readerLines.isClosed()).toBe(false);
    await vi.waitFor(
      () => expect(receivedBytes).toBe(150 * 100_000),
      Rig.WAIT,
    );
    for (const { local, lines } of silent) {
      expect(lines.isClosed()).toBe(true);
      expect(local.writableLength, "its memory is released at once").toBe(0);
    }
  });

  // Guards against a burst within one iteration of the event loop, which no check
  // after the iteration would see in time.
  it("keep it bounded within one iteration of the event loop", async () => {
    const budget = createBudget();
    const { local, remote } = await connect();
    remote.pause();
    const lines = LineSocket.createLineSocket(local, budget);
    let written = 0;
    while (written < 1_000 && lines.write("x".repeat(100_000))) written++;
    expect(written * 100_000).toBeLessThanOrEqual(MAX_QUEUED_BYTES);
    expect(budget.getQueuedBytes()).toBeLessThan(200_000);
  });
});

describe("the peer network", () => {
  // Guards against bounds that keep a peer that has just started from its items.
  it("transfers 900 kB to each of several new peers, beside one that doesn't read", async () => {
    const items = Array.from({ length: 900 }, (_, i) => ({
      key: `a/${i}`,
      revision: i,
      value: "x".repeat(1_000),
    }));
    const holder = await rig.start("holder", []);
    holder.net.handle("gateway.items", () => ({ items }));
    const silent = await connectSilent(holder.address);
    const responses = await Promise.all(
      [0, 1, 2, 3, 4, 5].map(async (i) => {
        const peer = await rig.start(`new-${i}`, [holder.address]);
        await Rig.waitReachable(peer, "holder");
        return peer.net.call<{ items: unknown[] }>(
          "holder",
          "gateway.items",
          {},
          5_000,
        );
      }),
    );
    for (const response of responses) {
      expect(response.unwrap().items).toEqual(items);
    }
    expect(holder.net.getSendUsage().closedConnections).toBe(0);
    silent.destroy();
  });

  // Guards against a peer that doesn't read and takes others' messages with it.
  it("drops status messages to a peer that doesn't read and counts them, closes it when required ones wait, and serves others", async () => {
    const a = await rig.start("a", []);
    const b = await rig.start("b", [a.address]);
    await Rig.waitReachable(a, "b");
    const silent = await connectSilent(a.address);
    await vi.waitFor(
      () => expect(a.net.getConnectedCount()).toBe(2),
      Rig.WAIT,
    );
    let items = 0;
    let statuses = 0;
    b.net.handle("items", () => void items++);
    b.net.handle("status", () => void statuses++);
    const payload = "x".repeat(100_000);
    let dropped = 0;
    for (let i = 0; i < 400 && a.net.getConnectedCount() === 2; i++) {
      a.net.notify(["b", "silent"], "items", payload);
      await nextIteration();
      a.net.notify(["b", "silent"], "status", i, "droppable");
      dropped = a.net.getSendUsage().dropped.backlog;
    }
    expect(dropped).toBeGreaterThan(10);
    await vi.waitFor(() => {
      expect(a.net.getConnectedCount()).toBe(1);
      expect(a.net.getSendUsage().queuedBytes).toBe(0);
    }, Rig.WAIT);
    expect(a.net.getSendUsage().closedConnections).toBe(1);
    expect(items).toBeGreaterThan(50);
    expect(statuses).toBeGreaterThan(10);
    silent.destroy();
  });

  // Guards against a message kind that changes what an instance of an older build receives.
  it("sends a droppable message in the same form as before", async () => {
    const a = await rig.start("a", []);
    const b = await rig.start("b", [a.address]);
    const received: unknown[] = [];
    b.net.handle("status", (params) => void received.push(params));
    await Rig.waitReachable(a, "b");
    a.net.notify(["b"], "status", { count: 3 }, "droppable");
    a.net.notify(["b"], "status", { count: 3 });
    await vi.waitFor(
      () => expect(received).toEqual([{ count: 3 }, { count: 3 }]),
      Rig.WAIT,
    );
  });
});
