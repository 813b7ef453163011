/**
 * Shares of traffic: for the callers of one region (the origin), how many
 * percent go to each region. Promise: `moveTowards` moves at most the given
 * number of percentage points, whatever the two distributions are.
 */
import type * as Types from "../types.ts";

/** Percentage of an origin's callers per region; sums to 100, or to 0 when no region takes any. */
export type Shares = ReadonlyMap<Types.Region, number>;

/** Rounding residues below this are taken as reached. */
const EPSILON_PCT = 1e-9;

/**
 * What the table asks for: the origin's weight stays, the rest is spilled over
 * to the other regions in proportion to their weights. Without any other region
 * all of it stays.
 */
export function getTableShares(
  rows: readonly Types.Row[],
  origin: Types.Region,
): Shares {
  const ownWeight = rows.find((row) => row.region === origin)?.weight ?? 0;
  const others = rows.filter((row) => row.region !== origin && row.weight > 0);
  const sum = others.reduce((total, row) => total + row.weight, 0);
  const shares = new Map<Types.Region, number>();
  if (sum === 0) {
    if (ownWeight > 0) shares.set(origin, 100);
    return shares;
  }
  if (ownWeight > 0) shares.set(origin, ownWeight);
  for (const row of others) {
    const share = (100 - ownWeight) * row.weight / sum;
    if (share > 0) shares.set(row.region, share);
  }
  return shares;
}

/** Percentage points that move between two distributions. */
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
export function getChanged(from: Shares, to: Shares): readonly Types.Region[] {
  const regions = new Set([...from.keys(), ...to.keys()]);
  return [...regions].filter((region) => from.get(region) !== to.get(region));
}

/** Moves along the straight line from `from` to `to` by at most `maxPoints`. */
export function moveTowards(
  from: Shares,
  to: Shares,
  maxPoints: number,
): Shares {
  const distance = getDistance(from, to);
  if (distance <= maxPoints || distance < EPSILON_PCT) return to;
  const part = maxPoints / distance;
  const moved = new Map<Types.Region, number>();
  for (const region of new Set([...from.keys(), ...to.keys()])) {
    const start = from.get(region) ?? 0;
    const share = start + ((to.get(region) ?? 0) - start) * part;
    if (share > EPSILON_PCT) moved.set(region, share);
  }
  return moved;
}
