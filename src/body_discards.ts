/**
 * Limits how fast the bodies of answered requests are discarded, over all connections
 * of a process. Load pattern: many clients go on sending bodies that were rejected.
 */
import * as GatedConnection from "./gated_connection.ts";

/** Bytes of bodies that are discarded per second after their requests were answered; reading more leaves garbage faster than it is collected. */
const DISCARD_BYTES_PER_S = 4_000_000;
const MAX_DISCARD_BURST_BYTES = 4_000_000;
const DISCARD_INTERVAL_MS = 50;
/** Most that one read of a connection returns. */
const READ_BYTES = 64 * 1_024;

/** The rate at which bodies are discarded. */
export interface BodyDiscards {
  /** False if the connection has to wait, without reading, until more may be discarded; `resume` is called for it then. */
  mayDiscard(conn: GatedConnection.Connection): boolean;
  /** Records bytes that are about to be parsed. */
  record(conn: GatedConnection.Connection, bytes: number): void;
  /** Ends the wait of a connection. */
  remove(conn: GatedConnection.Connection): void;
  close(): void;
}

/** Creates the limit. */
export function createBodyDiscards(
  resume: (conn: GatedConnection.Connection) => void,
): BodyDiscards {
  /** Answered connections whose bodies wait to be discarded. */
  const waiting = new Set<GatedConnection.Connection>();
  let availableBytes = MAX_DISCARD_BURST_BYTES;
  let timer: NodeJS.Timeout | undefined;

  function refill(): void {
    timer = undefined;
    const bytes = DISCARD_BYTES_PER_S * DISCARD_INTERVAL_MS / 1_000;
    availableBytes = Math.min(availableBytes + bytes, MAX_DISCARD_BURST_BYTES);
    // If all read at once, each would hold a read that may not be discarded yet.
    let expectedBytes = 0;
    for (const conn of waiting) {
      if (expectedBytes >= availableBytes) break;
      expectedBytes += READ_BYTES;
      waiting.delete(conn);
      resume(conn);
    }
    const isFull = availableBytes === MAX_DISCARD_BURST_BYTES;
    if (!isFull || waiting.size > 0) scheduleRefill();
  }

  function scheduleRefill(): void {
    timer ??= setTimeout(refill, DISCARD_INTERVAL_MS).unref();
  }

  return {
    mayDiscard(conn) {
      if (!GatedConnection.isDiscarding(conn) || availableBytes > 0) {
        return true;
      }
      waiting.add(conn);
      scheduleRefill();
      return false;
    },
    record(conn, bytes) {
      if (GatedConnection.isDiscarding(conn)) availableBytes -= bytes;
    },
    remove: (conn) => void waiting.delete(conn),
    close: () => clearTimeout(timer),
  };
}
