/**
 * Chooses the instances to which callers connect: those of the caller's region that
 * reach targets, else those of all regions. If no instance reaches a target, all stay
 * in the directory, as the partition may end before callers ask again.
 *
 * Load pattern: most instances of a region reach no target. The few others would get
 * the callers of all of them, so instances of other regions are named beside them.
 *
 * Load pattern: long responses saturate the narrowest links, and small responses wait
 * behind them. Callers pick one of the named addresses at random, so n named instances
 * together carry n times what the narrowest link among them does. Those with narrow
 * links are left out as long as that gains (docs/design/downloads.md).
 */
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";

/** A live instance that callers may connect to. */
export interface DirectoryInstance {
  readonly id: Types.InstanceId;
  readonly callerAddress: Types.Address;
  readonly domain: Types.Domain;
  readonly region: Types.Region;
  /** True while it reaches no target, or can open no connection to one. */
  readonly isStranded: boolean;
  /** Capacity of its link, Mbit/s; undefined when it is unknown. */
  readonly linkMbps?: number | undefined;
}

/** Callers accept at most this many addresses. */
const MAX_ADDRESSES = 64;

/** Smallest share of a group's instances that can serve the callers of all of them. */
const MIN_USABLE_SHARE = 0.5;

/** True if `usable` of `all` instances can serve the callers of all of them. */
export function isEnough(usable: number, all: number): boolean {
  return usable >= all * MIN_USABLE_SHARE;
}

/** Every domain keeps at least this many named instances, if it has them, so that callers have another when one ends. */
const MIN_DOMAIN_INSTANCES = 2;

/** Instances of each domain. */
function countByDomain(
  instances: readonly DirectoryInstance[],
): ReadonlyMap<Types.Domain, number> {
  const counts = new Map<Types.Domain, number>();
  for (const { domain } of instances) {
    counts.set(domain, (counts.get(domain) ?? 0) + 1);
  }
  return counts;
}

/**
 * Leaves out usable instances with narrow links, as long as that raises what the
 * others carry together. At least half of `all` stay, and half of each domain.
 * Returns all usable ones when a link is unknown.
 */
export function preferWideLinks(
  usable: readonly DirectoryInstance[],
  all: readonly DirectoryInstance[],
): readonly DirectoryInstance[] {
  const isKnown = usable.every(({ linkMbps }) => linkMbps !== undefined);
  if (!isKnown || usable.length < 2) return usable;
  const getLink = ({ linkMbps = 0 }: DirectoryInstance) => linkMbps;
  const ascending = usable.toSorted((a, b) =>
    getLink(a) - getLink(b) || (a.id < b.id ? -1 : 1)
  );
  const total = countByDomain(all);
  const left = new Map(countByDomain(usable));
  let best: readonly DirectoryInstance[] = usable;
  let bestMbps = usable.length * getLink(ascending[0]!);
  for (let i = 1; i < ascending.length; i++) {
    const { domain } = ascending[i - 1]!;
    const domainTotal = total.get(domain) ?? 0;
    const domainLeft = (left.get(domain) ?? 0) - 1;
    left.set(domain, domainLeft);
    const kept = ascending.slice(i);
    const isDomainKept = isEnough(domainLeft, domainTotal) &&
      domainLeft >= Math.min(MIN_DOMAIN_INSTANCES, domainTotal);
    if (!isDomainKept || !isEnough(kept.length, all.length)) break;
    const mbps = kept.length * getLink(kept[0]!);
    if (mbps <= bestMbps) continue;
    best = kept;
    bestMbps = mbps;
  }
  return best;
}

/** Returns the instances for callers of the region: its own, and as many of other regions as are missing. */
function chooseInstances(
  instances: readonly DirectoryInstance[],
  region: Types.Region,
  hasDownloads: boolean,
): readonly DirectoryInstance[] {
  const connected = instances.filter(({ isStranded }) => !isStranded);
  const usable = connected.length > 0 ? connected : instances;
  const all = instances.filter((instance) => instance.region === region);
  const local = usable.filter((instance) => instance.region === region);
  if (local.length > 0 && isEnough(local.length, all.length)) {
    return hasDownloads ? preferWideLinks(local, all) : local;
  }
  const byId = new Map(
    usable.filter((instance) => instance.region !== region)
      .map((instance) => [instance.id, instance]),
  );
  const others = Rendezvous.rank(region, [...byId.keys()])
    .map((id) => byId.get(id)!);
  if (local.length === 0) return others;
  return [...local, ...others.slice(0, all.length - local.length)];
}

/**
 * Returns the addresses for a caller of the region, those of the caller's failure
 * domain first. `hasDownloads`: responses may be long, so that links matter.
 */
export function chooseAddresses(
  instances: readonly DirectoryInstance[],
  region: Types.Region,
  domain: Types.Domain,
  hasDownloads: boolean,
): readonly Types.Address[] {
  const chosen = chooseInstances(instances, region, hasDownloads);
  const ordered = chosen.toSorted((a, b) =>
    Number(b.domain === domain) - Number(a.domain === domain) ||
    Number(b.region === region) - Number(a.region === region) ||
    (a.id < b.id ? -1 : 1)
  );
  return ordered.slice(0, MAX_ADDRESSES).map((instance) =>
    instance.callerAddress
  );
}
