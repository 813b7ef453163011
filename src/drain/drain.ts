/**
 * Graceful shutdown. Guarantee: a planned stop interrupts no request. The
 * instance continues to serve until every cached lookup response that names it
 * has expired. Then it transfers its ledger, waits for the requests in flight,
 * transfers its shards and stops.
 */
import * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Servers from "../daemon/servers.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";

/** Time for the `leaving` heartbeat to reach the peers, whose lookup responses then omit this instance. */
const ANNOUNCE_MS = 2_000;
const POLL_MS = 25;
/** Requests end by their deadlines; this limit on the wait for them matters only after a fault. */
const MAX_WAIT_MS = 60_000;

/** Parts of the instance that a shutdown involves. */
export interface DrainOptions {
  /** Time for which callers cache a lookup response, ms. */
  readonly lookupMaxAgeMs: number;
  readonly listener: Servers.HttpListener;
  readonly ledger: Contracts.Ledger;
  readonly peers: Contracts.PeerNet;
  readonly domain: Types.Domain;
  /** Sets the state in heartbeats to `leaving` and sends a heartbeat at once. */
  readonly announceLeaving: () => void;
  readonly transferShards: () => Promise<void>;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}

/** Peers that may adopt the ledger: peers in the local domain first, then all others. */
function getSuccessors(opts: DrainOptions): readonly Types.InstanceId[] {
  const live = opts.peers.getMembers()
    .filter((peer) => peer.isReachable && peer.heartbeat.state === "live")
    .map((peer) => peer.heartbeat);
  const isLocal = (peer: Types.Heartbeat) => peer.domain === opts.domain;
  return [
    ...live.filter(isLocal),
    ...live.filter((peer) => !isLocal(peer)),
  ].map((peer) => peer.id);
}

async function transferLedger(opts: DrainOptions): Promise<void> {
  for (const successor of getSuccessors(opts).slice(0, 3)) {
    const transferred = await opts.ledger.transferTo(successor);
    if (transferred.isOk()) return;
  }
  opts.log.warn("ledger-not-handed-over", {
    entries: opts.ledger.getSize().entries,
  });
}

async function waitForRequests(opts: DrainOptions): Promise<void> {
  const deadlineAtMs = opts.clock.nowMs() + MAX_WAIT_MS;
  while (opts.listener.getInFlight() > 0 && opts.clock.nowMs() < deadlineAtMs) {
    await Clock.sleep(POLL_MS);
  }
}

/** Shuts the instance down gracefully; resolves when its listener is closed. */
export async function drain(opts: DrainOptions): Promise<void> {
  const startedAtMs = opts.clock.nowMs();
  opts.announceLeaving();
  opts.log.info("drain-started");
  await Clock.sleep(ANNOUNCE_MS);
  // From now on each response closes its connection, so that no idle connections remain at the end.
  opts.listener.setClosing();
  await Clock.sleep(opts.lookupMaxAgeMs);
  await transferLedger(opts);
  await waitForRequests(opts);
  await opts.transferShards();
  await opts.listener.close();
  opts.log.info("drain-finished", {
    ms: Math.round(opts.clock.nowMs() - startedAtMs),
  });
}
