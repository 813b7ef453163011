/**
 * Divides a route's requests between its services in proportion to their
 * weights, by smooth weighted round robin.
 */
import type * as GatewayTypes from "./types.ts";

/** Chooses the service of each request. */
export interface Splits {
  /** Returns the service of the route's next request. */
  chooseService(route: GatewayTypes.Route): string;
}

/**
 * Creates splits without history for all routes; `reset` removes the history of
 * all routes, also of removed ones.
 */
export function createSplits(): Splits & { reset(): void } {
  /** Round robin credit by route and service. */
  const creditsByRoute = new Map<string, Map<string, number>>();

  function chooseByWeight(route: GatewayTypes.Route): string {
    const routeKey = `${route.host} ${route.pathPrefix}`;
    const credits = creditsByRoute.get(routeKey) ?? new Map<string, number>();
    creditsByRoute.set(routeKey, credits);
    let totalWeight = 0;
    let best = route.backends[0]?.service ?? "";
    let bestCredit = -Infinity;
    for (const { service, weight } of route.backends) {
      if (weight <= 0) continue;
      totalWeight += weight;
      const credit = (credits.get(service) ?? 0) + weight;
      credits.set(service, credit);
      if (credit > bestCredit) {
        best = service;
        bestCredit = credit;
      }
    }
    credits.set(best, bestCredit - totalWeight);
    return best;
  }

  return {
    chooseService(route) {
      if (route.backends.length === 1) return route.backends[0]!.service;
      return chooseByWeight(route);
    },
    reset: () => creditsByRoute.clear(),
  };
}
