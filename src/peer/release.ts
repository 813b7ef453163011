/**
 * Closes connections that neither the topology nor a call needs. The closing
 * end sends a notification first; without it the other end would treat the
 * peer as unresponsive.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import type * as Connection from "./connection.ts";

const RELEASE_METHOD = "connection.release";
const RELEASED_REASON = "not needed";
const RELEASED_BY_PEER_REASON = "not needed by the peer";

/**
 * Age in ms before which a connection is not released. In a fleet that starts
 * together, every instance connects to the first members, and within this time
 * they exchange their member lists. After it, an unneeded connection only costs
 * heartbeats every second.
 */
const MIN_CONNECTION_AGE_MS = 4_000;

/**
 * True if a connection with this close reason was released, so that its peer
 * still counts as reachable.
 */
export function isRelease(reason: string): boolean {
  return reason === RELEASED_REASON || reason === RELEASED_BY_PEER_REASON;
}

/** Registers the method with which a peer announces a release. */
export function addMethod(server: Connection.Server): void {
  server.addMethod(
    RELEASE_METHOD,
    (_, conn) => conn.close(RELEASED_BY_PEER_REASON),
  );
}

/** Releases connections that this instance opened, that are idle and not needed. */
export function closeUnneeded(
  connections: readonly Connection.Connection[],
  isNeeded: (id: Types.InstanceId) => boolean,
  clock: Clock.Clock,
): void {
  for (const conn of connections) {
    const isOld = clock.nowMs() - conn.openedAtMs > MIN_CONNECTION_AGE_MS;
    if (!conn.isInitiator || !isOld || !conn.isIdle()) continue;
    if (isNeeded(conn.remote.id)) continue;
    conn.notify(RELEASE_METHOD, {});
    conn.close(RELEASED_REASON);
  }
}
