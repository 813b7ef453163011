/** Moves the bytes of one connection in one direction, under the faults in force. */
import type * as Net from "node:net";
import * as Clock from "../../src/clock.ts";
import * as Faults from "./faults.ts";

/** Bytes held per connection and direction; about the largest window of a TCP connection. */
const MAX_HELD_BYTES = 4 * 1024 * 1024;
/** Throttled bytes go in slices of this duration, so that connections share the link. */
const SLICE_MS = 10;

/** Current faults of a direction, and waiting for changes. */
export interface Direction {
  getFaults(): Faults.DirectionFaults;
  /** Resolves when the faults change or after `ms`. */
  waitForChange(ms?: number): Promise<void>;
  /** Reserves the link for `bytes`; returns the time in ms at which they may go. */
  reserve(bytes: number): number;
}

/** Creates the state of a direction; `setFaults` wakes everything that waits. */
export function createDirection(): Direction & {
  setFaults(next: Faults.DirectionFaults): void;
} {
  let faults = Faults.NO_FAULTS.toTarget;
  let change = new AbortController();
  let freeAtMs = 0;
  return {
    getFaults: () => faults,
    setFaults(next) {
      // Reservations at another rate say nothing about the new one.
      if (next.bytesPerS !== faults.bytesPerS) freeAtMs = 0;
      faults = next;
      const old = change;
      change = new AbortController();
      old.abort();
    },
    waitForChange(ms) {
      const { signal } = change;
      if (ms !== undefined) return Clock.sleep(ms, signal);
      return new Promise((resolve) => {
        signal.addEventListener("abort", () => resolve(), { once: true });
      });
    },
    reserve(bytes) {
      const now = Clock.systemClock.nowMs();
      if (faults.bytesPerS === 0) return now;
      const atMs = Math.max(now, freeAtMs);
      freeAtMs = atMs + bytes / faults.bytesPerS * 1_000;
      return freeAtMs;
    },
  };
}

/** How a pipe ended. */
export type PipeEnd = "ended" | "closed" | "truncated";

/** What a pipe reports while it runs. */
export interface PipeEvents {
  /** Bytes were dropped: the stream can't go on without them. */
  onLost(): void;
  onBytes(count: number): void;
}

interface Item {
  readonly atMs: number;
  /** Undefined marks the end of the stream. */
  readonly chunk: Buffer | undefined;
}

/** Reads a socket into a bounded queue. */
function createIntake(source: Net.Socket) {
  const items: Item[] = [];
  let heldBytes = 0;
  let wake: (() => void) | undefined;
  let isClosed = source.closed;

  function push(chunk: Buffer | undefined): void {
    items.push({ atMs: Clock.systemClock.nowMs(), chunk });
    heldBytes += chunk?.length ?? 0;
    if (heldBytes >= MAX_HELD_BYTES) source.pause();
    wake?.();
  }

  source.on("data", push);
  source.once("end", () => push(undefined));
  source.once("close", () => {
    isClosed = true;
    wake?.();
  });

  return {
    /** The next item; undefined when the socket was closed without an end. */
    async next(): Promise<Item | undefined> {
      while (items.length === 0) {
        if (isClosed) return undefined;
        await new Promise<void>((resolve) => wake = resolve);
      }
      const item = items.shift();
      heldBytes -= item?.chunk?.length ?? 0;
      if (heldBytes < MAX_HELD_BYTES) source.resume();
      return item;
    },
  };
}

/** Waits until the item's delay has passed and the direction is not frozen. */
async function waitForTurn(direction: Direction, item: Item): Promise<void> {
  while (true) {
    const { isFrozen, isCut, delayMs } = direction.getFaults();
    if (isCut) return;
    const leftMs = item.atMs + delayMs - Clock.systemClock.nowMs();
    if (isFrozen) await direction.waitForChange();
    else if (leftMs > 0) await direction.waitForChange(leftMs);
    else return;
  }
}

function writeOut(sink: Net.Socket, chunk: Buffer): Promise<void> {
  return new Promise((resolve) => {
    if (sink.destroyed) return resolve();
    // The callback runs with an error when the socket is destroyed, too.
    sink.write(chunk, () => resolve());
  });
}

/** Splits off what may go in one slice at the current rate. */
function getSliceBytes(direction: Direction, left: number): number {
  const { bytesPerS } = direction.getFaults();
  if (bytesPerS === 0) return left;
  return Math.min(left, Math.max(Math.ceil(bytesPerS * SLICE_MS / 1_000), 1));
}

/** Runs until the source's stream ends, a side closes, or truncation applies. */
export async function runPipe(
  source: Net.Socket,
  sink: Net.Socket,
  direction: Direction,
  events: PipeEvents,
): Promise<PipeEnd> {
  const intake = createIntake(source);
  let limit = Faults.NEVER;
  let sentBytes = 0;
  let limitFrom = 0;
  let hasLostBytes = false;

  /** Waits for the item's turn; true when it is dropped, as everything after a gap. */
  async function isDropped(item: Item): Promise<boolean> {
    await waitForTurn(direction, item);
    if (!direction.getFaults().isCut && !hasLostBytes) return false;
    hasLostBytes = true;
    events.onLost();
    return true;
  }

  /** Bytes that may still go before truncation. */
  function getAllowed(): number {
    const { truncateAfterBytes } = direction.getFaults();
    if (truncateAfterBytes !== limit) {
      limit = truncateAfterBytes;
      limitFrom = sentBytes;
    }
    return limit === Faults.NEVER ? Infinity : limitFrom + limit - sentBytes;
  }

  async function sendChunk(item: Item, chunk: Buffer): Promise<boolean> {
    let at = 0;
    while (at < chunk.length) {
      if (await isDropped(item)) return true;
      const allowed = getAllowed();
      if (allowed <= 0) return false;
      const size = getSliceBytes(direction, chunk.length - at);
      const slice = chunk.subarray(at, at + Math.min(size, allowed));
      const goAtMs = direction.reserve(slice.length);
      const waitMs = goAtMs - Clock.systemClock.nowMs();
      if (waitMs > 0) await direction.waitForChange(waitMs);
      if (await isDropped(item)) return true;
      await writeOut(sink, slice);
      at += slice.length;
      sentBytes += slice.length;
      events.onBytes(slice.length);
    }
    return getAllowed() > 0;
  }

  while (true) {
    getAllowed();
    const item = await intake.next();
    if (item === undefined || sink.destroyed) return "closed";
    if (item.chunk !== undefined) {
      const mayGoOn = await sendChunk(item, item.chunk);
      if (!mayGoOn) return "truncated";
      continue;
    }
    if (await isDropped(item)) continue;
    sink.end();
    return "ended";
  }
}
