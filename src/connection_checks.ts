/** Checks at intervals which connections are too slow. Decisions are in `connection_limits.ts`. */
import * as Limits from "./connection_limits.ts";
import type * as GatedConnection from "./gated_connection.ts";

const MIN_CHECK_INTERVAL_MS = 100;
const MAX_CHECK_INTERVAL_MS = 1_000;

/** The checks of one gate. */
export interface ConnectionChecks {
  /** Checks until no connection is left. */
  start(idleTimeoutMs: number): void;
  close(): void;
}

/** Creates the checks of `connections`. */
export function createConnectionChecks(
  connections: ReadonlyMap<unknown, GatedConnection.Connection>,
  closeExceeded: (
    conn: GatedConnection.Connection,
    limit: Limits.LimitName,
  ) => void,
): ConnectionChecks {
  let checkTimer: NodeJS.Timeout | undefined;

  function scheduleCheck(idleTimeoutMs: number): void {
    const intervalMs = Math.min(
      Math.max(idleTimeoutMs / 4, MIN_CHECK_INTERVAL_MS),
      MAX_CHECK_INTERVAL_MS,
    );
    checkTimer = setTimeout(checkAll, intervalMs).unref();
  }

  /** Closes connections that are too slow. */
  function checkAll(): void {
    checkTimer = undefined;
    const nowMs = performance.now();
    let minIdleTimeoutMs = Infinity;
    for (const conn of [...connections.values()]) {
      const { socket } = conn;
      const limits = conn.limits();
      minIdleTimeoutMs = Math.min(minIdleTimeoutMs, limits.idleTimeoutMs);
      const pendingBytes = socket._handle?.writeQueueSize ?? 0;
      const exceeded = Limits.findExceeded(
        conn,
        {
          receivedBytes: socket.bytesRead,
          sentBytes: (socket._bytesDispatched ?? 0) - pendingBytes,
          isSending: socket.writableLength > 0,
          isHeldBack: conn.backlogBytes > 0 || conn.isReadStopped,
        },
        nowMs,
        limits,
      );
      if (exceeded !== undefined) closeExceeded(conn, exceeded);
    }
    if (connections.size > 0) scheduleCheck(minIdleTimeoutMs);
  }

  return {
    start(idleTimeoutMs) {
      if (checkTimer === undefined) scheduleCheck(idleTimeoutMs);
    },
    close: () => clearTimeout(checkTimer),
  };
}
