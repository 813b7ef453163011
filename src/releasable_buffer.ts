/**
 * Collects a request body in one piece of memory, which `release` returns to the
 * system at once. Invariant: a process holds a large body exactly from its first byte
 * until its release, and holds it once. What is left to the garbage collector instead
 * stays until a collection, and its allocator may keep it beyond that, so that nobody
 * can say how much memory the bodies of a process take.
 *
 * A resizable `ArrayBuffer` is a mapping of its own. It grows in place, and resized to
 * 0 it gives its pages back. A write to a socket that still refers to the memory then
 * fails with EFAULT; it never sends other data.
 */
import * as NodeBuffer from "node:buffer";

/** Shorter bodies stay on the heap by default: a mapping takes several system calls. */
const MAX_HEAP_BYTES = 64 * 1024;
/** A body of unknown length grows to twice its size, by these bytes at least and at most. */
const MIN_GROWTH_BYTES = 16 * 1024;
const MAX_GROWTH_BYTES = 1024 * 1024;

/** A body that is being received. */
export interface ReleasableBuffer {
  /** Appends a copy of the chunk; returns false if the system has no memory for it. */
  tryAppend(chunk: Buffer): boolean;
  /** Bytes appended so far. */
  getBytes(): number;
  /** Bytes of memory for the body, with the room for what follows. */
  getHeldBytes(): number;
  /** Gives up the room that is not in use; nothing may be appended any more. */
  seal(): void;
  /** Returns what was appended so far; valid until `release`. */
  getData(): Buffer;
  /** Returns the memory to the system; the data must not be used any more. */
  release(): void;
}

/**
 * Creates an empty buffer for at most `maxBytes`. A body of `expectedBytes` is never
 * copied when it grows. Up to `maxHeapBytes` it is left to the garbage collector.
 */
export function createReleasableBuffer(
  maxBytes: number,
  expectedBytes = 0,
  maxHeapBytes = MAX_HEAP_BYTES,
): ReleasableBuffer {
  const reservedBytes = Math.min(
    expectedBytes > 0 ? expectedBytes : maxBytes,
    NodeBuffer.constants.MAX_LENGTH,
  );
  /** Memory outside the heap, once the body is large. */
  let mapping: ArrayBuffer | undefined;
  /** All of the memory; the first `usedBytes` bytes hold the body. */
  let memory: Buffer = Buffer.alloc(0);
  let usedBytes = 0;

  /** Returns the room for a body of at least `bytes`; the first chunk of most bodies is the whole. */
  function getGrownBytes(bytes: number): number {
    const growth = Math.min(
      Math.max(memory.length, MIN_GROWTH_BYTES),
      MAX_GROWTH_BYTES,
    );
    const wanted = usedBytes === 0 ? expectedBytes : memory.length + growth;
    return Math.max(bytes, Math.min(wanted, reservedBytes));
  }

  /** Returns the mapping, resized. */
  function resizeMapping(bytes: number): Buffer {
    // Empty at first, as its size at creation would press the collector until it is collected.
    mapping ??= new ArrayBuffer(0, { maxByteLength: reservedBytes });
    mapping.resize(bytes);
    return Buffer.from(mapping, 0, bytes);
  }

  function grow(bytes: number): void {
    const isInPlace = mapping !== undefined;
    const grown = bytes > maxHeapBytes
      ? resizeMapping(bytes)
      : Buffer.allocUnsafeSlow(bytes);
    if (!isInPlace) memory.copy(grown, 0, 0, usedBytes);
    memory = grown;
  }

  return {
    tryAppend(chunk) {
      const bytes = usedBytes + chunk.length;
      try {
        if (bytes > memory.length) grow(getGrownBytes(bytes));
      } catch (err) {
        if (err instanceof RangeError) return false;
        throw err;
      }
      chunk.copy(memory, usedBytes);
      usedBytes = bytes;
      return true;
    },
    getBytes: () => usedBytes,
    getHeldBytes: () => memory.length,
    seal() {
      // A view that exceeds its mapping would become empty.
      memory = memory.subarray(0, usedBytes);
      mapping?.resize(usedBytes);
    },
    getData: () => memory.subarray(0, usedBytes),
    release() {
      mapping?.resize(0);
      mapping = undefined;
      memory = Buffer.alloc(0);
      usedBytes = 0;
    },
  };
}
