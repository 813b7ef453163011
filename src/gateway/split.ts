/**
 * Divides a route's requests between its services in proportion to their weights.
 *
 * Load pattern: hundreds of instances, each of which receives a request of a route
 * every few seconds. If all of them began with the same service, the others would
 * get next to nothing for many seconds after each change of the configuration.
 * Every instance therefore begins at another point of the sequence.
 */
import * as Rendezvous from "../rendezvous.ts";
import * as RoundRobin from "../steering/round_robin.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

/** Points of the sequence at which an instance may begin; enough for shares of one in a hundred. */
const START_POINTS = 100;

/** Chooses the service of each request. */
export interface Splits {
  /** Returns the service of the route's next request. */
  chooseService(route: GatewayTypes.Route): string;
}

/**
 * Creates the splits of the instance `self`; `reset` removes the history of all
 * routes, also of removed ones.
 */
export function createSplits(
  self: Types.InstanceId,
): Splits & { reset(): void } {
  const roundRobins = new Map<string, RoundRobin.RoundRobin<string>>();
  let resetCount = 0;

  function createRoundRobin(
    routeKey: string,
    weights: ReadonlyMap<string, number>,
  ): RoundRobin.RoundRobin<string> {
    const roundRobin = RoundRobin.createRoundRobin<string>();
    const startKey = `${routeKey} ${resetCount}`;
    const startPoint = Rendezvous.score(startKey, self) % START_POINTS;
    for (let i = 0; i < startPoint; i++) roundRobin.tryNext(weights);
    return roundRobin;
  }

  return {
    chooseService({ backends, host, pathPrefix }) {
      const first = backends[0]?.service ?? "";
      if (backends.length === 1) return first;
      const routeKey = `${host} ${pathPrefix}`;
      const weights = new Map(
        backends.map(({ service, weight }) => [service, weight]),
      );
      const roundRobin = roundRobins.get(routeKey) ??
        createRoundRobin(routeKey, weights);
      roundRobins.set(routeKey, roundRobin);
      return roundRobin.tryNext(weights) ?? first;
    },
    reset() {
      roundRobins.clear();
      resetCount++;
    },
  };
}
