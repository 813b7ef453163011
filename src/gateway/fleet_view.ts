/**
 * What this instance knows of the other instances: from its own connections, and
 * from the reports of the peers of its domain.
 */
import * as Clock from "../clock.ts";
import type * as LoadExchange from "./load_exchange.ts";
import * as Mesh from "../peer/mesh.ts";
import type * as PeerNet from "../peer/net.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";
import type * as Directory from "./directory.ts";
import type * as DomainView from "./domain_view.ts";
import * as MemberList from "./member_list.ts";
import type * as Settings from "./settings.ts";
import type * as StatusGossip from "./status_gossip.ts";
import * as Topology from "./topology.ts";

/** Time for which derived values are cached; they change rarely, but each request and each message of a peer reads them. */
const CACHE_MS = 250;

/** An instance that may act for its domain: read the store, or own its account limits. */
export interface HubMember {
  readonly id: Types.InstanceId;
  readonly isStoreFailing: boolean;
  /** Processor cores. */
  readonly capacity: number;
}

/** The other instances, as this instance sees them. */
export interface FleetView {
  /** True while all instances are connected to each other. */
  isFullMesh(): boolean;
  /** Connected peers that respond. */
  getConnected(): StatusGossip.ConnectedPeers;
  /** Connected peers of the local domain that respond and are not leaving. */
  getLocalPeers(): readonly Types.Heartbeat[];
  /** Peers that may act for the local domain; all local peers in a full mesh. */
  getHubPeers(): readonly HubMember[];
  /** True if this instance itself may act for the local domain. */
  isHub(): boolean;
  /** Peers to which this instance passes on the load reports of targets. */
  getLoadRecipients(): LoadExchange.Recipients;
  /** Live instances to which callers may connect, without this instance. */
  getLiveInstances(): readonly Directory.DirectoryInstance[];
  /** The members that may spend a share of the fleet's limits, without this instance. */
  getObservedMembers(): readonly MemberList.ObservedMember[];
  /** What this instance reports to the peers of its domain. */
  getDomainReport(): DomainView.DomainReport;
}

/** Creates the view; `getNet` returns undefined before the peer network was created. */
export function createFleetView(opts: {
  readonly instance: Settings.GatewaySettings["instance"];
  /** Address for callers of this instance. */
  readonly callerAddress: Types.Address;
  readonly getMemberState: () => Types.MemberState;
  /** True while this instance reaches no target. */
  readonly isStranded: () => boolean;
  readonly getNet: () => PeerNet.Net | undefined;
  readonly domainView: DomainView.DomainView;
  readonly clock: Clock.Clock;
}): FleetView {
  const { clock, domainView, getNet, instance } = opts;
  const { domain, id: self, region } = instance;

  function createCached<T>(compute: () => T): () => T {
    return Clock.createCached(CACHE_MS, clock, compute);
  }

  const getMembers = createCached(() => getNet()?.getMembers() ?? []);

  const getReachable = createCached(() =>
    getMembers()
      .filter(({ heartbeat, isReachable }) =>
        isReachable && getNet()?.getReachability(heartbeat.id) === "reachable"
      )
      .map(({ heartbeat }) => heartbeat)
  );

  const getLocalPeers = createCached(() =>
    getReachable().filter((peer) =>
      peer.domain === domain && peer.state !== "leaving"
    )
  );

  const getConnected = createCached(() => {
    const local: Types.InstanceId[] = [];
    const remote = new Map<Types.Domain, Types.InstanceId[]>();
    for (const peer of getReachable()) {
      if (peer.domain === domain) local.push(peer.id);
      else if (remote.has(peer.domain)) remote.get(peer.domain)!.push(peer.id);
      else remote.set(peer.domain, [peer.id]);
    }
    return { local, remote };
  });

  function isFullMesh(): boolean {
    return getMembers().length < Mesh.FULL_MESH_MEMBERS;
  }

  /** Hubs of the local domain, this instance possibly among them. */
  const getHubIds = createCached((): ReadonlySet<Types.InstanceId> => {
    const members: Mesh.MeshMember[] = getMembers()
      .filter(({ heartbeat }) => heartbeat.domain === domain)
      .map(({ heartbeat }) => ({
        id: heartbeat.id,
        domain,
        capacity: heartbeat.capacity,
        isUsable: getNet()?.isUsable(heartbeat.id) ?? false,
      }));
    const { capacity } = instance;
    return Topology.selectHubs([
      ...members,
      { id: self, domain, capacity, isUsable: true },
    ]);
  });

  const getHubPeers = createCached((): readonly HubMember[] => {
    const isAll = isFullMesh();
    return getLocalPeers()
      .filter(({ id }) => isAll || getHubIds().has(id))
      .map(({ capacity, id, isStoreFailing }) => ({
        id,
        isStoreFailing,
        capacity,
      }));
  });

  const getLoadRecipients = createCached((): LoadExchange.Recipients => {
    const remote = getReachable()
      .filter((peer) => peer.region === region && peer.domain !== domain)
      .map(({ id }) => id);
    const hubs = getHubPeers().map(({ id }) => id);
    if (isFullMesh()) {
      return { hubs: [...hubs, ...remote], remote: [], isHub: false };
    }
    if (getHubIds().has(self)) return { hubs, remote, isHub: true };
    // The instances of a domain are divided among its hubs.
    const hub = Rendezvous.rank(self, hubs)[0];
    return { hubs: hub === undefined ? [] : [hub], remote: [], isHub: false };
  });

  const getLiveInstances = createCached(() => {
    const connected = getReachable();
    const connectedIds = new Set(connected.map(({ id }) => id));
    const reported = domainView.getLive()
      .filter(({ id }) => !connectedIds.has(id))
      .map((live) => ({ ...live, domain, region }));
    return [
      ...connected.filter(({ state }) => state === "live"),
      ...reported,
    ];
  });

  const getObservedMembers = createCached(() => [
    ...getMembers().map(({ ageMs, heartbeat }) => ({
      id: heartbeat.id,
      domain: heartbeat.domain,
      ageMs,
      isDeparted: heartbeat.state === "leaving" ||
        getNet()?.getReachability(heartbeat.id) === "refused",
    })),
    ...domainView.getMembers(),
  ]);

  const getDomainReport = createCached((): DomainView.DomainReport => {
    const live = getLocalPeers().filter(({ state }) => state === "live");
    const stranded = live.filter(({ isStranded }) => isStranded)
      .map(({ id }) => id);
    if (opts.isStranded()) stranded.push(self);
    const unresponsive = getMembers().filter(({ ageMs, heartbeat }) =>
      heartbeat.domain === domain && ageMs < MemberList.MEMBER_EXPIRY_MS &&
      getNet()?.getReachability(heartbeat.id) === "unresponsive"
    );
    const addresses = live.map(({ callerAddress, id }) => [id, callerAddress]);
    if (opts.getMemberState() === "live") {
      addresses.push([self, opts.callerAddress]);
    }
    const links = [...live, { id: self, linkMbps: instance.linkMbps }]
      .filter(({ linkMbps }) => linkMbps !== undefined)
      .map(({ id, linkMbps }) => [id, linkMbps]);
    return {
      live: Object.fromEntries(addresses),
      stranded,
      unresponsive: unresponsive.map(({ heartbeat }) => heartbeat.id),
      ...(links.length === 0 ? {} : { links: Object.fromEntries(links) }),
    };
  });

  return {
    isFullMesh,
    getConnected,
    getLocalPeers,
    getHubPeers,
    isHub: () =>
      isFullMesh() || getHubPeers().length === 0 || getHubIds().has(self),
    getLoadRecipients,
    getLiveInstances,
    getObservedMembers,
    getDomainReport,
  };
}
