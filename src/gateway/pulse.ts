/**
 * What instances tell each other several times a second: how current they are,
 * and how many requests they get of each account.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import type * as Feed from "./feed.ts";
import type * as Quota from "./quota.ts";

/** Bounds how far the shares of an account's limit lag behind its callers. */
const INTERVAL_MS = 250;
/** Beyond this many members pulses come less often, so that their cost per instance stays. */
const FULL_RATE_MEMBERS = 24;
const METHOD = "gateway.pulse";
/** JSON has no infinity. */
const MAX_AGE_MS = 1e9;

/** Starts to send pulses and to take those of others in. */
export function startPulses(opts: {
  readonly peers: Contracts.PeerNet;
  readonly feed: Feed.Feed;
  readonly quota: Quota.Quota;
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: Clock.Clock;
}): void {
  const { feed, peers, quota } = opts;

  function receive(params: unknown, from: Types.InstanceId): void {
    if (!Json.isObject(params)) return;
    const { demands, revision, storeAgeMs } = params;
    if (typeof revision === "number" && typeof storeAgeMs === "number") {
      feed.notePeer(from, revision, storeAgeMs);
    }
    if (Json.isObject(demands)) quota.notePeer(from, readDemands(demands));
  }

  let ticks = 0;
  peers.handle(METHOD, receive);
  opts.supervisor.every("pulse", INTERVAL_MS, () => {
    const every = Math.ceil(
      (peers.getMembers().length + 1) / FULL_RATE_MEMBERS,
    );
    if (++ticks % every !== 0) return;
    peers.notifyAll(METHOD, {
      revision: feed.getRevision(),
      storeAgeMs: Math.min(Math.round(feed.getStoreAgeMs()), MAX_AGE_MS),
      demands: quota.getDemands(),
    });
  });
}

function readDemands(raw: Json.JsonObject): Quota.Demands {
  const demands: Record<string, number> = {};
  for (const [account, value] of Object.entries(raw)) {
    if (typeof value === "number" && value >= 0) demands[account] = value;
  }
  return demands;
}
