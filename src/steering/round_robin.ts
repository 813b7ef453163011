/**
 * Smooth weighted round robin. Promise: after any number of choices each name
 * was chosen its share of times, less or more than the number of names at most,
 * and choices of one name are spread evenly.
 */

/** Chooses names in proportion to weights that may change between choices. */
export interface RoundRobin<K> {
  /** The next name; undefined when no weight is above 0. */
  tryNext(weights: ReadonlyMap<K, number>): K | undefined;
}

/** Creates a round robin without history. */
export function createRoundRobin<K>(): RoundRobin<K> {
  const credits = new Map<K, number>();

  function tryNext(weights: ReadonlyMap<K, number>): K | undefined {
    let total = 0;
    let best: K | undefined;
    let bestCredit = -Infinity;
    for (const [name, weight] of weights) {
      if (weight <= 0) continue;
      total += weight;
      const credit = (credits.get(name) ?? 0) + weight;
      credits.set(name, credit);
      if (credit > bestCredit) [best, bestCredit] = [name, credit];
    }
    for (const name of credits.keys()) {
      // Credit of a name without weight would come back as a burst.
      if ((weights.get(name) ?? 0) <= 0) credits.delete(name);
    }
    if (best !== undefined) credits.set(best, bestCredit - total);
    return best;
  }

  return { tryNext };
}
