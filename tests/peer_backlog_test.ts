import * as Net from "node:net";
import { describe, expect, it, vi } from "vitest";
import * as Clock from "../src/clock.ts";
import * as LineSocket from "../src/peer/line_socket.ts";
import * as SendBudget from "../src/peer/send_budget.ts";
import * as Cleanups from "./support/cleanups.ts";
import * as Rig from "./support/peer_rig.ts";

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
