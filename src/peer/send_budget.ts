/**
 * Decides what may be sent to peers and what may wait for them, over all
 * connections of the process. It does no I/O.
 *
 * Load pattern: several peers don't read, because they are paused, overloaded or
 * partitioned, while this instance keeps sending to them; or a message that
 * instances forward to each other circulates and multiplies.
 *
 * Data that waits is bounded in total. When the bound is exceeded, the connection
 * with the most waiting data is closed, so that peers that read are still served.
 * Messages that the next one supersedes are droppable: they are dropped for a
 * connection with a backlog, and beyond a number of bytes per second.
 */
import type * as Clock from "../clock.ts";
import * as Wire from "./wire.ts";

/**
 * Share of the process's memory that may wait for peers: 15.6 MB of 250 MB. It
 * lies outside the heap of 158 MB and is half of the 32 MB for control traffic.
 */
const QUEUED_MEMORY_SHARE = 1 / 16;
/** Share of the total that may wait for one peer. */
const CONNECTION_SHARE = 1 / 2;
/** Two of the longest lines always fit into one connection's share. */
const MIN_QUEUED_BYTES = 2 * Wire.MAX_LINE_BYTES / CONNECTION_SHARE;
/** Total of a process whose memory the settings don't state, as the daemon's. */
const DEFAULT_QUEUED_BYTES = 16_000_000;
/**
 * Share of the total from which droppable messages to a peer are dropped; 122 KB
 * of 15.6 MB, which a link of 7 Mbit/s takes in 140 ms.
 */
const BACKLOG_SHARE = 1 / 128;

/**
 * Droppable bytes per second to one peer and to all. The busiest instance of a
 * fleet of 195 sends 2.3 KB/s to one peer and 59 KB/s in total, or 7.5 and 277 KB/s
 * while 85 targets name rates (tests/gateway/status_budget_test.ts). The total is
 * 44% of the slowest link (7 Mbit/s).
 */
export const PEER_BYTES_PER_S = 32_000;
export const TOTAL_BYTES_PER_S = 384_000;
/** Time in which a full allowance accrues, s. */
const BURST_S = 2;
/**
 * Time in ms after which a peer gets a droppable message although the total is
 * used up. Otherwise the same peers, the last in the order of sending, would get
 * none. Instances count as gone after 3 s without a report.
 */
const MAX_SUPPRESSED_MS = 1_500;

/** Reason for which the connection with the largest backlog is closed. */
export const SLOW_READER = "peer reads too slowly";

/**
 * Why a droppable message was dropped: the peer has a backlog, or the bytes per
 * second to this peer or to all are used up.
 */
export type DropReason = "backlog" | "peer-rate" | "total-rate";

/** What the budget needs of a connection. */
export interface Sender {
  /** Bytes that wait to be sent. */
  getQueuedBytes(): number;
  /** Closes the connection at once and discards what waits. */
  abort(reason: string): void;
}

/** The part of one connection. */
export interface Allowance {
  /** Takes `bytes` for a droppable message, or returns why it must be dropped. */
  tryTake(bytes: number): DropReason | undefined;
  /** Checks the bounds after data was queued; may abort this or another connection. */
  check(): void;
  /** Ends the accounting of the connection. */
  close(): void;
}

/** The budget of one process. */
export interface SendBudget {
  open(sender: Sender): Allowance;
  /** Bytes that wait for all peers. */
  getQueuedBytes(): number;
  /** Connections aborted since the start, as too much waited for their peers. */
  getAbortedCount(): number;
}

/** Returns the bytes that may wait for all peers of a process with this memory. */
export function getMaxQueuedBytes(memoryBytes: number): number {
  return Math.max(MIN_QUEUED_BYTES, memoryBytes * QUEUED_MEMORY_SHARE);
}

/** Bytes per second; a message may be sent while any are left, and the excess is made up for. */
function createRate(bytesPerS: number, nowMs: () => number) {
  const maxBytes = bytesPerS * BURST_S;
  let availableBytes = maxBytes;
  let accruedAtMs = nowMs();
  return {
    isUsedUp(): boolean {
      const now = nowMs();
      const accrued = bytesPerS * (now - accruedAtMs) / 1_000;
      availableBytes = Math.min(maxBytes, availableBytes + accrued);
      accruedAtMs = now;
      return availableBytes <= 0;
    },
    take(bytes: number): void {
      availableBytes -= bytes;
    },
  };
}

interface Entry {
  readonly sender: Sender;
  queuedBytes: number;
}

/** Creates the budget of a process. */
export function createSendBudget(opts: {
  readonly clock: Pick<Clock.Clock, "nowMs">;
  readonly maxQueuedBytes?: number | undefined;
}): SendBudget {
  const { nowMs } = opts.clock;
  const maxQueuedBytes = opts.maxQueuedBytes ?? DEFAULT_QUEUED_BYTES;
  const maxConnectionBytes = maxQueuedBytes * CONNECTION_SHARE;
  const maxBacklogBytes = maxQueuedBytes * BACKLOG_SHARE;
  const totalRate = createRate(TOTAL_BYTES_PER_S, nowMs);
  const entries = new Set<Entry>();
  let totalBytes = 0;
  let abortedCount = 0;

  function update(entry: Entry): void {
    const bytes = entry.sender.getQueuedBytes();
    totalBytes += bytes - entry.queuedBytes;
    entry.queuedBytes = bytes;
  }

  function remove(entry: Entry): void {
    if (entries.delete(entry)) totalBytes -= entry.queuedBytes;
  }

  function abort(entry: Entry): void {
    abortedCount++;
    remove(entry);
    entry.sender.abort(SLOW_READER);
  }

  /** Aborts the connections with the largest backlogs until the others fit. */
  function enforceTotal(): void {
    // What was sent since the last check of a connection is still counted.
    entries.forEach(update);
    while (totalBytes > maxQueuedBytes) {
      const largest = [...entries].reduce((a, b) =>
        b.queuedBytes > a.queuedBytes ? b : a
      );
      abort(largest);
    }
  }

  return {
    open(sender) {
      const entry: Entry = { sender, queuedBytes: 0 };
      entries.add(entry);
      const peerRate = createRate(PEER_BYTES_PER_S, nowMs);
      let lastTakenAtMs = -Infinity;
      return {
        tryTake(bytes) {
          if (sender.getQueuedBytes() > maxBacklogBytes) return "backlog";
          if (peerRate.isUsedUp()) return "peer-rate";
          const isSuppressible = nowMs() - lastTakenAtMs < MAX_SUPPRESSED_MS;
          if (totalRate.isUsedUp() && isSuppressible) return "total-rate";
          peerRate.take(bytes);
          totalRate.take(bytes);
          lastTakenAtMs = nowMs();
          return undefined;
        },
        check() {
          if (!entries.has(entry)) return;
          update(entry);
          if (entry.queuedBytes > maxConnectionBytes) return abort(entry);
          if (totalBytes > maxQueuedBytes) enforceTotal();
        },
        close: () => remove(entry),
      };
    },
    getQueuedBytes() {
      entries.forEach(update);
      return totalBytes;
    },
    getAbortedCount: () => abortedCount,
  };
}
