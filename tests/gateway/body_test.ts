import * as Http from "node:http";
import * as Net from "node:net";
import { describe, expect, it, vi } from "vitest";
import * as ProductBody from "../../src/forward/body.ts";
import * as Body from "../../src/gateway/body.ts";
import * as MemoryBudget from "../../src/memory_budget.ts";
import * as Heap from "../support/heap.ts";

const CHUNKS = 300_000;
const CHUNK = "1\r\nx\r\n";
const MAX_BYTES = 8_000_000;

/** Sends a request whose body has one-byte chunks, checks the memory before the end of the body, and returns the body. */
async function receive(
  read: (req: Http.IncomingMessage) => Promise<Buffer | undefined>,
): Promise<Buffer | undefined> {
  let pending: Promise<Buffer | undefined> | undefined;
  let getReadBytes = () => 0;
  const server = Http.createServer((req) => {
    getReadBytes = () => req.socket.bytesRead;
    pending = read(req);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as Net.AddressInfo;
  const socket = Net.connect(port, "127.0.0.1");
  const before = Heap.getUsedBytes();
  socket.write(
    "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
  );
  socket.write(CHUNK.repeat(CHUNKS));
  await vi.waitFor(() => {
    expect(getReadBytes()).toBeGreaterThan(CHUNKS * CHUNK.length);
    expect(Heap.getUsedBytes() - before).toBeLessThan(MAX_BYTES);
  }, { timeout: 10_000 });
  socket.write("0\r\n\r\n");
  const body = await pending;
  socket.destroy();
  server.close();
  return body;
}

// Guards against a caller of one-byte chunks, for whose body a process keeps over a hundred times its size.
describe("a request body of one-byte chunks", () => {
  it("uses little more memory than its size at the gateway", async () => {
    const body = await receive(async (req) => {
      const memory = MemoryBudget.createMemoryBudget(1_000_000);
      const result = await Body.readBody(req, 1_000_000, memory);
      return result.kind === "complete" ? result.data : undefined;
    });
    expect(body).toHaveLength(CHUNKS);
  });

  it("uses little more memory than its size on the product's own path", async () => {
    const memory = MemoryBudget.createMemoryBudget(2_000_000);
    const limits = { maxBytes: 1_000_000, bufferBytes: 1_000_000, memory };
    const { signal } = new AbortController();
    const body = await receive(async (req) => {
      const { body } = (await ProductBody.readBody(req, limits, signal))
        .unwrap();
      return body.kind === "whole" ? body.data : undefined;
    });
    expect(body).toHaveLength(CHUNKS);
  });
});
