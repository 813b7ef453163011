/** Topology: selects the members to which an instance keeps connections. */
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";

/** Largest number of members, this instance included, in a full mesh. */
export const FULL_MESH_MEMBERS = 24;
/** Connections to each remote domain in a fleet that is too large for a full mesh. */
export const CONNECTIONS_PER_REMOTE_DOMAIN = 2;
/**
 * If the local domain has at least this number of members, one connection to each
 * remote domain is enough, as the other local members have connections too. Each
 * connection costs heartbeats every second, and those between regions cost most.
 */
export const SINGLE_CONNECTION_DOMAIN_MEMBERS = 6;

/** Member properties that the selection depends on. */
export interface MeshMember {
  readonly id: Types.InstanceId;
  readonly domain: Types.Domain;
  /** Processor cores of the member; 0 when they are unknown. */
  readonly capacity: number;
  /** False if the last attempt to connect to the member failed. */
  readonly isUsable: boolean;
}

/**
 * Returns the ids of the members to connect to. Members that are not usable are
 * supplemented by the next in rank. They stay selected, so that their
 * connections are restored once they are reachable again.
 */
export function selectPeers(
  self: { readonly id: Types.InstanceId; readonly domain: Types.Domain },
  members: readonly MeshMember[],
): ReadonlySet<Types.InstanceId> {
  const others = members.filter((member) => member.id !== self.id);
  if (others.length + 1 <= FULL_MESH_MEMBERS) {
    return new Set(others.map((member) => member.id));
  }
  const localMembers = others.filter((member) => member.domain === self.domain);
  const connectionsPerDomain =
    localMembers.length + 1 >= SINGLE_CONNECTION_DOMAIN_MEMBERS
      ? 1
      : CONNECTIONS_PER_REMOTE_DOMAIN;
  const selected = new Set<Types.InstanceId>();
  const byDomain = new Map<Types.Domain, MeshMember[]>();
  for (const member of others) {
    const domainMembers = byDomain.get(member.domain);
    if (domainMembers === undefined) byDomain.set(member.domain, [member]);
    else domainMembers.push(member);
  }
  for (const [domain, domainMembers] of byDomain) {
    const ids = domain === self.domain
      ? domainMembers.map((member) => member.id)
      : selectRemote(self.id, domainMembers, connectionsPerDomain);
    ids.forEach((id) => selected.add(id));
  }
  return selected;
}

/**
 * Ranks the members of a domain. The rank depends on the unordered pair of ids,
 * so that two members often select each other and share one connection.
 */
function rankByPair(
  selfId: Types.InstanceId,
  domainMembers: readonly MeshMember[],
): readonly Types.InstanceId[] {
  const idByPair = new Map(
    domainMembers.map(({ id }) =>
      [[selfId, id].toSorted().join(" "), id] as const
    ),
  );
  return Rendezvous.rank("link", [...idByPair.keys()])
    .map((pair) => idByPair.get(pair))
    .filter((id) => id !== undefined);
}

/**
 * Selects `count` members of a remote domain by the rank of the pair, and as many
 * usable ones.
 */
export function selectRemote(
  selfId: Types.InstanceId,
  domainMembers: readonly MeshMember[],
  count: number,
): readonly Types.InstanceId[] {
  const usableIds = new Set(
    domainMembers.filter((member) => member.isUsable).map((member) =>
      member.id
    ),
  );
  const rankedIds = rankByPair(selfId, domainMembers);
  return [
    ...rankedIds.slice(0, count),
    ...rankedIds.filter((id) => usableIds.has(id)).slice(0, count),
  ];
}
