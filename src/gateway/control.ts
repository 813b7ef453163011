/**
 * Composition of an instance's control plane: the configuration and targets in
 * force, the other instances, and this instance's share of fleet-wide limits.
 */
import * as Crypto from "node:crypto";
import * as Clock from "../clock.ts";
import type * as Log from "../log.ts";
import * as Drops from "../peer/drops.ts";
import * as PeerNet from "../peer/net.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Poison from "../retry/poison.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as AccountPool from "./account_pool.ts";
import * as ColdStart from "./cold_start.ts";
import type * as Contracts from "./contracts.ts";
import type * as Directory from "./directory.ts";
import * as DomainView from "./domain_view.ts";
import * as Feed from "./feed.ts";
import * as FleetView from "./fleet_view.ts";
import * as ItemsModule from "./items.ts";
import * as LoadExchange from "./load_exchange.ts";
import * as Membership from "./membership.ts";
import * as StatusGossip from "./status_gossip.ts";
import * as Quota from "./quota.ts";
import * as Readers from "./readers.ts";
import * as MemberList from "./member_list.ts";
import type * as Settings from "./settings.ts";
import * as ItemSync from "./item_sync.ts";
import * as RestoreGuard from "./restore_guard.ts";
import * as Revision from "./revision.ts";
import * as StateModule from "./state.ts";
import * as StoreContact from "./store_contact.ts";
import * as TargetLimits from "./target_limits.ts";
import type * as TargetLoad from "./target_load.ts";
import * as Topology from "./topology.ts";

const SECRET_BYTES = 32;
/** The store counts as reachable for this time after a response; a watch ends with a response at least every 5 s. */
const STORE_REACHABLE_MS = 6_000;
/** Generation of a store that was never restored from a copy. */
const FIRST_GENERATION = 1;
/** Time in which an instance that starts is connected to the listed members of its domain, and receives the items that they have. */
const CONNECT_WAIT_MS = 800;
const PEER_POLL_MS = 25;
/** Delay of the response to a watch beyond its duration, ms. */
const WATCH_DELAY_MS = 100;
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
  /** True while this instance reaches no target. */
  readonly isStranded: () => boolean;
  /** Receives the load reports that other instances pass on. */
  readonly loads: TargetLoad.TargetLoads;
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}

/** The control plane of one instance. */
export interface Control {
  readonly state: StateModule.State;
  readonly peers: PeerNet.Net;
  /** Number of instances in all domains, this one included. */
  getFleetCount(): number;
  readonly accounts: AccountPool.AccountPool;
  readonly coldStarts: ColdStart.ColdStarts;
  readonly targetLimits: TargetLimits.TargetLimits;
  readonly loadExchange: LoadExchange.LoadExchange;
  /** Live instances to which callers may connect, without this instance. */
  getLiveInstances(): readonly Directory.DirectoryInstance[];
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
  /** Parts that exist only after the secret of the peers is known. */
  const deferred: {
    net?: PeerNet.Net;
    itemSync?: ItemSync.ItemSync;
    /** Members that the store listed at the start. */
    joined?: {
      readonly members: readonly Membership.ListedMember[];
      readonly atMs: number;
    };
  } = {};

  const state = StateModule.createState({ clock, log, regionOfDomain });
  const items = ItemsModule.createItems(clock, opts.watchedPrefixes);
  const restoreGuard = RestoreGuard.createRestoreGuard({
    state,
    getRestoreAgeMs: () => items.getRestore()?.ageMs,
    targetHoldMs: settings.timing.entryExpiryMs +
      settings.timing.entryRecoveryMs,
    clock,
    sleep: Clock.sleep,
    log,
  });
  const feed = Feed.createFeed({
    prefixes: opts.watchedPrefixes,
    store,
    decode: opts.decode,
    items,
    state,
    restoreGuard,
    isReader: () => getReaders().includes(self),
    onChanges: (changes, before) => deferred.itemSync?.push(changes, before),
    contact: {
      check: () => storeContact.check(),
      getDelayMs: () => storeContact.getDelayMs(),
      recordResponse: () => storeContact.recordResponse(),
    },
    onRestore: () => membership.restore(),
    entryRecoveryMs: settings.timing.entryRecoveryMs,
    supervisor: supervisor.createChild("feed"),
    clock,
    log,
  });

  const domainView = DomainView.createDomainView({ self, domain, clock });
  const fleetView = FleetView.createFleetView({
    instance,
    callerAddress: settings.listen.caller,
    getMemberState: opts.getMemberState,
    isStranded: opts.isStranded,
    getNet: () => deferred.net,
    domainView,
    clock,
  });

  /** Instances of the domain that the store listed at the start; they count as peers until there was time to connect to them. */
  function getListedPeers(): readonly FleetView.HubMember[] {
    const { joined } = deferred;
    if (joined === undefined) return [];
    if (clock.nowMs() - joined.atMs > CONNECT_WAIT_MS) return [];
    const connectedIds = new Set(fleetView.getLocalPeers().map(({ id }) => id));
    return joined.members
      .filter((member) =>
        member.domain === domain && member.id !== self &&
        !connectedIds.has(member.id)
      )
      .map(({ capacity, id }) => ({ id, capacity, isStoreFailing: false }));
  }

  /** True if this instance may act for its domain. Just after the start it may not if the store lists enough others that are as large. */
  function mayActForDomain(): boolean {
    const isCovered = getListedPeers()
      .filter((peer) => peer.capacity >= instance.capacity)
      .length >= Topology.HUBS_PER_DOMAIN;
    return fleetView.isHub() && !isCovered;
  }

  /** Instances that may follow the store for the local domain. */
  function getReaderCandidates(): readonly Readers.DomainMember[] {
    const { capacity } = instance;
    const candidates = [...fleetView.getHubPeers(), ...getListedPeers()];
    if (mayActForDomain()) {
      candidates.push({
        id: self,
        isStoreFailing: feed.isFailing(),
        capacity,
      });
    }
    return candidates;
  }

  function selectReaders(
    candidates: readonly Readers.DomainMember[],
  ): readonly Types.InstanceId[] {
    return Readers.chooseReaders(candidates, {
      isStoreUp: feed.getStoreAgeMs() < STORE_REACHABLE_MS,
      isFullMesh: fleetView.isFullMesh(),
    });
  }

  /** Instances that follow the store for the local domain, this one also in place of others. */
  function getReaders(): readonly Types.InstanceId[] {
    const readers = selectReaders(getReaderCandidates());
    const isAdded = storeContact.isSubstitute() && !readers.includes(self);
    return isAdded ? [...readers, self] : readers;
  }

  const storeContact = StoreContact.createStoreContact({
    self,
    getDomain() {
      const candidates = getReaderCandidates();
      const readers = selectReaders(candidates);
      return {
        readers,
        ranked: Readers.rankReaders(candidates),
        hasDependents: fleetView.getLocalPeers()
          .some(({ id }) => !readers.includes(id)),
      };
    },
    getDomainCount: () => memberList.getDomains().length,
    getReportMs: () => statusGossip.getIntervalMs(),
    changeInForceMs: settings.timing.changeInForceMs,
    watchIntervalMs: Feed.WATCH_WAIT_MS / opts.watchedPrefixes.length +
      WATCH_DELAY_MS,
    askStore: () => membership.renewNow(),
    isFailing: () => feed.isFailing(),
    onSubstitute() {
      feed.updateRole();
      // No further instances step in once they know that this one does.
      statusGossip.sendToDomain();
    },
    clock,
    log,
  });

  const memberList = MemberList.createMemberList({
    self,
    domain,
    domains,
    getObservedMembers: fleetView.getObservedMembers,
    clock,
  });
  const getDomainMembers = Clock.createCached(
    MEMBERS_CACHE_MS,
    clock,
    memberList.getDomainMembers,
  );
  const getFleetCount = Clock.createCached(
    MEMBERS_CACHE_MS,
    clock,
    memberList.getCount,
  );
  const getFleetPosition = () => ({
    domain,
    domains,
    self,
    members: getDomainMembers(),
  });
  const coldStarts = ColdStart.createColdStarts({ clock, getFleetPosition });
  const targetLimits = TargetLimits.createTargetLimits({
    clock,
    getFleetPosition,
    onChange: (target, ratePerS) =>
      log.info("target-rate", { target, limitPerS: ratePerS ?? "none" }),
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
      capacity: instance.capacity,
      shards: [],
      callerAddress: settings.listen.caller,
      peerAddress: settings.listen.peer,
      isStranded: opts.isStranded(),
      ...(instance.linkMbps === undefined
        ? {}
        : { linkMbps: instance.linkMbps }),
    };
  }

  const membership = Membership.createMembership({
    self,
    store,
    minLeaseMs: settings.store.minLeaseMs,
    isRecordNeeded: mayActForDomain,
    isDiscoveryNeeded: () => getReaders().includes(self),
    isAlone() {
      const { local, remote } = fleetView.getConnected();
      return local.length === 0 && remote.size === 0;
    },
    supervisor: supervisor.createChild("membership"),
    log,
  });
  const newSecret = Crypto.randomBytes(SECRET_BYTES).toString("hex");
  const joined = await membership.join(newSecret);
  const { members: listedMembers, secret } = joined;
  deferred.joined = { members: listedMembers, atMs: clock.nowMs() };
  // Peers may know what a restored store has lost, so they are heard first.
  const isRestoredStore =
    Revision.getGeneration(joined.revision) > FIRST_GENERATION;
  const mayKnowMore = isRestoredStore && listedMembers.length > 0;
  if (!mayKnowMore) feed.start();
  const peers = PeerNet.createPeerNet({
    self,
    incarnation,
    domain,
    listen: settings.listen.peer,
    seeds: [],
    secret,
    getHeartbeat,
    onHeartbeatsSent: () => statusGossip.sendWithHeartbeats(),
    localAddress: settings.listen.localAddress,
    memoryBytes: instance.memoryBytes,
    selectPeers: (members) => Topology.selectPeers(instance, members),
    supervisor: supervisor.createChild("peers"),
    log,
    clock,
  });
  deferred.net = peers;

  const quota = Quota.createQuota({
    clock,
    getDomainCount: Clock.createCached(
      MEMBERS_CACHE_MS,
      clock,
      () => memberList.getDomains().length,
    ),
    getReportMs: () => statusGossip.getIntervalMs(),
    slack: settings.limits.accountSlack,
  });
  const accounts = AccountPool.createAccountPool({
    quota,
    peers,
    getCandidates: Clock.createCached(MEMBERS_CACHE_MS, clock, () => {
      const peerHubs = fleetView.getHubPeers();
      const { capacity } = instance;
      return fleetView.isHub()
        ? [{ id: self, capacity }, ...peerHubs]
        : peerHubs;
    }),
    getMembers: getDomainMembers,
    getFleetCount,
    slack: settings.limits.accountSlack,
    clock,
  });
  const itemSync = ItemSync.createItemSync({
    peers,
    items,
    feed,
    restoreGuard,
    state,
    prefixes: opts.watchedPrefixes,
    getDomainPeers: () => fleetView.getLocalPeers().map(({ id }) => id),
    getReaders,
    clock,
    log,
  });
  deferred.itemSync = itemSync;
  const loadExchange = LoadExchange.createLoadExchange({
    loads: opts.loads,
    getTargets: () =>
      [...state.getConfig()?.services.keys() ?? []].flatMap((service) =>
        state.getUsableTargets(service).map(({ entry }) => entry)
      ),
    getEpoch: state.getMembershipEpoch,
    getRecipients: fleetView.getLoadRecipients,
    clock,
  });
  const statusGossip = StatusGossip.createStatusGossip({
    peers,
    feed,
    items,
    itemSync,
    restoreGuard,
    memberList,
    domainView,
    getDomainReport: fleetView.getDomainReport,
    storeContact,
    targetLimits,
    loadExchange,
    quota,
    pool: accounts,
    domain,
    getConnected: fleetView.getConnected,
    supervisor: supervisor.createChild("pulses"),
    clock,
  });

  async function startFeedAfterPeers(): Promise<void> {
    const deadlineMs = clock.nowMs() + CONNECT_WAIT_MS;
    const isEmpty = () => items.getRevisions().every((known) => known === 0);
    while (isEmpty() && clock.nowMs() < deadlineMs) {
      await Clock.sleep(PEER_POLL_MS);
    }
    feed.start();
  }

  /** Connects to the members that the topology selects; these report the other members. */
  function connectToMembers(members: readonly Membership.ListedMember[]): void {
    const usable = members.map((member) => ({ ...member, isUsable: true }));
    const selectedIds = Topology.selectPeers(instance, usable);
    peers.addPeerAddresses(
      members.filter(({ id }) => selectedIds.has(id))
        .map((member) => member.peerAddress),
    );
  }

  return {
    state,
    peers,
    getFleetCount,
    accounts,
    coldStarts,
    targetLimits,
    loadExchange,
    getLiveInstances: fleetView.getLiveInstances,
    reportRoute: {
      getCollector(fingerprint) {
        const ids = fleetView.getHubPeers().map(({ id }) => id);
        const candidates = fleetView.isHub() ? [self, ...ids] : ids;
        return Rendezvous.rank(fingerprint, candidates)[0] ?? self;
      },
      getRemoteDomainPeers: (fingerprint) =>
        [...fleetView.getConnected().remote.values()].map((ids) =>
          Rendezvous.rank(fingerprint, ids)[0]!
        ),
    },
    async listen() {
      const peerAddress = await peers.listen();
      statusGossip.start();
      const { capacity } = instance;
      connectToMembers(listedMembers);
      membership.start(
        { peerAddress, domain, capacity },
        { onMembers: connectToMembers, onSecret: peers.addSecret },
      );
      if (mayKnowMore) void startFeedAfterPeers();
    },
    leave: membership.leave,
    getUsage() {
      const { calls, receivedBytes } = store.getUsage();
      const { received, sent } = peers.getBytes();
      const itemCounts = itemSync.getCounts();
      const loadCounts = loadExchange.getCounts();
      return {
        storeCalls: calls,
        storeBytes: receivedBytes,
        peerBytesReceived: received,
        peerBytesSent: sent,
        itemsFromStore: feed.getStoreItemCount(),
        storeSubstitutions: storeContact.getSubstitutionCount(),
        itemsFromPeers: itemCounts.received,
        pulls: itemCounts.pulls,
        members: peers.getMembers().length,
        connected: peers.getConnectedCount(),
        peerMessagesDiscarded: peers.getDiscardedCount(),
        ...Drops.formatUsage(peers.getSendUsage()),
        loadReportsSent: loadCounts.sent,
        loadReportsApplied: loadCounts.applied,
        loadReportsIgnored: loadCounts.ignored,
        loadReportsDropped: loadCounts.dropped,
      };
    },
  };
}
