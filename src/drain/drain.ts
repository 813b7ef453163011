/**
 * Graceful shutdown. Promise: a planned stop cuts no request. The instance
 * serves on until every cached lookup answer that names it has lapsed, then
 * hands over its ledger and shards, and ends when the last request is done.
 */
import * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Servers from "../daemon/servers.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";

/** Time for the `leaving` heartbeat to reach the peers, which answer lookups. */
const ANNOUNCE_MS = 2_000;
const POLL_MS = 25;
/** Requests end by their deadlines; this is a limit for faults only. */
const MAX_WAIT_MS = 60_000;

/** What a stop involves. */
export interface DrainOptions {
  readonly lookupMaxAgeMs: number;
  readonly listener: Servers.HttpListener;
  readonly ledger: Contracts.Ledger;
  readonly peers: Contracts.PeerNet;
  readonly domain: Types.Domain;
  /** Makes heartbeats say `leaving` and sends one at once. */
  readonly announceLeaving: () => void;
  readonly handOverShards: () => Promise<void>;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}

/** Peers that may adopt the ledger: the own domain first, then the own region. */
function getSuccessors(opts: DrainOptions): readonly Types.InstanceId[] {
  const live = opts.peers.getMembers()
    .filter((one) => one.isReachable && one.heartbeat.state === "live")
    .map((one) => one.heartbeat);
  const isNear = (one: Types.Heartbeat) => one.domain === opts.domain;
  return [
    ...live.filter(isNear),
    ...live.filter((one) => !isNear(one)),
  ].map((one) => one.id);
}

async function handOverLedger(opts: DrainOptions): Promise<void> {
  for (const successor of getSuccessors(opts).slice(0, 3)) {
    const done = await opts.ledger.transferTo(successor);
    if (done.isOk()) return;
  }
  opts.log.warn("ledger-not-handed-over", {
    entries: opts.ledger.getSize().entries,
  });
}

async function waitForRequests(opts: DrainOptions): Promise<void> {
  const limitAtMs = opts.clock.nowMs() + MAX_WAIT_MS;
  while (opts.listener.getInFlight() > 0 && opts.clock.nowMs() < limitAtMs) {
    await Clock.sleep(POLL_MS);
  }
}

/** Takes the instance out of service. */
export async function drain(opts: DrainOptions): Promise<void> {
  const startedAtMs = opts.clock.nowMs();
  opts.announceLeaving();
  opts.log.info("drain-started");
  await Clock.sleep(ANNOUNCE_MS);
  // From here each answer closes its connection, so that none is idle at the end.
  opts.listener.setClosing();
  await Clock.sleep(opts.lookupMaxAgeMs);
  await handOverLedger(opts);
  await waitForRequests(opts);
  await opts.handOverShards();
  await opts.listener.close();
  opts.log.info("drain-finished", {
    ms: Math.round(opts.clock.nowMs() - startedAtMs),
  });
}
