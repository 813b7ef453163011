/** Route configurations, targets and their entries for tests of the gateway. */
import * as Routes from "../../src/gateway/routes.ts";
import type * as State from "../../src/gateway/state.ts";
import type * as GatewayTypes from "../../src/gateway/types.ts";

/** Creates a route; `overrides` replaces fields. */
export function createRoute(
  overrides: Partial<GatewayTypes.Route> = {},
): GatewayTypes.Route {
  return {
    name: "r-read",
    host: "shop.example",
    pathPrefix: "/read/",
    isRepeatable: true,
    timeoutMs: 2_000,
    targetLatencyMs: 400,
    priority: 1,
    backends: [{ service: "orders", weight: 1 }],
    maxTargets: 2,
    isKeyOptional: false,
    isSticky: true,
    homeRegions: [],
    ...overrides,
  };
}

/** Creates a client account; `overrides` replaces fields. */
export function createAccount(
  overrides: Partial<GatewayTypes.AccountSpec> = {},
): GatewayTypes.AccountSpec {
  return {
    name: "hut",
    keys: ["key-hut"],
    priority: undefined,
    ratePerS: 100,
    burst: 100,
    homeRegions: [],
    ...overrides,
  };
}

/** Creates a configuration of the service `orders`. */
export function createConfig(
  version: number,
  accounts: readonly GatewayTypes.AccountSpec[] = [createAccount()],
  routes: readonly GatewayTypes.Route[] = [createRoute()],
): GatewayTypes.RouteConfig {
  const service = {
    name: "orders",
    maxConns: 330,
    coldMs: 3_000,
    coldPerS: 15,
  };
  return {
    version,
    services: new Map([[service.name, service]]),
    accounts: new Map(accounts.map((account) => [account.name, account])),
    keys: new Map(
      accounts.flatMap((account) =>
        account.keys.map((key) => [key, account] as const)
      ),
    ),
    routesByHost: Routes.indexRoutes(routes),
    hasDownloads: false,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Creates the entry of a target; `overrides` replaces fields. */
export function createEntry(
  id: string,
  overrides: Partial<GatewayTypes.TargetEntry> = {},
): GatewayTypes.TargetEntry {
  return {
    id,
    service: "orders",
    address: "127.0.0.1:1",
    domain: "north-a",
    slots: 9,
    isLeaving: false,
    coldLeftMs: 0,
    startedAtMs: 1,
    ...overrides,
  };
}

/** Creates `count` targets of one region with the ids `prefix0`, `prefix1` and so on. */
export function createTargets(
  prefix: string,
  count: number,
  region: string,
): readonly State.KnownTarget[] {
  return Array.from({ length: count }, (_, index) => ({
    entry: createEntry(`${prefix}${index}`, { domain: `${region}-a` }),
    region,
    coldUntilMs: 0,
  }));
}
