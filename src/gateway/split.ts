/** Spreads a route's requests over its services in proportion to their weights, smoothly. */
import type * as GatewayTypes from "./types.ts";

/** Chooses services. */
export interface Splits {
  chooseService(route: GatewayTypes.Route): string;
}

/** Creates counters for all routes; those of routes that are gone are dropped with `setConfig`. */
export function createSplits(): Splits & { reset(): void } {
  const credits = new Map<string, Map<string, number>>();

  function chooseOf(route: GatewayTypes.Route): string {
    const key = `${route.host} ${route.pathPrefix}`;
    const known = credits.get(key) ?? new Map<string, number>();
    credits.set(key, known);
    let total = 0;
    let best = route.backends[0]?.service ?? "";
    let bestCredit = -Infinity;
    for (const { service, weight } of route.backends) {
      if (weight <= 0) continue;
      total += weight;
      const credit = (known.get(service) ?? 0) + weight;
      known.set(service, credit);
      if (credit > bestCredit) {
        best = service;
        bestCredit = credit;
      }
    }
    known.set(best, bestCredit - total);
    return best;
  }

  return {
    chooseService(route) {
      if (route.backends.length === 1) return route.backends[0]!.service;
      return chooseOf(route);
    },
    reset: () => credits.clear(),
  };
}
