/** Topology: which members an instance connects to by itself. */
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";

/** Members, this instance included, up to which everyone connects to everyone. */
export const FULL_MESH_MEMBERS = 24;
/** Connections to each other domain beyond that size. */
export const LINKS_PER_OTHER_DOMAIN = 2;
/**
 * With this many members in the own domain one is enough: the others have links
 * of their own, and each link costs every second, most of all between regions.
 */
export const LARGE_DOMAIN_MEMBERS = 6;

/** What the choice depends on. */
export interface MeshMember {
  readonly id: Types.InstanceId;
  readonly domain: Types.Domain;
  /** False while the last attempt to connect to it failed. */
  readonly isUsable: boolean;
}

/**
 * Ids to connect to. Members that can't be reached are replaced by the next in
 * rank, and stay selected too, so that the preferred links come back.
 */
export function selectPeers(
  self: { readonly id: Types.InstanceId; readonly domain: Types.Domain },
  members: readonly MeshMember[],
): ReadonlySet<Types.InstanceId> {
  const others = members.filter((one) => one.id !== self.id);
  if (others.length + 1 <= FULL_MESH_MEMBERS) {
    return new Set(others.map((one) => one.id));
  }
  const neighbours = others.filter((one) => one.domain === self.domain);
  const links = neighbours.length + 1 >= LARGE_DOMAIN_MEMBERS
    ? 1
    : LINKS_PER_OTHER_DOMAIN;
  const selected = new Set<Types.InstanceId>();
  const byDomain = new Map<Types.Domain, MeshMember[]>();
  for (const one of others) {
    const group = byDomain.get(one.domain);
    if (group === undefined) byDomain.set(one.domain, [one]);
    else group.push(one);
  }
  for (const [domain, group] of byDomain) {
    const ids = domain === self.domain
      ? group.map((one) => one.id)
      : pickLinks(self.id, group, links);
    ids.forEach((id) => selected.add(id));
  }
  return selected;
}

/**
 * Links are ranked by the pair of ids, so that two members often choose each
 * other and share one connection.
 */
function rankLinks(
  selfId: Types.InstanceId,
  group: readonly MeshMember[],
): readonly Types.InstanceId[] {
  const idOf = new Map(
    group.map(({ id }) => [[selfId, id].toSorted().join(" "), id] as const),
  );
  return Rendezvous.rank("link", [...idOf.keys()])
    .map((pair) => idOf.get(pair))
    .filter((id) => id !== undefined);
}

function pickLinks(
  selfId: Types.InstanceId,
  group: readonly MeshMember[],
  count: number,
): readonly Types.InstanceId[] {
  const usable = new Set(
    group.filter((one) => one.isUsable).map((one) => one.id),
  );
  const ranked = rankLinks(selfId, group);
  return [
    ...ranked.slice(0, count),
    ...ranked.filter((id) => usable.has(id)).slice(0, count),
  ];
}
