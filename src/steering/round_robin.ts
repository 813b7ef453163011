/**
 * Smooth weighted round robin. Guarantee: after any number of choices, the number
 * of times that a name was chosen differs from its share of the choices by at most
 * the number of names, and the choices of one name are spread evenly.
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
    let totalWeight = 0;
    let best: K | undefined;
    let bestCredit = -Infinity;
    for (const [name, weight] of weights) {
      if (weight <= 0) continue;
      totalWeight += weight;
      const credit = (credits.get(name) ?? 0) + weight;
      credits.set(name, credit);
      if (credit > bestCredit) [best, bestCredit] = [name, credit];
    }
    for (const name of credits.keys()) {
      // Credit that is kept without a weight would cause a burst when the name
      // gets a weight again.
      if ((weights.get(name) ?? 0) <= 0) credits.delete(name);
    }
    if (best !== undefined) credits.set(best, bestCredit - totalWeight);
    return best;
  }

  return { tryNext };
}
