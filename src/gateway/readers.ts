/**
 * Selects the instances of a failure domain that read the store. Load pattern: a
 * large fleet in which every change concerns every instance, a store that counts
 * each call, and links between regions that are expensive.
 *
 * One or two instances per domain watch the store and push changes to the other
 * instances of their domain. A reader that the store rejects while it serves other
 * instances is replaced. In an outage of the store no reader is replaced, so that
 * the recovering store does not receive the calls of the whole fleet. Other instances
 * step in for readers to which the store gives no response (`store_contact.ts`).
 */
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";

/**
 * In a small domain a second reader costs little, as it saves its peer a push. In a
 * larger domain or fleet, an unresponsive reader is noticed by the revisions that
 * other domains report, within two of their status messages, and by the age of its
 * last response.
 */
const SMALL_DOMAIN_READERS = 2;
const LARGE_DOMAIN_READERS = 1;
const LARGE_DOMAIN_MEMBERS = 4;
const RANK_KEY = "store-readers";

/** An instance of the local domain. */
export interface DomainMember {
  readonly id: Types.InstanceId;
  /** True when its last calls to the store failed. */
  readonly isStoreFailing: boolean;
  /**
   * Processor cores; 0 when they are unknown. Large machines also have
   * fast links, and a change goes from the reader to all other instances of the domain.
   */
  readonly capacity: number;
}

/** State of the fleet on which the number of readers depends. */
export interface ReaderPolicy {
  /** True if some instance of the fleet received a store response lately. */
  readonly isStoreUp: boolean;
  /** True if all instances are connected to each other. */
  readonly isFullMesh: boolean;
}

/** Ranks the members as readers: the largest first, equal ones by hash. */
export function rankReaders(
  members: readonly DomainMember[],
): readonly Types.InstanceId[] {
  const capacities = new Map(
    members.map((member) => [member.id, member.capacity]),
  );
  return Rendezvous.rank(RANK_KEY, [...capacities.keys()])
    .toSorted((a, b) => (capacities.get(b) ?? 0) - (capacities.get(a) ?? 0));
}

/** Selects the store readers of a domain among its members, or among its hubs in a large fleet. */
export function chooseReaders(
  members: readonly DomainMember[],
  { isFullMesh, isStoreUp }: ReaderPolicy,
): readonly Types.InstanceId[] {
  const ranked = rankReaders(members);
  const count = isFullMesh && members.length < LARGE_DOMAIN_MEMBERS
    ? SMALL_DOMAIN_READERS
    : LARGE_DOMAIN_READERS;
  const preferred = ranked.slice(0, count);
  if (!isStoreUp) return preferred;
  const failing = new Set(
    members.filter((member) => member.isStoreFailing).map(({ id }) => id),
  );
  const healthy = ranked.filter((id) => !failing.has(id))
    .slice(0, count);
  // The preferred readers keep trying, so that their recovery is noticed.
  return [...new Set([...healthy, ...preferred])];
}
