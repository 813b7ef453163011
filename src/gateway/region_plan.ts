/**
 * How much of a region's objects has its place in which region. Load pattern:
 * callers come in equal numbers from regions whose targets are few in one and
 * many in another, and an object is asked for from one region only.
 *
 * Objects stay in their own region as far as its targets carry them at the load
 * of the whole fleet; the rest goes to regions with targets to spare. Only
 * capacity counts, so that all instances plan the same without a message and
 * objects move only when targets come or go.
 */
import type * as Types from "../types.ts";

/**
 * A region keeps this much more than its even load before objects are placed
 * elsewhere: an answer from there takes a round trip longer.
 */
const HOME_FACTOR = 1.15;
/** Of every region's weight; ranks all targets, so that there is always a next place. */
const MIN_SHARE = 0.002;

/** Share of one region's objects that each region carries. */
export type Shares = ReadonlyMap<Types.Region, number>;

/**
 * Plans where the objects of `origin` go. `slots` are the usable ones of each
 * region, `demand` each region's share of the requests.
 */
export function planShares(
  origin: Types.Region,
  slots: ReadonlyMap<Types.Region, number>,
  demand: ReadonlyMap<Types.Region, number>,
): Shares {
  let totalSlots = 0;
  for (const one of slots.values()) totalSlots += one;
  let totalDemand = 0;
  for (const one of demand.values()) totalDemand += one;
  const shares = new Map<Types.Region, number>();
  if (totalSlots === 0 || totalDemand === 0) return shares;

  /** Part of the fleet's load that the region should carry, and part that arises there. */
  const getCapacity = (region: Types.Region) =>
    (slots.get(region) ?? 0) / totalSlots;
  const getDemand = (region: Types.Region) =>
    (demand.get(region) ?? 0) / totalDemand;
  const getStaying = (region: Types.Region) => {
    const capacity = getCapacity(region);
    // One that keeps more than it should must leave room elsewhere.
    return Math.min(getDemand(region), capacity * HOME_FACTOR);
  };

  const own = getDemand(origin);
  if (own === 0) {
    for (const region of slots.keys()) shares.set(region, getCapacity(region));
    return shares;
  }
  const home = getStaying(origin) / own;
  let spare = 0;
  for (const region of slots.keys()) {
    if (region !== origin) spare += getSpare(region);
  }
  for (const region of slots.keys()) {
    const part = region === origin
      ? home
      : spare === 0
      ? 0
      : (1 - home) * getSpare(region) / spare;
    shares.set(region, Math.max(part, MIN_SHARE));
  }
  return shares;

  function getSpare(region: Types.Region): number {
    return Math.max(0, getCapacity(region) - getStaying(region));
  }
}
