/**
 * Collects a body that arrives in chunks, in memory close to its size. A list of the
 * chunks would take over a hundred bytes for each, and whoever sends the body may
 * send one byte a chunk.
 */

/** Size of the blocks into which all chunks after the first are copied. */
const BLOCK_BYTES = 16 * 1024;

/** A body that is being received. */
export interface BodyBuffer {
  /** Appends a copy of the chunk. */
  append(chunk: Buffer): void;
  /** Bytes appended so far. */
  getBytes(): number;
  /** Returns the whole body; the buffer must not be used any more. */
  take(): Buffer;
}

/** Creates an empty buffer. */
export function createBodyBuffer(): BodyBuffer {
  const blocks: Buffer[] = [];
  /** The last block; the first `usedBytes` bytes hold a part of the body. */
  let lastBlock: Buffer | undefined;
  let usedBytes = 0;
  let totalBytes = 0;

  /** Copies as much of the chunk as the last block has room for; returns the rest. */
  function fillLastBlock(chunk: Buffer): Buffer {
    if (lastBlock === undefined) return chunk;
    const copied = chunk.copy(lastBlock, usedBytes);
    usedBytes += copied;
    return chunk.subarray(copied);
  }

  function addBlock(block: Buffer, used: number): void {
    if (lastBlock !== undefined) blocks.push(lastBlock);
    lastBlock = block;
    usedBytes = used;
  }

  return {
    append(chunk) {
      totalBytes += chunk.length;
      const rest = fillLastBlock(chunk);
      if (rest.length === 0) return;
      // Most bodies arrive in one chunk and need no room for another.
      const minBytes = lastBlock === undefined ? 0 : BLOCK_BYTES;
      const block = Buffer.allocUnsafeSlow(Math.max(minBytes, rest.length));
      addBlock(block, rest.copy(block));
    },
    getBytes: () => totalBytes,
    take() {
      if (lastBlock === undefined) return Buffer.alloc(0);
      const tail = lastBlock.subarray(0, usedBytes);
      return blocks.length === 0 ? tail : Buffer.concat([...blocks, tail]);
    },
  };
}
