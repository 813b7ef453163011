/**
 * Chooses the instances to which callers connect: those of the caller's region that
 * reach targets, else those of all regions. If no instance reaches a target, all stay
 * in the directory, as the partition may end before callers ask again.
 */
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

/** Returns the addresses for a caller of the region, those of the caller's failure domain first. */
export function chooseAddresses(
  instances: readonly DirectoryInstance[],
  region: Types.Region,
  domain: Types.Domain,
): readonly Types.Address[] {
  const connected = instances.filter(({ isStranded }) => !isStranded);
  const usable = connected.length > 0 ? connected : instances;
  const inRegion = usable.filter((instance) => instance.region === region);
  const chosen = inRegion.length > 0 ? inRegion : usable;
  const ordered = chosen.toSorted((a, b) =>
    Number(b.domain === domain) - Number(a.domain === domain) ||
    (a.id < b.id ? -1 : 1)
  );
  return ordered.slice(0, MAX_ADDRESSES).map((instance) =>
    instance.callerAddress
  );
}
