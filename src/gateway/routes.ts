/** Finds the route of a request: the longest prefix of the host's routes that begins the path. */
import type * as GatewayTypes from "./types.ts";

/** Orders routes so that the first match is the longest. */
export function indexRoutes(
  routes: readonly GatewayTypes.Route[],
): ReadonlyMap<string, readonly GatewayTypes.Route[]> {
  const byHost = new Map<string, GatewayTypes.Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const known = byHost.get(host);
    if (known === undefined) byHost.set(host, [route]);
    else known.push(route);
  }
  for (const list of byHost.values()) {
    list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return byHost;
}

/** Host name of a `Host` header, without the port. */
export function getHostName(host: string | undefined): string {
  if (host === undefined) return "";
  const colon = host.lastIndexOf(":");
  const isPort = colon > 0 && !host.endsWith("]");
  return (isPort ? host.slice(0, colon) : host).toLowerCase();
}

/** The route of a host and a path with query; undefined when none matches. */
export function tryFindRoute(
  config: GatewayTypes.RouteConfig,
  host: string | undefined,
  url: string,
): GatewayTypes.Route | undefined {
  const routes = config.routesByHost.get(getHostName(host));
  if (routes === undefined) return undefined;
  const query = url.indexOf("?");
  const path = query < 0 ? url : url.slice(0, query);
  return routes.find((route) => path.startsWith(route.pathPrefix));
}
