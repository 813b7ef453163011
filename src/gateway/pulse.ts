/**
 * What instances tell each other several times a second: how current they are,
 * how many they are in their domain, and who keeps its accounts.
 */
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
import * as PeerNet from "../peer/net.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import type * as AccountPool from "./account_pool.ts";
import type * as Feed from "./feed.ts";
import type * as ItemsModule from "./items.ts";
import type * as Quota from "./quota.ts";
import type * as Roster from "./roster.ts";
import * as Sharing from "./sharing.ts";

/** Bounds how far the shares of an account's limit lag behind its callers. */
const INTERVAL_MS = 250;
/**
 * In larger fleets a pulse leaves with each heartbeat, in the same packet: each
 * packet wakes its receiver up, and a large fleet has many of them.
 */
const FULL_RATE_INSTANCES = 24;
const PULSE_METHOD = "gateway.pulse";
const DEMANDS_METHOD = "gateway.demands";
/** JSON has no infinity. */
const MAX_AGE_MS = 1e9;

/** Pulses, once they are started. */
export interface Pulses {
  /** Time between two pulses, ms. */
  getIntervalMs(): number;
  /** Processor share that an instance of the domain stated; 0 until it was heard. */
  getCapacity(id: Types.InstanceId): number;
  /** A round of heartbeats leaves now. */
  noteRound(): void;
  start(): void;
}

/** Creates the pulses and starts to take those of others in. */
export function createPulses(opts: {
  readonly peers: Contracts.PeerNet;
  readonly feed: Feed.Feed;
  readonly items: ItemsModule.Items;
  readonly sharing: Sharing.Sharing;
  readonly roster: Roster.Roster;
  readonly quota: Quota.Quota;
  readonly pool: AccountPool.AccountPool;
  readonly domain: Types.Domain;
  /** Processor share of this instance. */
  readonly capacity: number;
  readonly supervisor: Supervisor.Supervisor;
}): Pulses {
  const { domain, feed, items, peers, pool, quota, roster, sharing } = opts;
  const capacities = new Map<Types.InstanceId, number>();

  function isLarge(): boolean {
    return roster.getCount() > FULL_RATE_INSTANCES;
  }

  function getDomain(id: Types.InstanceId): Types.Domain | undefined {
    return peers.tryGetMember(id)?.heartbeat.domain;
  }

  function receivePulse(params: unknown, from: Types.InstanceId): void {
    if (!Json.isObject(params)) return;
    const { capacity, count, keeper, revisions, storeAgeMs } = params;
    if (typeof storeAgeMs === "number") feed.noteStoreAge(storeAgeMs);
    sharing.notePeer(from, Sharing.readRevisions(revisions));
    const sender = getDomain(from);
    if (sender === undefined) return;
    if (sender !== domain) {
      if (typeof count === "number") roster.noteDomainCount(sender, count);
      return;
    }
    if (typeof capacity === "number") capacities.set(from, capacity);
    if (typeof keeper === "string") pool.noteNaming(from, keeper);
  }

  /** The keepers of two domains are seldom connected; what one tells goes by way of its peers. */
  function receiveDemands(params: unknown): void {
    if (!Json.isObject(params)) return;
    const { domain: of, demands } = params;
    if (typeof of !== "string" || of === domain || !Json.isObject(demands)) {
      return;
    }
    quota.noteDomain(of, readDemands(demands));
    const keeper = pool.getKeeper();
    if (params["isPassedOn"] === true || keeper === peers.self) return;
    const message = { domain: of, demands, isPassedOn: true };
    peers.notify([keeper], DEMANDS_METHOD, message);
  }

  function sendDemands(): void {
    const others = peers.getMembers().map(({ heartbeat }) => heartbeat)
      .filter((one) => one.domain !== domain).map(({ id }) => id);
    const demands = quota.getDemands();
    peers.notify(others, DEMANDS_METHOD, { domain, demands });
  }

  function send(): void {
    const keeper = pool.getKeeper();
    peers.notifyAll(PULSE_METHOD, {
      revisions: items.getRevisions(),
      storeAgeMs: Math.min(Math.round(feed.getStoreAgeMs()), MAX_AGE_MS),
      count: roster.getDomainMembers().length,
      capacity: opts.capacity,
      keeper,
    });
    if (keeper === peers.self) sendDemands();
  }

  peers.handle(PULSE_METHOD, receivePulse);
  peers.handle(DEMANDS_METHOD, receiveDemands);
  return {
    getIntervalMs: () =>
      isLarge() ? PeerNet.HEARTBEAT_INTERVAL_MS : INTERVAL_MS,
    getCapacity: (id) => capacities.get(id) ?? 0,
    noteRound() {
      if (isLarge()) send();
    },
    start() {
      opts.supervisor.every("pulse", INTERVAL_MS, () => {
        if (!isLarge()) send();
      });
    },
  };
}

function readDemands(raw: Json.JsonObject): Quota.Demands {
  const demands: Record<string, number> = {};
  for (const [account, value] of Object.entries(raw)) {
    if (typeof value === "number" && value >= 0) demands[account] = value;
  }
  return demands;
}
