import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import * as BodyBuffer from "../src/body_buffer.ts";
import * as Heap from "./support/heap.ts";

describe("a body buffer", () => {
  it("returns the chunks in their order, and does not keep them", () => {
    FastCheck.assert(
      FastCheck.property(
        FastCheck.array(FastCheck.uint8Array({ maxLength: 40_000 })),
        (chunks) => {
          const expected = Buffer.concat(chunks);
          const body = BodyBuffer.createBodyBuffer();
          for (const chunk of chunks) {
            body.append(
              Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length),
            );
            chunk.fill(0);
          }
          expect(body.getBytes()).toBe(expected.length);
          expect(body.take().equals(expected)).toBe(true);
        },
      ),
    );
  });

  // Guards against a sender of one byte a chunk, who makes a process keep over a hundred times what it sends.
  it("uses little more memory than the body, if each chunk has one byte", () => {
    const chunk = Buffer.from("x");
    const body = BodyBuffer.createBodyBuffer();
    const before = Heap.getUsedBytes();
    for (let i = 0; i < 1_000_000; i++) body.append(chunk);
    expect(Heap.getUsedBytes() - before).toBeLessThan(4_000_000);
    expect(body.take()).toHaveLength(1_000_000);
  });
});
