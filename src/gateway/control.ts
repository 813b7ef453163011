/**
 * Composition of an instance's control plane: what is in force, who else is
 * there, and this instance's part of what all instances share.
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
import * as Sharing from "./sharing.ts";
import * as StateModule from "./state.ts";

const SECRET_BYTES = 32;
/** Signs of the store come at least with the end of each watch, every 5 s. */
const STORE_UP_MS = 6_000;
/** Who is there changes seldom and is asked for with each request and each pulse of a peer. */
const NEIGHBOURS_VALID_MS = 250;

/** What the control plane needs. */
export interface ControlOptions {
  readonly settings: Settings.GatewaySettings;
  readonly store: Contracts.MetadataStore;
  readonly decode: Contracts.DecodeItem;
  /** Prefixes of the store under which the state lies. */
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
  readonly roster: MemberList.MemberList;
  readonly accounts: AccountPool.AccountPool;
  readonly coldStarts: ColdStart.ColdStarts;
  /** Instances that answer, this one not included. */
  getReachable(): readonly Types.Heartbeat[];
  /** Who hears of requests that break targets. */
  readonly reportRoute: Poison.ReportRoute;
  /** Listens to peers and begins to tell them of this instance. */
  listen(): Promise<void>;
  /** Takes this instance out of the store's list of members. */
  leave(): Promise<void>;
  /** What the control plane has cost so far. */
  getUsage(): Readonly<Record<string, number>>;
}

/** Starts to follow the store; resolves when the peers' secret is known. */
export async function startControl(opts: ControlOptions): Promise<Control> {
  const { clock, log, settings, store, supervisor } = opts;
  const { instance, regionOfDomain } = settings;
  const { domain, id: self } = instance;
  const domains = [...regionOfDomain.keys()];
  const incarnation = Crypto.randomUUID().replaceAll("-", "");
  /** What exists only once the peers' secret is known; the feed starts before. */
  const later: {
    net?: PeerNet.Net;
    sharing?: Sharing.Sharing;
    pulses?: StatusGossip.StatusGossip;
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
    onNews: (news, before) => later.sharing?.push(news, before),
    entryReturnMs: settings.timing.entryReturnMs,
    supervisor: supervisor.createChild("feed"),
    clock,
    log,
  });

  function findReachable(): readonly Types.Heartbeat[] {
    return (later.net?.getMembers() ?? [])
      .filter(({ heartbeat, isReachable }) =>
        isReachable &&
        later.net?.getReachability(heartbeat.id) === "reachable"
      )
      .map(({ heartbeat }) => heartbeat);
  }
  const getReachable = remember(NEIGHBOURS_VALID_MS, clock, findReachable);

  /** Instances of the own domain that answer and stay. */
  const getNeighbours = remember(
    NEIGHBOURS_VALID_MS,
    clock,
    () =>
      getReachable().filter((one) =>
        one.domain === domain && one.state !== "leaving"
      ),
  );

  const getConnected = remember(NEIGHBOURS_VALID_MS, clock, () => {
    const near: Types.InstanceId[] = [];
    const far = new Map<Types.Domain, Types.InstanceId[]>();
    for (const one of getReachable()) {
      if (one.domain === domain) near.push(one.id);
      else if (far.has(one.domain)) far.get(one.domain)!.push(one.id);
      else far.set(one.domain, [one.id]);
    }
    return { near, far };
  });

  /** Instances that follow the store for this domain. */
  function getReaders(): readonly Types.InstanceId[] {
    const { capacity } = instance;
    return Readers.chooseReaders(
      [
        { id: self, isStoreFailing: feed.isFailing(), capacity },
        ...getNeighbours().map(({ id, isStoreFailing }) => ({
          id,
          isStoreFailing,
          capacity: later.pulses?.getCapacity(id) ?? 0,
        })),
      ],
      feed.getStoreAgeMs() < STORE_UP_MS,
    );
  }

  const roster = MemberList.createMemberList({
    self,
    domain,
    domains,
    getHeard: remember(
      NEIGHBOURS_VALID_MS,
      clock,
      () =>
        (later.net?.getMembers() ?? []).map(({ heartbeat, ageMs }) => ({
          id: heartbeat.id,
          domain: heartbeat.domain,
          ageMs,
          isGone: heartbeat.state === "leaving" ||
            later.net?.getReachability(heartbeat.id) === "refused",
        })),
    ),
    clock,
  });
  const getDomainMembers = remember(
    NEIGHBOURS_VALID_MS,
    clock,
    roster.getDomainMembers,
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
  // The state is read while the secret is.
  feed.start();
  const fresh = Crypto.randomBytes(SECRET_BYTES).toString("hex");
  const peers = PeerNet.createPeerNet({
    self,
    incarnation,
    domain,
    listen: settings.listen.peer,
    seeds: [],
    secret: await membership.getSecret(fresh),
    getHeartbeat,
    onRound: () => pulses.onHeartbeatRound(),
    localAddress: settings.listen.localAddress,
    supervisor: supervisor.createChild("peers"),
    log,
    clock,
  });
  later.net = peers;

  const quota = Quota.createQuota({
    clock,
    getDomainCount: () => roster.getDomains().length,
    getReportMs: () => pulses.getIntervalMs(),
    slack: settings.limits.accountSlack,
  });
  const accounts = AccountPool.createAccountPool({
    quota,
    peers,
    getCandidates: remember(NEIGHBOURS_VALID_MS, clock, () => [
      { id: self, capacity: instance.capacity },
      ...getNeighbours().map(({ id }) => ({
        id,
        capacity: pulses.getCapacity(id),
      })),
    ]),
    getMembers: getDomainMembers,
    clock,
  });
  const sharing = Sharing.createSharing({
    peers,
    items,
    feed,
    state,
    prefixes: opts.watchedPrefixes,
    getNeighbours: () => getNeighbours().map(({ id }) => id),
    getReaders,
    clock,
    log,
  });
  later.sharing = sharing;
  const pulses = StatusGossip.createStatusGossip({
    peers,
    feed,
    items,
    sharing,
    roster,
    quota,
    pool: accounts,
    domain,
    getConnected,
    capacity: instance.capacity,
    supervisor: supervisor.createChild("pulses"),
  });
  later.pulses = pulses;

  /** Connects to those that the topology selects; these tell of all others. */
  function meetMembers(members: readonly Membership.ListedMember[]): void {
    const known = members.map((one) => ({ ...one, isUsable: true }));
    const chosen = Mesh.selectPeers(instance, known);
    peers.addPeerAddresses(
      members.filter(({ id }) => chosen.has(id))
        .map((one) => one.peerAddress),
    );
  }

  return {
    state,
    peers,
    roster,
    accounts,
    coldStarts,
    getReachable,
    reportRoute: {
      getCollector(fingerprint) {
        const ids = getNeighbours().map(({ id }) => id);
        return Rendezvous.rank(fingerprint, [self, ...ids])[0] ?? self;
      },
      getOtherDomains: (fingerprint) =>
        [...getConnected().far.values()].map((ids) =>
          Rendezvous.rank(fingerprint, ids)[0]!
        ),
    },
    async listen() {
      const peerAddress = await peers.listen();
      pulses.start();
      membership.start({ peerAddress, domain }, meetMembers);
    },
    leave: membership.leave,
    getUsage() {
      const { calls, receivedBytes } = store.getUsage();
      const { received, sent } = peers.getBytes();
      const shared = sharing.getCounts();
      return {
        storeCalls: calls,
        storeBytes: receivedBytes,
        peerBytesReceived: received,
        peerBytesSent: sent,
        itemsFromStore: feed.getItemsFromStore(),
        itemsFromPeers: shared.received,
        pulls: shared.pulls,
        members: peers.getMembers().length,
        connected: peers.getConnectedCount(),
      };
    },
  };
}

/** Computes a value anew when the last one is older than `validMs`. */
function remember<T>(
  validMs: number,
  clock: Clock.Clock,
  compute: () => T,
): () => T {
  let value: { readonly it: T; readonly atMs: number } | undefined;
  return () => {
    const now = clock.nowMs();
    if (value === undefined || now - value.atMs > validMs) {
      value = { it: compute(), atMs: now };
    }
    return value.it;
  };
}
