import * as Http from "node:http";
import * as Net from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import * as ConnectionGate from "../../src/connection_gate.ts";
import * as Limits from "../../src/connection_limits.ts";
import * as Wait from "../../testing/harness/wait.ts";

const WAIT_MS = 5_000;
const BODY_BYTES = 1_000_000;
const HEAD =
  "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
const NEXT = "GET /y HTTP/1.1\r\nhost: a\r\n\r\n";
/** Requests that begin in the longest slice. */
const MAX_SLICE_REQUESTS = Math.ceil(8 * 1_024 / NEXT.length);

describe("the bytes of a chunked body that are parsed at once", () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(() => {
    for (const cleanup of cleanups.splice(0).toReversed()) cleanup();
  });

  /** Starts a server that is crowded all the time, and connects to it. */
  async function connect() {
    const counts = { slices: 0, bodyBytes: 0, requests: 0, mostAtOnce: 0 };
    const gate = ConnectionGate.createConnectionGate({
      maxConnections: 10,
      crowdedRequests: 0,
      count: () => {},
      report: () => {},
    });
    const server = Http.createServer();
    server.on("connection", (socket: Net.Socket) => {
      const [parse] = socket.listeners("data") as ((data: Buffer) => void)[];
      socket.removeAllListeners("data").on("data", function (data: Buffer) {
        const before = counts.requests;
        counts.slices++;
        parse!.call(socket, data);
        const atOnce = counts.requests - before;
        counts.mostAtOnce = Math.max(counts.mostAtOnce, atOnce);
      });
    });
    const admit = gate.watch(server, () => ({
      maxUnanswered: Limits.MAX_UNANSWERED,
      sliceBytes: Limits.SLICE_BYTES,
      idleTimeoutMs: 10_000,
      headerTimeoutMs: 10_000,
      maxBodyBytes: 2 * BODY_BYTES,
    }));
    server.on("request", (req, res) => {
      counts.requests++;
      if (!admit(req, res)) return;
      req.on("data", (chunk: Buffer) => counts.bodyBytes += chunk.length);
      req.once("end", () => res.end("done"));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as Net.AddressInfo;
    const socket = Net.connect(port, "127.0.0.1").on("error", () => {});
    socket.resume();
    cleanups.push(gate.close, () => server.close(), () => socket.destroy());
    return { counts, socket };
  }

  function formatChunk(bytes: number): string {
    return `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
  }

  // Guards against bodies that miss their deadlines as each is parsed in thousands of pieces.
  it("grow while they are payload only", async () => {
    const { counts, socket } = await connect();
    const chunk = formatChunk(62_500);
    socket.write(`${HEAD}${chunk.repeat(BODY_BYTES / 62_500)}0\r\n\r\n`);
    const hasArrived = () => counts.bodyBytes === BODY_BYTES;
    await Wait.waitFor(hasArrived, WAIT_MS, "the body arrives");
    expect(counts.slices).toBeLessThan(500);
  });

  it("stay short in short chunks, whose end may come at any time", async () => {
    const { counts, socket } = await connect();
    const chunks = formatChunk(100).repeat(1_000);
    socket.write(`${HEAD}${chunks}0\r\n\r\n${NEXT.repeat(200)}`);
    const hasArrived = () => counts.requests >= 200;
    await Wait.waitFor(hasArrived, WAIT_MS, "the requests arrive");
    const shortBytes = Limits.SLICE_BYTES_INTERNAL;
    expect(counts.mostAtOnce).toBeLessThan(shortBytes / NEXT.length + 2);
  });

  // Guards against a body that lets thousands of requests be handled at once.
  it("hold few further requests after long chunks", async () => {
    const { counts, socket } = await connect();
    const requests = NEXT.repeat(3_000);
    socket.write(`${HEAD}${formatChunk(100_000)}0\r\n\r\n${requests}`);
    const hasArrived = () => counts.requests > MAX_SLICE_REQUESTS + 50;
    await Wait.waitFor(hasArrived, WAIT_MS, "the requests arrive");
    expect(counts.mostAtOnce).toBeLessThanOrEqual(MAX_SLICE_REQUESTS);
  });
});
