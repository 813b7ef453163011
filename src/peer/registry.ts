/**
 * Open connections to peers. If two peers connect to each other at the same
 * time, both ends prefer the same connection. The duplicate is closed by its
 * initiator once no call uses it.
 */
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import type * as Connection from "./connection.ts";

/**
 * Ticks after which the initiator closes an idle duplicate. By then both ends
 * have had the preferred connection for longer than a round trip and use it.
 */
const DUPLICATE_IDLE_TICKS = 4;
/** Ticks after which the accepting end closes a duplicate that its initiator did not close. */
const DUPLICATE_MAX_TICKS = 60;

/** The open connections to peers, by instance. */
export interface Registry {
  /**
   * Adds a connection. Closes it and returns false if it must not be used,
   * for example because it leads to this instance.
   */
  add(conn: Connection.Connection): boolean;
  remove(conn: Connection.Connection): void;
  /** Returns the preferred connection, on which messages to the instance are sent. */
  tryGet(id: Types.InstanceId): Connection.Connection | undefined;
  /** All connections, duplicates included. */
  getAll(): readonly Connection.Connection[];
  /** The preferred connection of each connected peer. */
  getPreferred(): readonly Connection.Connection[];
  /** Bytes of all connections since the registry was created, closed ones included. */
  getBytes(): { readonly received: number; readonly sent: number };
  /**
   * Called once per tick; closes connections without data for
   * `maxTicksWithoutData` ticks, and duplicates.
   */
  closeStale(maxTicksWithoutData: number): void;
}

/** True if `a` is preferred to `b`; both ends compute the same result. */
function isPreferred(
  self: Types.InstanceId,
  a: Connection.Connection,
  b: Connection.Connection,
): boolean {
  if (a.isInitiator !== b.isInitiator) {
    // The connection opened by the instance with the smaller id is preferred.
    return a.isInitiator === (self < a.remote.id);
  }
  return a.seq > b.seq;
}

/** Creates an empty registry. */
export function createRegistry(
  self: Types.InstanceId,
  incarnation: string,
  log: Log.Logger,
): Registry {
  const byId = new Map<Types.InstanceId, readonly Connection.Connection[]>();
  const closedBytes = { received: 0, sent: 0 };
  const duplicateTicks = new Map<Connection.Connection, number>();

  /** Closes the connection and returns true if it leads to this instance. */
  function tryCloseSelfConnection(conn: Connection.Connection): boolean {
    if (conn.remote.id !== self) return false;
    if (conn.remote.incarnation !== incarnation) {
      log.error("duplicate-instance-id", { id: self });
    }
    conn.close("own id");
    return true;
  }

  /**
   * Closes the connections of other incarnations, as the latest handshake
   * identifies the running one.
   */
  function closeOldIncarnations(conn: Connection.Connection): void {
    for (const existing of byId.get(conn.remote.id) ?? []) {
      if (existing.remote.incarnation === conn.remote.incarnation) continue;
      log.warn("peer-replaced", {
        peer: existing.remote.id,
        incarnation: conn.remote.incarnation,
      });
      existing.close("replaced by a new incarnation");
      remove(existing);
    }
  }

  function remove(conn: Connection.Connection): void {
    const { id } = conn.remote;
    const connections = byId.get(id) ?? [];
    const remaining = connections.filter((connection) => connection !== conn);
    duplicateTicks.delete(conn);
    if (remaining.length === connections.length) return;
    closedBytes.received += conn.getBytes().received;
    closedBytes.sent += conn.getBytes().sent;
    if (remaining.length === 0) byId.delete(id);
    else byId.set(id, remaining);
  }

  function tickDuplicate(conn: Connection.Connection): void {
    const ticks = (duplicateTicks.get(conn) ?? 0) + 1;
    duplicateTicks.set(conn, ticks);
    const canInitiatorClose = ticks >= DUPLICATE_IDLE_TICKS && conn.isIdle();
    const canClose = conn.isInitiator
      ? canInitiatorClose
      : ticks >= DUPLICATE_MAX_TICKS;
    if (canClose) conn.close("spare connection");
  }

  return {
    add(conn) {
      if (tryCloseSelfConnection(conn) || conn.isClosed()) return false;
      closeOldIncarnations(conn);
      const { id } = conn.remote;
      const connections = [conn, ...(byId.get(id) ?? [])];
      connections.sort((a, b) => isPreferred(self, a, b) ? -1 : 1);
      byId.set(id, connections);
      return true;
    },
    remove,
    tryGet: (id) => byId.get(id)?.[0],
    getAll: () => [...byId.values()].flat(),
    getPreferred: () =>
      [...byId.values()].flatMap((connections) =>
        connections[0] === undefined ? [] : [connections[0]]
      ),
    getBytes() {
      const sum = { ...closedBytes };
      for (const conn of [...byId.values()].flat()) {
        sum.received += conn.getBytes().received;
        sum.sent += conn.getBytes().sent;
      }
      return sum;
    },
    closeStale(maxTicksWithoutData) {
      for (const connections of [...byId.values()]) {
        for (const [index, conn] of connections.entries()) {
          const ticksWithoutData = conn.countTickWithoutData();
          if (ticksWithoutData >= maxTicksWithoutData) conn.close("silent");
          else if (index > 0) tickDuplicate(conn);
        }
      }
    },
  };
}
