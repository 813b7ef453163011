/** Tells callers which instances to connect to: those that are up by evidence, in the caller's region where there are any. */
import type * as Types from "../types.ts";

/** An instance that callers may use. */
export interface Candidate {
  readonly id: Types.InstanceId;
  readonly callerAddress: Types.Address;
  readonly domain: Types.Domain;
  readonly region: Types.Region;
}

/** Callers accept this many addresses. */
const MAX_ADDRESSES = 64;

/** Addresses for a caller of the region, its own domain's first. */
export function chooseAddresses(
  candidates: readonly Candidate[],
  region: Types.Region,
  domain: Types.Domain,
): readonly Types.Address[] {
  const inRegion = candidates.filter((one) => one.region === region);
  const chosen = inRegion.length > 0 ? inRegion : candidates;
  const ordered = chosen.toSorted((a, b) =>
    Number(b.domain === domain) - Number(a.domain === domain) ||
    (a.id < b.id ? -1 : 1)
  );
  return ordered.slice(0, MAX_ADDRESSES).map((one) => one.callerAddress);
}
