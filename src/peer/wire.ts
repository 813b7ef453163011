/** Framing of the peers' protocol: one JSON value per line, UTF-8. */
import type * as Types from "../types.ts";

/** Longest line that is sent or accepted after authentication. */
export const MAX_LINE_BYTES = 2 * 1024 * 1024;
/** Longest line before authentication; keeps strangers from filling memory. */
export const MAX_HANDSHAKE_LINE_BYTES = 2048;

const NEWLINE = 0x0a;

/** Splits a byte stream into lines. */
export interface LineSplitter {
  /** Complete lines that the chunk finishes; undefined when a line is too long. */
  push(chunk: Buffer): readonly string[] | undefined;
  setMaxBytes(bytes: number): void;
}

/** Creates a splitter; a line longer than `maxBytes` ends its use. */
export function createLineSplitter(maxBytes: number): LineSplitter {
  let max = maxBytes;
  let parts: Buffer[] = [];
  let partBytes = 0;

  function takeLine(tail: Buffer): string {
    const line = partBytes === 0 ? tail : Buffer.concat([...parts, tail]);
    parts = [];
    partBytes = 0;
    return line.toString("utf8");
  }

  return {
    push(chunk) {
      const lines: string[] = [];
      let start = 0;
      for (;;) {
        const end = chunk.indexOf(NEWLINE, start);
        const length = (end < 0 ? chunk.length : end) - start;
        if (partBytes + length > max) return undefined;
        if (end < 0) break;
        lines.push(takeLine(chunk.subarray(start, end)));
        start = end + 1;
      }
      if (start < chunk.length) {
        parts.push(chunk.subarray(start));
        partBytes += chunk.length - start;
      }
      return lines;
    },
    setMaxBytes(bytes) {
      max = bytes;
    },
  };
}

/** Host and port of an address that can be connected to; undefined when malformed. */
export function tryParseAddress(
  address: Types.Address,
): { readonly host: string; readonly port: number } | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(address);
  if (match === null) return undefined;
  const port = Number(match[3]);
  if (port > 65_535) return undefined;
  return { host: match[1] ?? match[2] ?? "", port };
}

/** Joins host and port; IPv6 hosts are put in brackets. */
export function formatAddress(host: string, port: number): Types.Address {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
