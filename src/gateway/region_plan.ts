/**
 * Plans, for the affinity keys that are requested from one region, which share of
 * them has its primary target in each region.
 *
 * Load pattern: callers are spread evenly over regions, but targets are not: one
 * region has few, another has many. Each affinity key is requested from one
 * region only.
 *
 * A region keeps its affinity keys as far as its targets can carry them at the
 * average load of the fleet. The excess goes to regions with unused capacity. The
 * plan depends on capacity only, so all instances compute the same plan without
 * exchanging messages, and affinity keys move only when targets join or leave.
 */
import type * as Types from "../types.ts";

/**
 * Load, relative to the fleet's average, up to which a region keeps its affinity
 * keys. It is above 1 because a response from another region takes a network
 * round trip longer.
 */
const MAX_LOCAL_LOAD_FACTOR = 1.15;
/**
 * Lower limit of a region's share. It keeps every target in the ranking, so
 * that a next candidate always exists.
 */
const MIN_SHARE = 0.002;

/** Share of one region's affinity keys that each region carries, 0 to 1. */
export type Shares = ReadonlyMap<Types.Region, number>;

/**
 * Plans where the affinity keys of `origin` are served. `slots` are the usable
 * slots of each region, `demand` is each region's share of the requests in any
 * unit. Returns an empty map when there are no slots or no demand.
 */
export function planShares(
  origin: Types.Region,
  slots: ReadonlyMap<Types.Region, number>,
  demand: ReadonlyMap<Types.Region, number>,
): Shares {
  let totalSlots = 0;
  for (const regionSlots of slots.values()) totalSlots += regionSlots;
  let totalDemand = 0;
  for (const regionDemand of demand.values()) totalDemand += regionDemand;
  const shares = new Map<Types.Region, number>();
  if (totalSlots === 0 || totalDemand === 0) return shares;

  /** Share of the fleet's load that the region's slots should carry. */
  const getCapacity = (region: Types.Region) =>
    (slots.get(region) ?? 0) / totalSlots;
  /** Share of the fleet's load that arises in the region. */
  const getDemand = (region: Types.Region) =>
    (demand.get(region) ?? 0) / totalDemand;
  /** Share of the fleet's load that arises in the region and is served there. */
  const getLocalLoad = (region: Types.Region) => {
    const capacity = getCapacity(region);
    // The bound makes an overloaded region use the capacity of other regions.
    return Math.min(getDemand(region), capacity * MAX_LOCAL_LOAD_FACTOR);
  };

  const originDemand = getDemand(origin);
  if (originDemand === 0) {
    for (const region of slots.keys()) shares.set(region, getCapacity(region));
    return shares;
  }
  const localShare = getLocalLoad(origin) / originDemand;
  let remoteUnused = 0;
  for (const region of slots.keys()) {
    if (region !== origin) remoteUnused += getUnusedCapacity(region);
  }
  for (const region of slots.keys()) {
    const share = region === origin
      ? localShare
      : remoteUnused === 0
      ? 0
      : (1 - localShare) * getUnusedCapacity(region) / remoteUnused;
    shares.set(region, Math.max(share, MIN_SHARE));
  }
  return shares;

  function getUnusedCapacity(region: Types.Region): number {
    return Math.max(0, getCapacity(region) - getLocalLoad(region));
  }
}
