/**
 * Finds the route of a request: among the routes of its host, the longest path
 * prefix that matches.
 */
import type * as GatewayTypes from "./types.ts";

/**
 * Groups routes by lower-case host, longest path prefix first, so that the
 * first match is the longest.
 */
export function indexRoutes(
  routes: readonly GatewayTypes.Route[],
): ReadonlyMap<string, readonly GatewayTypes.Route[]> {
  const routesByHost = new Map<string, GatewayTypes.Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const hostRoutes = routesByHost.get(host);
    if (hostRoutes === undefined) routesByHost.set(host, [route]);
    else hostRoutes.push(route);
  }
  for (const hostRoutes of routesByHost.values()) {
    hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return routesByHost;
}

/** Lower-case host name of a `Host` header, without the port; empty when the header is missing. */
export function getHostName(host: string | undefined): string {
  if (host === undefined) return "";
  const colon = host.lastIndexOf(":");
  const hasPort = colon > 0 && !host.endsWith("]");
  return (hasPort ? host.slice(0, colon) : host).toLowerCase();
}

/** The route of a `Host` header and a URL of path and query; undefined when none matches. */
export function tryFindRoute(
  config: GatewayTypes.RouteConfig,
  host: string | undefined,
  url: string,
): GatewayTypes.Route | undefined {
  const routes = config.routesByHost.get(getHostName(host));
  if (routes === undefined) return undefined;
  const queryStart = url.indexOf("?");
  const path = queryStart < 0 ? url : url.slice(0, queryStart);
  return routes.find((route) => path.startsWith(route.pathPrefix));
}
