/**
 * Detects a target that sends bytes which are part of no response body: empty
 * lines, interim responses or chunk extensions without end. The HTTP parser skips
 * them without a limit.
 */
import type * as Net from "node:net";

/** Heads, framing and unread data of a proper response stay far below this. */
const MAX_OVERHEAD_BYTES = 256 * 1024;
/** Framing bytes for each byte of a body, if the target sends very short chunks. */
const MAX_OVERHEAD_PER_BODY_BYTE = 8;

/** Counts the bytes of one connection. */
export interface OverheadGuard {
  /** Begins an exchange; bytes before it no longer count. */
  start(): void;
  /** Records bytes of a response body. */
  addBody(bytes: number): void;
}

/**
 * Watches the socket and calls `onExcess` when it received too many bytes beside
 * the body of the current exchange.
 */
export function watchOverhead(
  socket: Net.Socket,
  onExcess: () => void,
): OverheadGuard {
  let bytesAtStart = 0;
  let bodyBytes = 0;
  socket.on("readable", () => {
    const overheadBytes = socket.bytesRead - bytesAtStart - bodyBytes;
    const maxBytes = MAX_OVERHEAD_BYTES +
      bodyBytes * MAX_OVERHEAD_PER_BODY_BYTE;
    if (overheadBytes > maxBytes) onExcess();
  });
  return {
    start() {
      bytesAtStart = socket.bytesRead;
      bodyBytes = 0;
    },
    addBody(bytes) {
      bodyBytes += bytes;
    },
  };
}
