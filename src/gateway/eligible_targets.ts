/**
 * Selects the targets that a request may be sent to: usable targets outside
 * evacuated failure domains, in a home region of both the route and the client
 * account.
 */
import type * as Types from "../types.ts";
import type * as StateModule from "./state.ts";
import type * as GatewayTypes from "./types.ts";

/** The targets that may run a request. */
export interface EligibleTargets {
  /** Names the service and its home regions; identifies this set of targets in caches. */
  readonly scope: string;
  readonly targets: readonly StateModule.KnownTarget[];
}

/** Returns the regions that both the route and the account allow; undefined when every region is allowed. */
export function getHomeRegions(
  route: GatewayTypes.Route,
  account: GatewayTypes.AccountSpec | undefined,
): readonly Types.Region[] | undefined {
  const routeHomes = route.homeRegions;
  const accountHomes = account?.homeRegions ?? [];
  if (routeHomes.length === 0 && accountHomes.length === 0) return undefined;
  if (routeHomes.length === 0) return accountHomes;
  if (accountHomes.length === 0) return routeHomes;
  return routeHomes.filter((region) => accountHomes.includes(region));
}

/** Returns the targets of a service that may run a request of the route and account. */
export function getEligibleTargets(
  state: StateModule.State,
  service: Types.Service,
  route: GatewayTypes.Route,
  account: GatewayTypes.AccountSpec | undefined,
): EligibleTargets {
  const targets = state.getUsableTargets(service);
  const homeRegions = getHomeRegions(route, account);
  if (homeRegions === undefined) return { scope: service, targets };
  return {
    scope: `${service} ${homeRegions.join(",")}`,
    targets: targets.filter(({ region }) => homeRegions.includes(region)),
  };
}
