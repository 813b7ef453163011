/** Lines over a TCP socket. The handshake awaits each line; later lines go to a callback. */
import type * as Net from "node:net";
import type * as SendBudget from "./send_budget.ts";
import * as Wire from "./wire.ts";

/**
 * Length of the lines that are sent together from which they are not kept until
 * the end of the event-loop iteration, so that a burst is checked in time.
 */
const MAX_COLLECTED_LENGTH = 65_536;

/** Longest time in ms for which a closed socket still sends its queued data. */
const CLOSE_FLUSH_TIMEOUT_MS = 500;
/** Lines that may be queued for `read`; only a misbehaving peer exceeds them. */
const MAX_QUEUED_LINES = 64;

/** Lines over one socket. */
export interface LineSocket {
  /**
   * Returns the next line, or undefined if the socket is closed or no line
   * arrives within `timeoutMs`.
   */
  read(timeoutMs: number): Promise<string | undefined>;
  /** Sets the length limit of later lines in bytes; a longer line closes the socket. */
  setMaxLineBytes(bytes: number): void;
  /** Passes the queued and all later lines to `fn` instead of `read`. */
  onLine(fn: (line: string) => void): void;
  /** Queues a line. Returns false if the socket is closed. */
  write(line: string): boolean;
  /**
   * Queues a line that the next one of its kind supersedes, or returns why it
   * was dropped.
   */
  writeDroppable(line: string): SendBudget.DropReason | undefined;
  /** Resolves with the reason once the socket is closed. */
  readonly closed: Promise<string>;
  isClosed(): boolean;
  /** Sends queued data and closes the socket. */
  close(reason: string): void;
  /** Bytes received and sent since the socket was opened. */
  getBytes(): { readonly received: number; readonly sent: number };
}

/**
 * Wraps a connected socket; its lines are limited to MAX_HANDSHAKE_LINE_BYTES at
 * first. `budget` bounds what waits to be sent, over all sockets of the process.
 */
export function createLineSocket(
  socket: Net.Socket,
  budget: SendBudget.SendBudget,
): LineSocket {
  const splitter = Wire.createLineSplitter(Wire.MAX_HANDSHAKE_LINE_BYTES);
  const lineQueue: string[] = [];
  /**
   * Lines that are sent together at the end of the event-loop iteration, as
   * each packet wakes the remote process.
   */
  let outgoingData = "";
  let wakeReader: (() => void) | undefined;
  let lineListener: ((line: string) => void) | undefined;
  let closeReason: string | undefined;
  let resolveClosed: (reason: string) => void = () => {};
  const closed = new Promise<string>((resolve) => {
    resolveClosed = resolve;
  });

  const allowance = budget.open({
    getQueuedBytes: () => outgoingData.length + socket.writableLength,
    abort,
  });

  function close(reason: string): void {
    if (closeReason !== undefined) return;
    flush();
    // The flush may have exceeded the budget.
    if (closeReason !== undefined) return;
    // Queued responses are still sent, unless the remote end is unreachable.
    socket.destroySoon();
    setTimeout(() => socket.destroy(), CLOSE_FLUSH_TIMEOUT_MS).unref();
    finish(reason);
  }

  /** Closes the socket at once, as its queued data must not stay in memory. */
  function abort(reason: string): void {
    outgoingData = "";
    socket.destroy();
    if (closeReason === undefined) finish(reason);
  }

  function finish(reason: string): void {
    closeReason = reason;
    wakeReader?.();
    resolveClosed(reason);
  }

  function flush(): void {
    if (outgoingData === "" || closeReason !== undefined) return;
    // A buffer is counted in bytes, and what waits is kept outside the heap.
    const data = Buffer.from(outgoingData);
    outgoingData = "";
    socket.write(data);
    allowance.check();
  }

  function write(line: string): boolean {
    if (closeReason !== undefined) return false;
    if (outgoingData === "") setImmediate(flush);
    outgoingData += `${line}\n`;
    if (outgoingData.length > MAX_COLLECTED_LENGTH) flush();
    return closeReason === undefined;
  }

  function deliver(line: string): void {
    if (closeReason !== undefined) return;
    if (lineListener !== undefined) return lineListener(line);
    if (lineQueue.length >= MAX_QUEUED_LINES) return close("unexpected lines");
    lineQueue.push(line);
    wakeReader?.();
  }

  socket.setNoDelay(true);
  socket.on("data", (chunk: Buffer) => {
    if (closeReason !== undefined) return;
    const lines = splitter.push(chunk);
    if (lines === undefined) return close("line too long");
    lines.forEach(deliver);
  });
  socket.on("error", (err) => close(`socket error: ${err.message}`));
  socket.on("close", () => {
    close("closed by the other side");
    allowance.close();
  });

  return {
    async read(timeoutMs) {
      if (lineQueue.length === 0 && closeReason === undefined) {
        await new Promise<void>((resolve) => {
          const timer = setTimeout(resolve, timeoutMs);
          wakeReader = () => {
            clearTimeout(timer);
            resolve();
          };
        });
        wakeReader = undefined;
      }
      return closeReason === undefined ? lineQueue.shift() : undefined;
    },
    setMaxLineBytes: splitter.setMaxBytes,
    onLine(fn) {
      lineListener = fn;
      lineQueue.splice(0).forEach(deliver);
    },
    write,
    writeDroppable(line) {
      const dropReason = allowance.tryTake(Buffer.byteLength(line) + 1);
      if (dropReason === undefined) write(line);
      return dropReason;
    },
    closed,
    isClosed: () => closeReason !== undefined,
    close,
    getBytes: () => ({
      received: socket.bytesRead,
      sent: socket.bytesWritten,
    }),
  };
}
