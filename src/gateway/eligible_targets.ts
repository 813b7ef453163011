/** Which targets may get a request at all: alive, in a home region, in a domain that is not evacuated. */
import type * as Types from "../types.ts";
import type * as StateModule from "./state.ts";
import type * as GatewayTypes from "./types.ts";

/** Where a request may run. */
export interface Allowed {
  /** Names the set of regions, for caches. */
  readonly scope: string;
  readonly targets: readonly StateModule.KnownTarget[];
}

/** Regions that both allow; undefined when every region does. */
function getHomes(
  route: GatewayTypes.Route,
  account: GatewayTypes.AccountSpec | undefined,
): readonly Types.Region[] | undefined {
  const ofRoute = route.homeRegions;
  const ofAccount = account?.homeRegions ?? [];
  if (ofRoute.length === 0 && ofAccount.length === 0) return undefined;
  if (ofRoute.length === 0) return ofAccount;
  if (ofAccount.length === 0) return ofRoute;
  return ofRoute.filter((region) => ofAccount.includes(region));
}

/** Targets of a service that may run the request. */
export function getEligibleTargets(
  state: StateModule.State,
  service: Types.Service,
  route: GatewayTypes.Route,
  account: GatewayTypes.AccountSpec | undefined,
): Allowed {
  const targets = state.getUsableTargets(service);
  const homes = getHomes(route, account);
  if (homes === undefined) return { scope: service, targets };
  return {
    scope: `${service} ${homes.join(",")}`,
    targets: targets.filter(({ region }) => homes.includes(region)),
  };
}
