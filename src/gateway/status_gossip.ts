/**
 * Status messages that instances send to each other: store revisions, store age, the
 * contact of a store reader, member count of the domain, rates that targets name, and
 * the coordinator of the domain's accounts. In a large fleet they also tell the peers
 * of the local domain which instances the sender is connected to, and the member
 * counts of the other domains, as most instances are connected to hubs only.
 * Coordinators also send the demands of their domain. Load reports of targets are sent
 * in messages of their own (`load_exchange.ts`), as they are of use for a second only.
 */
import * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
import * as PeerNet from "../peer/net.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import type * as AccountPool from "./account_pool.ts";
import * as DomainView from "./domain_view.ts";
import type * as Feed from "./feed.ts";
import type * as ItemsModule from "./items.ts";
import type * as Quota from "./quota.ts";
import type * as MemberList from "./member_list.ts";
import * as ItemSync from "./item_sync.ts";
import * as LoadExchange from "./load_exchange.ts";
import * as RelayedObservation from "./relayed_observation.ts";
import type * as RestoreGuard from "./restore_guard.ts";
import type * as StoreContact from "./store_contact.ts";
import * as TargetLimits from "./target_limits.ts";

/** Bounds how far the shares of an account's limit lag behind its callers. */
const INTERVAL_MS = 250;
/**
 * In fleets larger than this, a status message is sent with each heartbeat, in the
 * same packet: each packet wakes up its receiver, and a large fleet has many.
 */
const MAX_FULL_RATE_INSTANCES = 24;
const STATUS_METHOD = "gateway.pulse";
const DEMANDS_METHOD = "gateway.demands";
const LOADS_METHOD = "gateway.loads";
/** JSON cannot represent infinity. */
const MAX_AGE_MS = 1e9;

/** Connected peers, by domain. */
export interface ConnectedPeers {
  /** Peers of the local domain. */
  readonly local: readonly Types.InstanceId[];
  /** Peers of each other domain. */
  readonly remote: ReadonlyMap<Types.Domain, readonly Types.InstanceId[]>;
}

/** Sends status messages after `start`. */
export interface StatusGossip {
  /** Interval between two status messages, ms. */
  getIntervalMs(): number;
  /** Sends a status message to the peers of the local domain at once. */
  sendToDomain(): void;
  /** Sends status messages in the packets of the heartbeats that are being sent; only in large fleets. */
  sendWithHeartbeats(): void;
  start(): void;
}

/** Creates the gossip and starts to handle the messages of peers. */
export function createStatusGossip(opts: {
  readonly peers: Contracts.PeerNet;
  readonly feed: Feed.Feed;
  readonly items: ItemsModule.Items;
  readonly itemSync: ItemSync.ItemSync;
  readonly restoreGuard: Pick<RestoreGuard.RestoreGuard, "getHeldCount">;
  readonly memberList: MemberList.MemberList;
  readonly domainView: DomainView.DomainView;
  /** Instances of the local domain, as this instance itself sees them. */
  readonly getDomainReport: () => DomainView.DomainReport;
  readonly storeContact: Pick<
    StoreContact.StoreContact,
    "recordPeerAge" | "tryGetReportedAgeMs"
  >;
  readonly targetLimits: TargetLimits.TargetLimits;
  readonly loadExchange: LoadExchange.LoadExchange;
  readonly quota: Quota.Quota;
  readonly pool: AccountPool.AccountPool;
  readonly domain: Types.Domain;
  readonly getConnected: () => ConnectedPeers;
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: Clock.Clock;
}): StatusGossip {
  const { clock, domain, feed, items, itemSync, memberList, peers, pool } =
    opts;
  const { quota, storeContact, targetLimits } = opts;
  /** Incarnation of each instance that received a first status message. */
  const greetedIncarnations = new Map<Types.InstanceId, string>();

  function isLargeFleet(): boolean {
    return memberList.getCount() > MAX_FULL_RATE_INSTANCES;
  }

  function getIntervalMs(): number {
    return isLargeFleet() ? PeerNet.HEARTBEAT_INTERVAL_MS : INTERVAL_MS;
  }

  function tryGetDomain(id: Types.InstanceId): Types.Domain | undefined {
    return peers.tryGetMember(id)?.heartbeat.domain;
  }

  /** Sends a message that the next one, after at most 1 s, supersedes. */
  function send(
    ids: readonly Types.InstanceId[],
    method: string,
    params: unknown,
  ): void {
    peers.notify(ids, method, params, "droppable");
  }

  function handleStatus(params: unknown, sender: Types.InstanceId): void {
    if (!Json.isObject(params)) return;
    const { count, held, keeper, revisions, storeAgeMs } = params;
    if (typeof storeAgeMs === "number") {
      const relays = RelayedObservation.readRelays(params["storeRelays"]);
      feed.recordStoreAge(storeAgeMs, relays);
    }
    itemSync.recordPeerRevisions(sender, ItemSync.readRevisions(revisions));
    if (typeof held === "number") itemSync.recordPeerHeldCount(sender, held);
    targetLimits.recordReports(TargetLimits.readReports(params["limits"]));
    const peerDomain = tryGetDomain(sender);
    if (peerDomain === undefined) return;
    if (peerDomain !== domain) {
      if (typeof count === "number") memberList.recordCount(peerDomain, count);
      return;
    }
    if (typeof keeper === "string") pool.recordCoordinatorVote(sender, keeper);
    const contactAgeMs = params["contactAgeMs"];
    if (typeof contactAgeMs === "number" && contactAgeMs >= 0) {
      storeContact.recordPeerAge(sender, contactAgeMs);
    }
    const report = DomainView.tryReadReport(params["report"]);
    if (report !== undefined) opts.domainView.recordReport(sender, report);
    for (const [name, value, ageMs] of readCounts(params["counts"])) {
      memberList.recordRelayedCount(name, value, ageMs);
    }
  }

  /** Coordinators of two domains are seldom connected, so a peer that is not the coordinator forwards the demands. */
  function handleDemands(params: unknown): void {
    if (!Json.isObject(params)) return;
    const { domain: reportedDomain, demands } = params;
    if (
      typeof reportedDomain !== "string" || reportedDomain === domain ||
      !Json.isObject(demands)
    ) {
      return;
    }
    quota.recordDomainDemands(reportedDomain, readDemands(demands));
    const coordinator = pool.getCoordinator();
    if (params["isPassedOn"] === true || coordinator === peers.self) return;
    const message = { domain: reportedDomain, demands, isPassedOn: true };
    send([coordinator], DEMANDS_METHOD, message);
  }

  function sendTo(
    localIds: readonly Types.InstanceId[],
    remoteIds: readonly Types.InstanceId[],
  ): void {
    const limits = targetLimits.getReports();
    const storeAge = feed.getReportedStoreAge();
    const held = opts.restoreGuard.getHeldCount();
    const status = {
      ...(limits.length === 0 ? {} : { limits }),
      ...(held === 0 ? {} : { held }),
      revisions: items.getRevisions(),
      storeAgeMs: Math.min(Math.ceil(storeAge.ageMs), MAX_AGE_MS),
      storeRelays: storeAge.relays,
      count: memberList.getDomainMembers().length,
    };
    if (remoteIds.length > 0) send(remoteIds, STATUS_METHOD, status);
    const keeper = pool.getCoordinator();
    const contactAgeMs = storeContact.tryGetReportedAgeMs();
    const localStatus = {
      ...status,
      keeper,
      ...(contactAgeMs === undefined ? {} : { contactAgeMs }),
    };
    if (!isLargeFleet()) {
      return send(localIds, STATUS_METHOD, localStatus);
    }
    const counts = memberList.getReportedCounts().map((reported) =>
      [reported.domain, reported.count, reported.ageMs] as const
    );
    const report = opts.getDomainReport();
    const message = { ...localStatus, report, counts };
    send(localIds, STATUS_METHOD, message);
  }

  /** Sends a status message to a new peer at once: instances that start together must not wait 1 s for their coordinator. */
  function greet(heartbeat: Types.Heartbeat): void {
    const { id, incarnation } = heartbeat;
    if (greetedIncarnations.get(id) === incarnation) return;
    greetedIncarnations.set(id, incarnation);
    if (heartbeat.domain === domain) sendTo([id], []);
    else sendTo([], [id]);
  }

  function sendLoads(): void {
    for (const { params, to } of opts.loadExchange.createMessages()) {
      send([to], LOADS_METHOD, params);
    }
  }

  function sendToAll(): void {
    const { local, remote } = opts.getConnected();
    sendTo(local, [...remote.values()].flat());
    if (pool.getCoordinator() !== peers.self) return;
    // One peer of each domain forwards the demands: links between regions are expensive.
    const demands = quota.getDemands();
    const recipients = [...remote.values()].flatMap((ids) => ids.slice(0, 1));
    send(recipients, DEMANDS_METHOD, { domain, demands });
  }

  peers.onHeartbeat(greet);
  peers.handle(STATUS_METHOD, handleStatus);
  peers.handle(DEMANDS_METHOD, handleDemands);
  peers.handle(
    LOADS_METHOD,
    (params, sender) => opts.loadExchange.receive(sender, params),
  );
  return {
    getIntervalMs,
    sendToDomain: () => sendTo(opts.getConnected().local, []),
    sendWithHeartbeats() {
      if (isLargeFleet()) sendToAll();
    },
    start() {
      opts.supervisor.every(
        "pulse",
        () => Clock.getAlignedDelayMs(getIntervalMs(), clock),
        () => {
          if (!isLargeFleet()) sendToAll();
        },
      );
      // Not aligned to the clock: messages that pass several instances would wait
      // for the whole interval at each.
      opts.supervisor.every("loads", LoadExchange.INTERVAL_MS, sendLoads);
    },
  };
}

/** Reads relayed member counts; malformed ones are omitted. */
function readCounts(
  raw: unknown,
): readonly (readonly [Types.Domain, number, number])[] {
  if (!Array.isArray(raw)) return [];
  return raw.flatMap((entry) => {
    if (!Array.isArray(entry)) return [];
    const [name, count, ageMs] = entry;
    const isValid = typeof name === "string" && typeof count === "number" &&
      typeof ageMs === "number";
    return isValid ? [[name, count, ageMs] as const] : [];
  });
}

function readDemands(raw: Json.JsonObject): Quota.Demands {
  const demands: Record<string, number> = {};
  for (const [account, value] of Object.entries(raw)) {
    if (typeof value === "number" && value >= 0) demands[account] = value;
  }
  return demands;
}
