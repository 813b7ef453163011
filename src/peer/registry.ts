/**
 * Open connections to peers. Two peers may connect to each other at the same
 * time; both ends then choose the same connection, and the other one is closed
 * by its initiator once no call uses it.
 */
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import type * as Connection from "./connection.ts";

/**
 * Ticks after which a spare connection is closed when idle. By then both ends
 * have known the chosen one for longer than a round trip and use it.
 */
const SPARE_IDLE_TICKS = 4;
/** Ticks after which the accepting end closes a spare connection, should its initiator not. */
const SPARE_MAX_TICKS = 60;

/** The open connections. */
export interface Registry {
  /** False when the connection must not be used; it is closed then. */
  add(conn: Connection.Connection): boolean;
  remove(conn: Connection.Connection): void;
  /** The connection to send on. */
  tryGet(id: Types.InstanceId): Connection.Connection | undefined;
  /** All connections, spare ones included. */
  getAll(): readonly Connection.Connection[];
  /** The chosen connection of each connected peer. */
  getChosen(): readonly Connection.Connection[];
  /** Bytes of all connections since the start. */
  getBytes(): { readonly received: number; readonly sent: number };
  /** Closes connections without data for `maxSilentTicks`, and spare ones. */
  tick(maxSilentTicks: number): void;
}

/** True when `a` is chosen over `b`; both ends get the same answer. */
function isPreferred(
  self: Types.InstanceId,
  a: Connection.Connection,
  b: Connection.Connection,
): boolean {
  if (a.isInitiator !== b.isInitiator) {
    // The connection that the smaller id opened.
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
  const spareTicks = new Map<Connection.Connection, number>();

  function isOwn(conn: Connection.Connection): boolean {
    if (conn.remote.id !== self) return false;
    if (conn.remote.incarnation !== incarnation) {
      log.error("duplicate-instance-id", { id: self });
    }
    conn.close("own id");
    return true;
  }

  /** The latest handshake shows which incarnation runs now. */
  function dropOldIncarnations(conn: Connection.Connection): void {
    for (const old of byId.get(conn.remote.id) ?? []) {
      if (old.remote.incarnation === conn.remote.incarnation) continue;
      log.warn("peer-replaced", {
        peer: old.remote.id,
        incarnation: conn.remote.incarnation,
      });
      old.close("replaced by a new incarnation");
      remove(old);
    }
  }

  function remove(conn: Connection.Connection): void {
    const { id } = conn.remote;
    const all = byId.get(id) ?? [];
    const left = all.filter((one) => one !== conn);
    spareTicks.delete(conn);
    if (left.length === all.length) return;
    closedBytes.received += conn.getBytes().received;
    closedBytes.sent += conn.getBytes().sent;
    if (left.length === 0) byId.delete(id);
    else byId.set(id, left);
  }

  function tickSpare(conn: Connection.Connection): void {
    const ticks = (spareTicks.get(conn) ?? 0) + 1;
    spareTicks.set(conn, ticks);
    const isUnused = ticks >= SPARE_IDLE_TICKS && conn.isIdle();
    const isDue = conn.isInitiator ? isUnused : ticks >= SPARE_MAX_TICKS;
    if (isDue) conn.close("spare connection");
  }

  return {
    add(conn) {
      if (isOwn(conn) || conn.isClosed()) return false;
      dropOldIncarnations(conn);
      const { id } = conn.remote;
      const all = [conn, ...(byId.get(id) ?? [])];
      all.sort((a, b) => isPreferred(self, a, b) ? -1 : 1);
      byId.set(id, all);
      return true;
    },
    remove,
    tryGet: (id) => byId.get(id)?.[0],
    getAll: () => [...byId.values()].flat(),
    getChosen: () =>
      [...byId.values()].flatMap((all) => all[0] === undefined ? [] : [all[0]]),
    getBytes() {
      const sum = { ...closedBytes };
      for (const conn of [...byId.values()].flat()) {
        sum.received += conn.getBytes().received;
        sum.sent += conn.getBytes().sent;
      }
      return sum;
    },
    tick(maxSilentTicks) {
      for (const all of [...byId.values()]) {
        for (const [index, conn] of all.entries()) {
          const silent = conn.countSilentTick();
          if (silent >= maxSilentTicks) conn.close("silent");
          else if (index > 0) tickSpare(conn);
        }
      }
    },
  };
}
