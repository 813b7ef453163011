/** A TCP socket as lines: read one by one in the handshake, then by callback. */
import type * as Net from "node:net";
import * as Wire from "./wire.ts";

/**
 * Bytes that may wait to be sent. A peer that reads so slowly is cut off, as
 * its backlog would otherwise grow without bound.
 */
const MAX_BACKLOG_BYTES = 16 * 1024 * 1024;

/** Longest wait for queued data to leave when closing. */
const FLUSH_MS = 500;
/** Lines that may wait for a reader; only a misbehaving sender exceeds it. */
const MAX_WAITING_LINES = 64;

/** Lines over one socket. */
export interface LineSocket {
  /** The next line, or undefined when the socket closes or `timeoutMs` pass. */
  read(timeoutMs: number): Promise<string | undefined>;
  /** Sets the longest line that is accepted from now on. */
  setMaxLineBytes(bytes: number): void;
  /** Ends reading one by one: later lines go to `fn`. */
  onLine(fn: (line: string) => void): void;
  /** Returns false when the line was not queued because the socket is closed. */
  write(line: string): boolean;
  /** Why it closed; resolves once. */
  readonly closed: Promise<string>;
  isClosed(): boolean;
  close(reason: string): void;
  /** Bytes received and sent since the start. */
  getBytes(): { readonly received: number; readonly sent: number };
}

/** Wraps a connected socket; an oversized line closes it. */
export function createLineSocket(socket: Net.Socket): LineSocket {
  const splitter = Wire.createLineSplitter(Wire.MAX_HANDSHAKE_LINE_BYTES);
  const waiting: string[] = [];
  /** Lines that leave together: each packet wakes the other side up. */
  let outgoing = "";
  let wake: (() => void) | undefined;
  let listener: ((line: string) => void) | undefined;
  let reason: string | undefined;
  let resolveClosed: (reason: string) => void = () => {};
  const closed = new Promise<string>((resolve) => {
    resolveClosed = resolve;
  });

  function close(why: string): void {
    if (reason !== undefined) return;
    flush();
    reason = why;
    // Answers that are queued still leave, unless the other side has vanished.
    socket.destroySoon();
    setTimeout(() => socket.destroy(), FLUSH_MS).unref();
    wake?.();
    resolveClosed(why);
  }

  function flush(): void {
    if (outgoing === "" || reason !== undefined) return;
    const text = outgoing;
    outgoing = "";
    socket.write(text);
    if (socket.writableLength > MAX_BACKLOG_BYTES) {
      close("peer reads too slowly");
    }
  }

  function deliver(line: string): void {
    if (reason !== undefined) return;
    if (listener !== undefined) return listener(line);
    if (waiting.length >= MAX_WAITING_LINES) return close("unexpected lines");
    waiting.push(line);
    wake?.();
  }

  socket.setNoDelay(true);
  socket.on("data", (chunk: Buffer) => {
    if (reason !== undefined) return;
    const lines = splitter.push(chunk);
    if (lines === undefined) return close("line too long");
    lines.forEach(deliver);
  });
  socket.on("error", (err) => close(`socket error: ${err.message}`));
  socket.on("close", () => close("closed by the other side"));

  return {
    async read(timeoutMs) {
      if (waiting.length === 0 && reason === undefined) {
        await new Promise<void>((resolve) => {
          const timer = setTimeout(resolve, timeoutMs);
          wake = () => {
            clearTimeout(timer);
            resolve();
          };
        });
        wake = undefined;
      }
      return reason === undefined ? waiting.shift() : undefined;
    },
    setMaxLineBytes: splitter.setMaxBytes,
    onLine(fn) {
      listener = fn;
      waiting.splice(0).forEach(deliver);
    },
    write(line) {
      if (reason !== undefined) return false;
      if (outgoing === "") setImmediate(flush);
      outgoing += `${line}\n`;
      if (outgoing.length > MAX_BACKLOG_BYTES) flush();
      return reason === undefined;
    },
    closed,
    isClosed: () => reason !== undefined,
    close,
    getBytes: () => ({
      received: socket.bytesRead,
      sent: socket.bytesWritten,
    }),
  };
}
