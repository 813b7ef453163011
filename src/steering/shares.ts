/**
 * Distributions of traffic: the percentage of the requests from one region, the
 * origin, that goes to each region. Guarantee: `moveTowards` changes a
 * distribution by at most the given number of percentage points.
 */
import type * as Types from "../types.ts";

/**
 * Percentage of an origin's requests by region; the sum is 100, or 0 when no
 * region accepts any.
 */
export type Shares = ReadonlyMap<Types.Region, number>;

/** Differences below this are rounding errors. */
const EPSILON_PCT = 1e-9;

/**
 * The distribution that the table's rows define. The origin's weight is the
 * percentage that stays in the origin; the remaining requests spill over to the
 * other regions in proportion to their weights. When no other region has a weight
 * above 0, all requests stay.
 */
export function getTableShares(
  rows: readonly Types.Row[],
  origin: Types.Region,
): Shares {
  const originWeight = rows.find((row) => row.region === origin)?.weight ?? 0;
  const spillRows = rows.filter((row) =>
    row.region !== origin && row.weight > 0
  );
  const spillWeight = spillRows.reduce((total, row) => total + row.weight, 0);
  const shares = new Map<Types.Region, number>();
  if (spillWeight === 0) {
    if (originWeight > 0) shares.set(origin, 100);
    return shares;
  }
  if (originWeight > 0) shares.set(origin, originWeight);
  for (const row of spillRows) {
    const share = (100 - originWeight) * row.weight / spillWeight;
    if (share > 0) shares.set(row.region, share);
  }
  return shares;
}

/** Percentage points of traffic that differ between two distributions. */
export function getDistance(from: Shares, to: Shares): number {
  let gained = 0;
  let lost = 0;
  for (const region of new Set([...from.keys(), ...to.keys()])) {
    const change = (to.get(region) ?? 0) - (from.get(region) ?? 0);
    if (change > 0) gained += change;
    else lost -= change;
  }
  return Math.max(gained, lost);
}

/** Regions whose share differs between two distributions. */
export function getChangedRegions(
  from: Shares,
  to: Shares,
): readonly Types.Region[] {
  const regions = new Set([...from.keys(), ...to.keys()]);
  return [...regions].filter((region) => from.get(region) !== to.get(region));
}

/**
 * Interpolates linearly between `from` and `to`, with a distance of at most
 * `maxPoints` percentage points from `from`.
 */
export function moveTowards(
  from: Shares,
  to: Shares,
  maxPoints: number,
): Shares {
  const distance = getDistance(from, to);
  if (distance <= maxPoints || distance < EPSILON_PCT) return to;
  const fraction = maxPoints / distance;
  const moved = new Map<Types.Region, number>();
  for (const region of new Set([...from.keys(), ...to.keys()])) {
    const start = from.get(region) ?? 0;
    const share = start + ((to.get(region) ?? 0) - start) * fraction;
    if (share > EPSILON_PCT) moved.set(region, share);
  }
  return moved;
}
