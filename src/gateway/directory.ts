/**
 * Chooses the instances to which callers connect: those of the caller's region that
 * reach targets, else those of all regions. If no instance reaches a target, all stay
 * in the directory, as the partition may end before callers ask again.
 *
 * Load pattern: most instances of a region reach no target. The few others would get
 * the callers of all of them, so instances of other regions are named beside them.
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
}

/** Callers accept at most this many addresses. */
const MAX_ADDRESSES = 64;

/** Smallest share of a group's instances that can serve the callers of all of them. */
const MIN_USABLE_SHARE = 0.5;

/** True if `usable` of `all` instances can serve the callers of all of them. */
export function isEnough(usable: number, all: number): boolean {
  return usable >= all * MIN_USABLE_SHARE;
}

/** Returns the instances for callers of the region: its own, and as many of other regions as are missing. */
function chooseInstances(
  instances: readonly DirectoryInstance[],
  region: Types.Region,
): readonly DirectoryInstance[] {
  const connected = instances.filter(({ isStranded }) => !isStranded);
  const usable = connected.length > 0 ? connected : instances;
  const all = instances.filter((instance) => instance.region === region);
  const local = usable.filter((instance) => instance.region === region);
  if (local.length > 0 && isEnough(local.length, all.length)) return local;
  const byId = new Map(
    usable.filter((instance) => instance.region !== region)
      .map((instance) => [instance.id, instance]),
  );
  const others = Rendezvous.rank(region, [...byId.keys()])
    .map((id) => byId.get(id)!);
  if (local.length === 0) return others;
  return [...local, ...others.slice(0, all.length - local.length)];
}

/** Returns the addresses for a caller of the region, those of the caller's failure domain first. */
export function chooseAddresses(
  instances: readonly DirectoryInstance[],
  region: Types.Region,
  domain: Types.Domain,
): readonly Types.Address[] {
  const ordered = chooseInstances(instances, region).toSorted((a, b) =>
    Number(b.domain === domain) - Number(a.domain === domain) ||
    Number(b.region === region) - Number(a.region === region) ||
    (a.id < b.id ? -1 : 1)
  );
  return ordered.slice(0, MAX_ADDRESSES).map((instance) =>
    instance.callerAddress
  );
}
