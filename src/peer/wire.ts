/** Framing of the peer protocol: one JSON value per line, in UTF-8. */
import type * as Types from "../types.ts";

/** Longest line in bytes that is sent or accepted after authentication. */
export const MAX_LINE_BYTES = 2 * 1024 * 1024;
/**
 * Longest line in bytes before authentication, so that unauthenticated peers
 * can't exhaust memory.
 */
export const MAX_HANDSHAKE_LINE_BYTES = 2048;

const NEWLINE = 0x0a;

/** Splits a byte stream into lines. */
export interface LineSplitter {
  /**
   * Adds a chunk and returns the lines that it completes, or undefined if a
   * line is too long.
   */
  push(chunk: Buffer): readonly string[] | undefined;
  /** Sets the length limit of later lines. */
  setMaxBytes(bytes: number): void;
}

/** Creates a splitter, which must not be used any more after a line longer than `maxBytes`. */
export function createLineSplitter(maxBytes: number): LineSplitter {
  let limitBytes = maxBytes;
  let partialChunks: Buffer[] = [];
  let partialBytes = 0;

  function completeLine(tail: Buffer): string {
    const line = partialBytes === 0
      ? tail
      : Buffer.concat([...partialChunks, tail]);
    partialChunks = [];
    partialBytes = 0;
    return line.toString("utf8");
  }

  return {
    push(chunk) {
      const lines: string[] = [];
      let start = 0;
      for (;;) {
        const end = chunk.indexOf(NEWLINE, start);
        const length = (end < 0 ? chunk.length : end) - start;
        if (partialBytes + length > limitBytes) return undefined;
        if (end < 0) break;
        lines.push(completeLine(chunk.subarray(start, end)));
        start = end + 1;
      }
      if (start < chunk.length) {
        partialChunks.push(chunk.subarray(start));
        partialBytes += chunk.length - start;
      }
      return lines;
    },
    setMaxBytes(bytes) {
      limitBytes = bytes;
    },
  };
}

/** Parses `host:port` or `[IPv6]:port`; returns undefined if the address is malformed. */
export function tryParseAddress(
  address: Types.Address,
): { readonly host: string; readonly port: number } | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(address);
  if (match === null) return undefined;
  const port = Number(match[3]);
  if (port > 65_535) return undefined;
  return { host: match[1] ?? match[2] ?? "", port };
}

/** Joins host and port; an IPv6 host is put in brackets. */
export function formatAddress(host: string, port: number): Types.Address {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
