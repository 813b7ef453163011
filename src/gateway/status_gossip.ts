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
import type * as MemberList from "./member_list.ts";
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

/** Connected instances. */
export interface Connected {
  /** Of the own domain. */
  readonly near: readonly Types.InstanceId[];
  /** Of each other domain. */
  readonly far: ReadonlyMap<Types.Domain, readonly Types.InstanceId[]>;
}

/** Pulses, once they are started. */
export interface StatusGossip {
  /** Time between two pulses, ms. */
  getIntervalMs(): number;
  /** Processor share that an instance of the domain stated; 0 until it was heard. */
  getCapacity(id: Types.InstanceId): number;
  /** A round of heartbeats leaves now. */
  onHeartbeatRound(): void;
  start(): void;
}

/** Creates the pulses and starts to take those of others in. */
export function createStatusGossip(opts: {
  readonly peers: Contracts.PeerNet;
  readonly feed: Feed.Feed;
  readonly items: ItemsModule.Items;
  readonly sharing: Sharing.Sharing;
  readonly roster: MemberList.MemberList;
  readonly quota: Quota.Quota;
  readonly pool: AccountPool.AccountPool;
  readonly domain: Types.Domain;
  readonly getConnected: () => Connected;
  /** Processor share of this instance. */
  readonly capacity: number;
  readonly supervisor: Supervisor.Supervisor;
}): StatusGossip {
  const { domain, feed, items, peers, pool, quota, roster, sharing } = opts;
  const capacities = new Map<Types.InstanceId, number>();
  /** Incarnation of each instance that got a first pulse. */
  const greeted = new Map<Types.InstanceId, string>();

  function isLarge(): boolean {
    return roster.getCount() > FULL_RATE_INSTANCES;
  }

  function getIntervalMs(): number {
    return isLarge() ? PeerNet.HEARTBEAT_INTERVAL_MS : INTERVAL_MS;
  }

  function getDomain(id: Types.InstanceId): Types.Domain | undefined {
    return peers.tryGetMember(id)?.heartbeat.domain;
  }

  function receivePulse(params: unknown, from: Types.InstanceId): void {
    if (!Json.isObject(params)) return;
    const { capacity, count, keeper, revisions, storeAgeMs } = params;
    if (typeof storeAgeMs === "number") feed.recordStoreAge(storeAgeMs);
    sharing.recordPeerRevisions(from, Sharing.readRevisions(revisions));
    const sender = getDomain(from);
    if (sender === undefined) return;
    if (sender !== domain) {
      if (typeof count === "number") roster.recordDomainCount(sender, count);
      return;
    }
    if (typeof capacity === "number") capacities.set(from, capacity);
    if (typeof keeper === "string") pool.recordCoordinatorVote(from, keeper);
  }

  /** The keepers of two domains are seldom connected; what one tells goes by way of its peers. */
  function receiveDemands(params: unknown): void {
    if (!Json.isObject(params)) return;
    const { domain: of, demands } = params;
    if (typeof of !== "string" || of === domain || !Json.isObject(demands)) {
      return;
    }
    quota.recordDomainDemands(of, readDemands(demands));
    const keeper = pool.getCoordinator();
    if (params["isPassedOn"] === true || keeper === peers.self) return;
    const message = { domain: of, demands, isPassedOn: true };
    peers.notify([keeper], DEMANDS_METHOD, message);
  }

  function sendTo(
    near: readonly Types.InstanceId[],
    far: readonly Types.InstanceId[],
  ): void {
    const pulse = {
      revisions: items.getRevisions(),
      storeAgeMs: Math.min(Math.round(feed.getStoreAgeMs()), MAX_AGE_MS),
      count: roster.getDomainMembers().length,
    };
    if (far.length > 0) peers.notify(far, PULSE_METHOD, pulse);
    const { capacity } = opts;
    const keeper = pool.getCoordinator();
    peers.notify(near, PULSE_METHOD, { ...pulse, capacity, keeper });
  }

  /** A domain whose instances start together must not wait a second for its keeper. */
  function greet(heartbeat: Types.Heartbeat): void {
    const { id, incarnation } = heartbeat;
    if (greeted.get(id) === incarnation) return;
    greeted.set(id, incarnation);
    if (heartbeat.domain === domain) sendTo([id], []);
    else sendTo([], [id]);
  }

  function send(): void {
    const { near, far } = opts.getConnected();
    sendTo(near, [...far.values()].flat());
    if (pool.getCoordinator() !== peers.self) return;
    // One of each domain passes them on; links between regions cost.
    const demands = quota.getDemands();
    const first = [...far.values()].flatMap((ids) => ids.slice(0, 1));
    peers.notify(first, DEMANDS_METHOD, { domain, demands });
  }

  peers.onHeartbeat(greet);
  peers.handle(PULSE_METHOD, receivePulse);
  peers.handle(DEMANDS_METHOD, receiveDemands);
  return {
    getIntervalMs,
    getCapacity: (id) => capacities.get(id) ?? 0,
    onHeartbeatRound() {
      if (isLarge()) send();
    },
    start() {
      opts.supervisor.every("pulse", getIntervalMs, () => {
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
