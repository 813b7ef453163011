/** Small configurations, targets and entries for tests of the gateway. */
import * as Routes from "../../src/gateway/routes.ts";
import type * as State from "../../src/gateway/state.ts";
import type * as GatewayTypes from "../../src/gateway/types.ts";

/** A route; `over` replaces fields. */
export function createRoute(
  over: Partial<GatewayTypes.Route> = {},
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
    ...over,
  };
}

/** A client account; `over` replaces fields. */
export function createAccount(
  over: Partial<GatewayTypes.AccountSpec> = {},
): GatewayTypes.AccountSpec {
  return {
    name: "hut",
    keys: ["key-hut"],
    priority: undefined,
    ratePerS: 100,
    burst: 100,
    homeRegions: [],
    ...over,
  };
}

/** A configuration of one service. */
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
    accounts: new Map(accounts.map((one) => [one.name, one])),
    keys: new Map(
      accounts.flatMap((one) => one.keys.map((key) => [key, one] as const)),
    ),
    routesByHost: Routes.indexRoutes(routes),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** A target's entry; `over` replaces fields. */
export function createEntry(
  id: string,
  over: Partial<GatewayTypes.TargetEntry> = {},
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
    ...over,
  };
}

/** Targets `prefix0`, `prefix1` … of one region. */
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
