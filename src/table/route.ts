/** Matches request paths against the table's route patterns. */
import type * as Types from "../types.ts";

/** Kind of a route. At most one field is true: an at-most-once request needs an account, and open routes have none. */
export interface RouteKind {
  readonly isOnce: boolean;
  readonly isOpen: boolean;
}

/** Returns true when `path` equals the prefix or lies below it; `/orders` does not match `/orders2`. */
function isBelow(path: string, prefix: string): boolean {
  return prefix === "/" || path === prefix || path.startsWith(`${prefix}/`);
}

/**
 * Finds the kind of a request's route. Expects a canonical path without the
 * query. A route that matches both `once` and `open` counts as `once` only,
 * because an anonymous request cannot hold a ticket.
 */
export function findRoute(
  rules: Types.ServiceRules,
  method: string,
  canonicalPath: string,
): RouteKind {
  const isOnce = rules.once.some((pattern) =>
    pattern.method === method && isBelow(canonicalPath, pattern.pathPrefix)
  );
  const isOpen = !isOnce &&
    rules.open.some((prefix) => isBelow(canonicalPath, prefix));
  return { isOnce, isOpen };
}
