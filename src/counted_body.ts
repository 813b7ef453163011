/**
 * A request body and its part of the memory for bodies. Invariant: what the budget
 * counts is what the process holds for the body, from its first byte until its
 * release; a body that the budget gives up is released at once. Only bodies of up to
 * `maxHeapBytes` then await the garbage collector, uncounted.
 */
import type * as MemoryBudget from "./memory_budget.ts";
import * as ReleasableBuffer from "./releasable_buffer.ts";

/** Most that a body takes besides while it arrives: what is not parsed yet, and copies in the parser that await collection. */
const MAX_TRANSIENT_BYTES = 256 * 1024;

/** A body that is being received. */
export interface CountedBody {
  /** Counts the expected bytes, so that a body that can't be kept is given up before it arrives. */
  reserve(): void;
  /** Appends a copy of the chunk; returns false if there is no memory for it. */
  tryAppend(chunk: Buffer): boolean;
  /** Bytes appended so far. */
  getBytes(): number;
  /** Returns the whole body, valid until `release`, for which the budget keeps the memory; undefined if it was given up. */
  tryComplete(): Buffer | undefined;
  /** Returns the start of a body whose rest goes on to arrive, as `tryComplete`. */
  tryTakeStart(): Buffer | undefined;
  /** Returns the memory to the system and the budget. */
  release(): void;
}

/** What a body is received into. */
export interface CountedBodyOptions {
  readonly memory: MemoryBudget.MemoryBudget;
  /** Longest body, bytes. */
  readonly maxBytes: number;
  /** Length of the body, bytes; 0 if unknown. */
  readonly expectedBytes: number;
  /** Longest body that is left to the garbage collector after its release, bytes. */
  readonly maxHeapBytes?: number | undefined;
  /** Called when the budget needs the memory. */
  readonly onGivenUp: () => void;
}

/** Begins a body. */
export function createCountedBody(
  { memory, maxBytes, expectedBytes, maxHeapBytes, onGivenUp }:
    CountedBodyOptions,
): CountedBody {
  const buffer = ReleasableBuffer.createReleasableBuffer(
    maxBytes,
    expectedBytes,
    maxHeapBytes,
  );
  let isGivenUp = false;
  const holding = memory.open(() => {
    isGivenUp = true;
    release();
    onGivenUp();
  });

  function updateHolding(): void {
    const bytes = Math.max(expectedBytes, buffer.getHeldBytes());
    holding.set(bytes + Math.min(bytes, MAX_TRANSIENT_BYTES));
  }

  function release(): void {
    holding.close();
    buffer.release();
  }

  return {
    reserve: updateHolding,
    tryAppend(chunk) {
      if (isGivenUp || !buffer.tryAppend(chunk)) return false;
      updateHolding();
      return !isGivenUp;
    },
    getBytes: buffer.getBytes,
    tryComplete() {
      if (isGivenUp) return undefined;
      holding.keep();
      buffer.seal();
      holding.set(buffer.getHeldBytes());
      return buffer.getData();
    },
    tryTakeStart() {
      if (isGivenUp) return undefined;
      holding.keep();
      buffer.seal();
      updateHolding();
      return buffer.getData();
    },
    release,
  };
}
