/** Matches request paths against the table's route patterns. */
import type * as Types from "../types.ts";

/** What the table says about a route. Never both: `once` needs an account, `open` has none. */
export interface RouteKind {
  readonly isOnce: boolean;
  readonly isOpen: boolean;
}

/** True when `path` is the prefix or lies below it; `/orders` does not match `/orders2`. */
function isBelow(path: string, prefix: string): boolean {
  return prefix === "/" || path === prefix || path.startsWith(`${prefix}/`);
}

/**
 * Looks a route up. Expects a canonical path without the query. A route that
 * is both `once` and below an `open` prefix counts as `once` only, because an
 * anonymous request cannot hold a ticket.
 */
export function findRoute(
  rules: Types.ServiceRules,
  method: string,
  canonicalPath: string,
): RouteKind {
  const isOnce = rules.once.some((one) =>
    one.method === method && isBelow(canonicalPath, one.pathPrefix)
  );
  const isOpen = !isOnce &&
    rules.open.some((prefix) => isBelow(canonicalPath, prefix));
  return { isOnce, isOpen };
}
