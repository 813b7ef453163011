/**
 * Topology of the peer connections on the users' platform.
 *
 * Load pattern: hundreds of instances in domains of twenty, most of them small
 * machines with a few requests per second. If all instances of a domain were
 * connected to each other, messages between peers would wake an instance several
 * times as often as its requests do.
 *
 * In a large fleet each domain has hubs, its largest machines. Every instance is
 * connected to the hubs of its domain, and a hub also to one hub of each other
 * domain. Hubs report the members of their domain and the member counts of the
 * other domains (`status_gossip.ts`), read the store and own the account limits.
 * All instances that know the same members select the same hubs, without messages.
 */
import * as Mesh from "../peer/mesh.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";

/** Hubs of a domain; two may be lost at once before their domain has to select others. */
export const HUBS_PER_DOMAIN = 3;
const RANK_KEY = "hubs";

/** Orders the members of a domain as hubs: the largest first, equal ones by hash. */
function rankHubs(
  members: readonly Mesh.MeshMember[],
): readonly Mesh.MeshMember[] {
  const byId = new Map(members.map((member) => [member.id, member]));
  return Rendezvous.rank(RANK_KEY, [...byId.keys()])
    .map((id) => byId.get(id))
    .filter((member) => member !== undefined)
    .sort((a, b) => b.capacity - a.capacity);
}

/**
 * Selects the hubs among the members of one domain. Hubs that are not usable are
 * supplemented by the next in rank and stay selected, so that connections to them
 * are restored.
 */
export function selectHubs(
  members: readonly Mesh.MeshMember[],
): ReadonlySet<Types.InstanceId> {
  const ranked = rankHubs(members);
  const usable = ranked.filter((member) => member.isUsable);
  return new Set(
    [
      ...ranked.slice(0, HUBS_PER_DOMAIN),
      ...usable.slice(0, HUBS_PER_DOMAIN),
    ].map(({ id }) => id),
  );
}

function groupByDomain(
  members: readonly Mesh.MeshMember[],
): ReadonlyMap<Types.Domain, readonly Mesh.MeshMember[]> {
  const byDomain = new Map<Types.Domain, Mesh.MeshMember[]>();
  for (const member of members) {
    const domainMembers = byDomain.get(member.domain);
    if (domainMembers === undefined) byDomain.set(member.domain, [member]);
    else domainMembers.push(member);
  }
  return byDomain;
}

/**
 * Returns the ids of the members to which the instance `self` connects. `members`
 * may contain `self`.
 */
export function selectPeers(
  self: Omit<Mesh.MeshMember, "isUsable">,
  members: readonly Mesh.MeshMember[],
): ReadonlySet<Types.InstanceId> {
  const others = members.filter((member) => member.id !== self.id);
  if (others.length < Mesh.FULL_MESH_MEMBERS) {
    return new Set(others.map((member) => member.id));
  }
  const byDomain = groupByDomain([...others, { ...self, isUsable: true }]);
  const localMembers = byDomain.get(self.domain) ?? [];
  const localHubs = selectHubs(localMembers);
  const isHub = localHubs.has(self.id);
  const selected = new Set(
    isHub ? localMembers.map(({ id }) => id) : localHubs,
  );
  selected.delete(self.id);
  if (!isHub) return selected;
  for (const [domain, domainMembers] of byDomain) {
    if (domain === self.domain) continue;
    const hubs = selectHubs(domainMembers);
    const hubMembers = domainMembers.filter(({ id }) => hubs.has(id));
    for (const id of Mesh.selectRemote(self.id, hubMembers, 1)) {
      selected.add(id);
    }
  }
  return selected;
}
