/** Counts and logs the droppable messages to peers that were dropped. */
import type * as Clock from "../clock.ts";
import * as Log from "../log.ts";
import type * as Types from "../types.ts";
import type * as SendBudget from "./send_budget.ts";

/** Shortest time in ms between two log lines with the same peer and reason. */
const LOG_INTERVAL_MS = 10_000;
/** Peers that have log lines of their own; the lines of the others are limited together. */
const MAX_LOGGED_PEERS = 32;
const OTHER_PEERS = "(other)";

/** A droppable message that was not sent. */
export interface Drop {
  readonly method: string;
  readonly peer: Types.InstanceId;
  readonly reason: SendBudget.DropReason;
  readonly bytes: number;
}

/** Figures of the budget for messages to peers. */
export interface SendUsage {
  /** Bytes that wait for all peers. */
  readonly queuedBytes: number;
  /** Connections closed, as too much waited for their peers. */
  readonly closedConnections: number;
  /** Droppable messages that were dropped, by reason. */
  readonly dropped: Readonly<Record<SendBudget.DropReason, number>>;
  readonly droppedBytes: number;
}

/** The messages dropped since the start. */
export interface Drops {
  record(drop: Drop): void;
  getCounts(): Readonly<Record<SendBudget.DropReason, number>>;
  getBytes(): number;
}

/** Creates the record; it logs at most one line per peer, reason and 10 s. */
export function createDrops(opts: {
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}): Drops {
  const limitRepeats = Log.createRepeatLimit(LOG_INTERVAL_MS, opts.clock.nowMs);
  const counts = { backlog: 0, "peer-rate": 0, "total-rate": 0 };
  const loggedPeers = new Set<Types.InstanceId>();
  let droppedBytes = 0;

  return {
    record({ bytes, method, peer, reason }) {
      counts[reason]++;
      droppedBytes += bytes;
      if (loggedPeers.size < MAX_LOGGED_PEERS) loggedPeers.add(peer);
      const name = loggedPeers.has(peer) ? peer : OTHER_PEERS;
      const repeat = limitRepeats(`${reason} ${name}`);
      if (repeat === undefined) return;
      const { suppressed } = repeat;
      opts.log.warn("peer-message-dropped", {
        method,
        peer,
        reason,
        bytes,
        suppressed,
      });
    },
    getCounts: () => ({ ...counts }),
    getBytes: () => droppedBytes,
  };
}

/** Returns the figures under the names of their metrics. */
export function formatUsage(
  usage: SendUsage,
): Readonly<Record<string, number>> {
  return {
    peerBytesQueued: usage.queuedBytes,
    peerSlowReadersClosed: usage.closedConnections,
    peerDroppedForBacklog: usage.dropped.backlog,
    peerDroppedForPeerRate: usage.dropped["peer-rate"],
    peerDroppedForTotalRate: usage.dropped["total-rate"],
    peerBytesDropped: usage.droppedBytes,
  };
}
