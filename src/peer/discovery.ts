/**
 * Discovers members that are not connected, by querying connected peers for
 * their member lists.
 */
import type * as Clock from "../clock.ts";
import type * as Supervisor from "../supervisor.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";
import type * as Connection from "./connection.ts";
import * as Listing from "./listing.ts";
import * as Mesh from "./mesh.ts";

/** Shortest time in ms between two checks for whether a query is due. */
const CHECK_INTERVAL_MS = 250;
/** Timeout in ms of a `members.list` call. */
const CALL_TIMEOUT_MS = 3_000;
/** Initial time in ms between queries; it doubles after each valid response. */
const FIRST_INTERVAL_MS = 500;
/** Upper bound of the time between queries in a fleet that forms a full mesh. */
const MAX_INTERVAL_MS = 30_000;
/**
 * Upper bound of the time between queries in a fleet too large for a full mesh.
 * With 620 members the ages alone take some 15 KB per response.
 */
const LARGE_FLEET_MAX_INTERVAL_MS = 120_000;
/**
 * Number of peers queried in rotation. It is small, as only the first response
 * of each peer is long.
 */
const QUERIED_PEERS = 2;

/** Starts the periodic `members.list` calls; `onChanges` receives each valid response. */
export function start(args: {
  readonly supervisor: Supervisor.Supervisor;
  readonly clock: Clock.Clock;
  readonly getConnections: () => readonly Connection.Connection[];
  readonly getMemberCount: () => number;
  readonly self: Types.InstanceId;
  readonly onChanges: (changes: Listing.Changes, requestedAtMs: number) => void;
}): void {
  const { clock } = args;
  let intervalMs = FIRST_INTERVAL_MS;
  let nextAtMs = 0;
  let queryCount = 0;
  /** Version of the last response of each queried peer, for its incarnation. */
  const lastVersions = new Map<
    Types.InstanceId,
    { readonly incarnation: string; readonly version: number }
  >();

  function lengthenInterval(): void {
    const isLargeFleet = args.getMemberCount() > Mesh.FULL_MESH_MEMBERS;
    const maxIntervalMs = isLargeFleet
      ? LARGE_FLEET_MAX_INTERVAL_MS
      : MAX_INTERVAL_MS;
    intervalMs = Math.min(intervalMs * 2, maxIntervalMs);
  }

  /**
   * Returns the next peer in rotation. Each instance ranks the peers
   * differently, which spreads the load.
   */
  function tryChoosePeer(): Connection.Connection | undefined {
    const connections = args.getConnections();
    const ids = connections.map((conn) => conn.remote.id);
    const rankedIds = Rendezvous.rank(`discovery ${args.self}`, ids);
    const candidateCount = Math.min(QUERIED_PEERS, rankedIds.length);
    const id = rankedIds[queryCount % candidateCount];
    return connections.find((conn) => conn.remote.id === id);
  }

  async function queryMembers(): Promise<void> {
    if (clock.nowMs() < nextAtMs) return;
    const conn = tryChoosePeer();
    if (conn === undefined) return;
    queryCount++;
    const { id, incarnation } = conn.remote;
    const lastVersion = lastVersions.get(id);
    const isSameIncarnation = lastVersion?.incarnation === incarnation;
    const params = { version: isSameIncarnation ? lastVersion.version : 0 };
    const requestedAtMs = clock.nowMs();
    const res = await conn.call("members.list", params, CALL_TIMEOUT_MS);
    const changes = res.isOk() ? Listing.tryReadChanges(res.value) : undefined;
    if (changes !== undefined) {
      lastVersions.set(id, { incarnation, version: changes.version });
      args.onChanges(changes, requestedAtMs);
      lengthenInterval();
    }
    nextAtMs = clock.nowMs() + intervalMs * (0.5 + Math.random());
  }

  args.supervisor.every(
    "peer-discovery",
    () => Math.max(CHECK_INTERVAL_MS, nextAtMs - clock.nowMs()),
    queryMembers,
  );
}
