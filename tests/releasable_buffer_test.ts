import * as Net from "node:net";
import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import * as ReleasableBuffer from "../src/releasable_buffer.ts";

const MB = 1_000_000;

function getResidentBytes(): number {
  return process.memoryUsage.rss();
}

describe("a releasable buffer", () => {
  it("returns the chunks in their order, and does not keep them", () => {
    const chunks = FastCheck.array(
      FastCheck.uint8Array({ maxLength: 40_000 }),
    );
    const declares = FastCheck.boolean();
    const seals = FastCheck.boolean();
    FastCheck.assert(
      FastCheck.property(chunks, declares, seals, (parts, isDeclared, seal) => {
        const expected = Buffer.concat(parts);
        const buffer = ReleasableBuffer.createReleasableBuffer(
          10 * MB,
          isDeclared ? expected.length : 0,
        );
        for (const part of parts) {
          const chunk = Buffer.from(part);
          expect(buffer.tryAppend(chunk)).toBe(true);
          chunk.fill(0);
        }
        if (seal) buffer.seal();
        expect(buffer.getBytes()).toBe(expected.length);
        expect(buffer.getHeldBytes()).toBeGreaterThanOrEqual(expected.length);
        expect(buffer.getData().equals(expected)).toBe(true);
        buffer.release();
        expect(buffer.getHeldBytes()).toBe(0);
      }),
    );
  });

  // Guards against a body that is held twice, or until a collection, or beyond it by the allocator.
  for (
    const { name, declaredBytes } of [
      { name: "declared", declaredBytes: 48 * MB },
      { name: "unknown", declaredBytes: 0 },
    ]
  ) {
    it(`holds a body of ${name} length once, and no longer than until its release`, () => {
      const chunk = Buffer.alloc(60_000, "x");
      const before = getResidentBytes();
      const buffer = ReleasableBuffer.createReleasableBuffer(
        64 * MB,
        declaredBytes,
      );
      for (let i = 0; i < 800; i++) buffer.tryAppend(chunk);
      buffer.seal();
      expect(buffer.getData().length).toBe(48 * MB);
      const held = getResidentBytes() - before;
      expect(held).toBeGreaterThan(46 * MB);
      expect(held).toBeLessThan(60 * MB);
      expect(buffer.getHeldBytes()).toBe(48 * MB);
      buffer.release();
      expect(getResidentBytes() - before).toBeLessThan(12 * MB);
    });
  }

  it("reports that the system has no memory for a body", () => {
    const buffer = ReleasableBuffer.createReleasableBuffer(MB, MB);
    expect(buffer.tryAppend(Buffer.alloc(MB))).toBe(true);
    expect(buffer.tryAppend(Buffer.alloc(1))).toBe(false);
    expect(buffer.getBytes()).toBe(MB);
  });

  // Guards against memory of one request that is sent as part of another.
  it("fails a write of released data, and sends nothing else", async () => {
    const received: Buffer[] = [];
    const server = Net.createServer((socket) => {
      socket.on("data", (chunk) => received.push(chunk));
      socket.on("error", () => {});
      socket.on("close", () => server.close());
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as Net.AddressInfo;
    const socket = Net.connect(port, "127.0.0.1");
    await new Promise((resolve) => socket.once("connect", resolve));
    const buffer = ReleasableBuffer.createReleasableBuffer(32 * MB);
    buffer.tryAppend(Buffer.alloc(32 * MB, "x"));
    const code = new Promise((resolve) =>
      socket.once("error", (err: NodeJS.ErrnoException) => resolve(err.code))
    );
    socket.write(buffer.getData());
    expect(socket.writableLength).toBe(32 * MB);
    buffer.release();
    const other = ReleasableBuffer.createReleasableBuffer(32 * MB);
    other.tryAppend(Buffer.alloc(32 * MB, "y"));
    expect(await code).toBe("EFAULT");
    await new Promise((resolve) => server.once("close", resolve));
    const all = Buffer.concat(received);
    expect(all.length).toBeLessThan(32 * MB);
    expect(all.equals(Buffer.alloc(all.length, "x"))).toBe(true);
  });
});
