/**
 * Composition of an instance's control plane: the configuration and targets in
 * force, the other instances, and this instance's share of fleet-wide limits.
 */
import * as Crypto from "node:crypto";
import type * as Clock from "../clock.ts";
import type * as Log from "../log.ts";
import * as Mesh from "../peer/mesh.ts";
import * as PeerNet from "../peer/net.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Poison from "../retry/poison.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as AccountPool from "./account_pool.ts";
import * as ColdStart from "./cold_start.ts";
import type * as Contracts from "./contracts.ts";
import * as Feed from "./feed.ts";
import * as ItemsModule from "./items.ts";
import * as Membership from "./membership.ts";
import * as StatusGossip from "./status_gossip.ts";
import * as Quota from "./quota.ts";
import * as Readers from "./readers.ts";
import * as MemberList from "./member_list.ts";
import type * as Settings from "./settings.ts";
import * as ItemSync from "./item_sync.ts";
import * as StateModule from "./state.ts";

const SECRET_BYTES = 32;
/** The store counts as reachable for this time after a response; a watch ends with a response at least every 5 s. */
const STORE_REACHABLE_MS = 6_000;
/** Time for which values derived from the member list are cached; they change rarely, but each request and each status message of a peer reads them. */
const MEMBERS_CACHE_MS = 250;

/** Dependencies of the control plane. */
export interface ControlOptions {
  readonly settings: Settings.GatewaySettings;
  readonly store: Contracts.MetadataStore;
  readonly decode: Contracts.DecodeItem;
  /** Store prefixes of the configuration, evacuations and targets. */
  readonly watchedPrefixes: readonly string[];
  readonly getMemberState: () => Types.MemberState;
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}

/** The control plane of one instance. */
export interface Control {
  readonly state: StateModule.State;
  readonly peers: PeerNet.Net;
  readonly memberList: MemberList.MemberList;
  readonly accounts: AccountPool.AccountPool;
  readonly coldStarts: ColdStart.ColdStarts;
  /** Reachable instances, without this instance. */
  getReachable(): readonly Types.Heartbeat[];
  /** Instances that receive reports of poison requests. */
  readonly reportRoute: Poison.ReportRoute;
  /** Accepts peers and publishes the record of this instance. */
  listen(): Promise<void>;
  /** Removes the record of this instance from the store. */
  leave(): Promise<void>;
  /** Calls, bytes and items of the control plane since the start. */
  getUsage(): Readonly<Record<string, number>>;
}

/** Starts to follow the store; resolves when the secret of the peers is known. */
export async function startControl(opts: ControlOptions): Promise<Control> {
  const { clock, log, settings, store, supervisor } = opts;
  const { instance, regionOfDomain } = settings;
  const { domain, id: self } = instance;
  const domains = [...regionOfDomain.keys()];
  const incarnation = Crypto.randomUUID().replaceAll("-", "");
  /** Modules that are created after the secret of the peers is known; the feed starts earlier and uses them if present. */
  const deferred: {
    net?: PeerNet.Net;
    itemSync?: ItemSync.ItemSync;
    statusGossip?: StatusGossip.StatusGossip;
  } = {};

  const state = StateModule.createState({ clock, log, regionOfDomain });
  const items = ItemsModule.createItems(clock, opts.watchedPrefixes);
  const feed = Feed.createFeed({
    prefixes: opts.watchedPrefixes,
    store,
    decode: opts.decode,
    items,
    state,
    isReader: () => getReaders().includes(self),
    onChanges: (changes, before) => deferred.itemSync?.push(changes, before),
    entryRecoveryMs: settings.timing.entryRecoveryMs,
    supervisor: supervisor.createChild("feed"),
    clock,
    log,
  });

  function findReachable(): readonly Types.Heartbeat[] {
    return (deferred.net?.getMembers() ?? [])
      .filter(({ heartbeat, isReachable }) =>
        isReachable &&
        deferred.net?.getReachability(heartbeat.id) === "reachable"
      )
      .map(({ heartbeat }) => heartbeat);
  }
  const getReachable = createCached(MEMBERS_CACHE_MS, clock, findReachable);

  /** Reachable instances of the local domain that are not leaving. */
  const getLocalPeers = createCached(
    MEMBERS_CACHE_MS,
    clock,
    () =>
      getReachable().filter((peer) =>
        peer.domain === domain && peer.state !== "leaving"
      ),
  );

  /** Reachable instances, those of other domains grouped by domain. */
  const getConnected = createCached(MEMBERS_CACHE_MS, clock, () => {
    const local: Types.InstanceId[] = [];
    const remote = new Map<Types.Domain, Types.InstanceId[]>();
    for (const peer of getReachable()) {
      if (peer.domain === domain) local.push(peer.id);
      else if (remote.has(peer.domain)) remote.get(peer.domain)!.push(peer.id);
      else remote.set(peer.domain, [peer.id]);
    }
    return { local, remote };
  });

  /** Instances that follow the store for the local domain. */
  function getReaders(): readonly Types.InstanceId[] {
    const { capacity } = instance;
    return Readers.chooseReaders(
      [
        { id: self, isStoreFailing: feed.isFailing(), capacity },
        ...getLocalPeers().map(({ id, isStoreFailing }) => ({
          id,
          isStoreFailing,
          capacity: deferred.statusGossip?.getCapacity(id) ?? 0,
        })),
      ],
      feed.getStoreAgeMs() < STORE_REACHABLE_MS,
    );
  }

  const memberList = MemberList.createMemberList({
    self,
    domain,
    domains,
    getObservedMembers: createCached(
      MEMBERS_CACHE_MS,
      clock,
      () =>
        (deferred.net?.getMembers() ?? []).map(({ heartbeat, ageMs }) => ({
          id: heartbeat.id,
          domain: heartbeat.domain,
          ageMs,
          isDeparted: heartbeat.state === "leaving" ||
            deferred.net?.getReachability(heartbeat.id) === "refused",
        })),
    ),
    clock,
  });
  const getDomainMembers = createCached(
    MEMBERS_CACHE_MS,
    clock,
    memberList.getDomainMembers,
  );
  const coldStarts = ColdStart.createColdStarts({
    clock,
    getFleetPosition: () => ({
      domain,
      domains,
      self,
      members: getDomainMembers(),
    }),
  });

  function getHeartbeat(): Types.Heartbeat {
    const storeAgeMs = feed.getStoreAgeMs();
    return {
      id: self,
      incarnation,
      domain,
      region: instance.region,
      state: opts.getMemberState(),
      tableRevision: state.getConfig()?.version ?? 0,
      isTableSettled: true,
      keysRevision: 0,
      storeSeenMsAgo: storeAgeMs,
      isStoreFailing: feed.isFailing(),
      relayedStoreSeenMsAgo: storeAgeMs,
      load: 0,
      shards: [],
      callerAddress: settings.listen.caller,
      peerAddress: settings.listen.peer,
    };
  }

  const membership = Membership.createMembership({
    self,
    store,
    minLeaseMs: settings.store.minLeaseMs,
    supervisor: supervisor.createChild("membership"),
    log,
  });
  // The feed reads the state while the secret is being read.
  feed.start();
  const newSecret = Crypto.randomBytes(SECRET_BYTES).toString("hex");
  const peers = PeerNet.createPeerNet({
    self,
    incarnation,
    domain,
    listen: settings.listen.peer,
    seeds: [],
    secret: await membership.getSecret(newSecret),
    getHeartbeat,
    onHeartbeatsSent: () => statusGossip.sendWithHeartbeats(),
    localAddress: settings.listen.localAddress,
    supervisor: supervisor.createChild("peers"),
    log,
    clock,
  });
  deferred.net = peers;

  const quota = Quota.createQuota({
    clock,
    getDomainCount: () => memberList.getDomains().length,
    getReportMs: () => statusGossip.getIntervalMs(),
    slack: settings.limits.accountSlack,
  });
  const accounts = AccountPool.createAccountPool({
    quota,
    peers,
    getCandidates: createCached(MEMBERS_CACHE_MS, clock, () => [
      { id: self, capacity: instance.capacity },
      ...getLocalPeers().map(({ id }) => ({
        id,
        capacity: statusGossip.getCapacity(id),
      })),
    ]),
    getMembers: getDomainMembers,
    clock,
  });
  const itemSync = ItemSync.createItemSync({
    peers,
    items,
    feed,
    state,
    prefixes: opts.watchedPrefixes,
    getDomainPeers: () => getLocalPeers().map(({ id }) => id),
    getReaders,
    clock,
    log,
  });
  deferred.itemSync = itemSync;
  const statusGossip = StatusGossip.createStatusGossip({
    peers,
    feed,
    items,
    itemSync,
    memberList,
    quota,
    pool: accounts,
    domain,
    getConnected,
    capacity: instance.capacity,
    supervisor: supervisor.createChild("pulses"),
  });
  deferred.statusGossip = statusGossip;

  /** Connects to the members that the topology selects; these report the other members. */
  function connectToMembers(members: readonly Membership.ListedMember[]): void {
    const usable = members.map((member) => ({ ...member, isUsable: true }));
    const selectedIds = Mesh.selectPeers(instance, usable);
    peers.addPeerAddresses(
      members.filter(({ id }) => selectedIds.has(id))
        .map((member) => member.peerAddress),
    );
  }

  return {
    state,
    peers,
    memberList,
    accounts,
    coldStarts,
    getReachable,
    reportRoute: {
      getCollector(fingerprint) {
        const ids = getLocalPeers().map(({ id }) => id);
        return Rendezvous.rank(fingerprint, [self, ...ids])[0] ?? self;
      },
      getRemoteDomainPeers: (fingerprint) =>
        [...getConnected().remote.values()].map((ids) =>
          Rendezvous.rank(fingerprint, ids)[0]!
        ),
    },
    async listen() {
      const peerAddress = await peers.listen();
      statusGossip.start();
      membership.start({ peerAddress, domain }, connectToMembers);
    },
    leave: membership.leave,
    getUsage() {
      const { calls, receivedBytes } = store.getUsage();
      const { received, sent } = peers.getBytes();
      const itemCounts = itemSync.getCounts();
      return {
        storeCalls: calls,
        storeBytes: receivedBytes,
        peerBytesReceived: received,
        peerBytesSent: sent,
        itemsFromStore: feed.getStoreItemCount(),
        itemsFromPeers: itemCounts.received,
        pulls: itemCounts.pulls,
        members: peers.getMembers().length,
        connected: peers.getConnectedCount(),
      };
    },
  };
}

/** Returns a function that caches the result of `compute` for `validMs`. */
function createCached<T>(
  validMs: number,
  clock: Clock.Clock,
  compute: () => T,
): () => T {
  let cached: { readonly value: T; readonly atMs: number } | undefined;
  return () => {
    const now = clock.nowMs();
    if (cached === undefined || now - cached.atMs > validMs) {
      cached = { value: compute(), atMs: now };
    }
    return cached.value;
  };
}
