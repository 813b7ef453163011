/**
 * Connections to targets that are opened ahead of requests. Guarantees: each
 * connection carries at most one exchange; a connection on which an event occurred
 * before its request is discarded; a target has at most as many idle connections
 * as its limit.
 *
 * Limitation: a target may write to or close an idle connection while the request
 * is in transit. Only requests that may be repeated therefore use idle
 * connections. After an event on an idle connection, no connection to that target
 * is opened ahead for `TARGET_PAUSE_MS`.
 */
import type * as Net from "node:net";
import * as Undici from "undici";
import * as Clock from "../clock.ts";
import type * as Types from "../types.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Well below the timeout of servers for connections without a request (5 s and
 * more), and below the 3 s within which a change of a target's state is known.
 */
const MAX_IDLE_MS = 2_000;
const SWEEP_MS = 250;
/** Limits the requests that are lost when a target closes idle connections early. */
const TARGET_PAUSE_MS = 60_000;
/** Limit for all targets together, so that file descriptors do not run out. */
const MAX_CONNECTIONS = 512;

type Connector = Undici.buildConnector.connector;

/** Opens connections to targets, on demand or ahead of requests. */
export interface Preconnector {
  /** Opens a connection for one exchange. */
  readonly connect: Connector;
  /** Returns a connector that uses an idle connection to the target, after calling `onPreconnected`, or else opens one. */
  createConnector(
    address: Types.Address,
    onPreconnected: () => void,
  ): Connector;
  /** Opens an idle connection unless the target has `getLimit()` of them; the limit is read again at each sweep. */
  open(address: Types.Address, getLimit: () => number): void;
  /** Number of connections that are idle or being opened. */
  getConnectionCount(): number;
  /** Closes idle connections and those being opened; none are opened ahead afterwards. */
  close(): void;
}

/** Options of a preconnector. */
export interface PreconnectorOptions {
  /** Source IP address of connections. */
  readonly localAddress?: string | undefined;
  readonly clock?: Clock.Clock;
}

/** An open connection that has not carried a request. */
interface IdleConnection {
  readonly socket: Net.Socket;
  readonly openedAtMs: number;
  readonly removeListeners: () => void;
}

/** Idle connections to one target, and those being opened. */
interface TargetConnections {
  getLimit: () => number;
  pausedUntilMs: number;
  readonly opening: Set<Net.Socket>;
  /** Oldest first. */
  readonly idle: IdleConnection[];
}

/** Calls `onEvent` at each event on the connection, until the returned function removes the listeners. */
function addEventListeners(
  socket: Net.Socket,
  onEvent: () => void,
): () => void {
  // A listener for "readable" makes Node read from the socket; without reading, no event occurs.
  const eventNames = ["readable", "end", "close", "error"] as const;
  for (const eventName of eventNames) socket.on(eventName, onEvent);
  return () =>
    eventNames.forEach((eventName) => void socket.off(eventName, onEvent));
}

function destroy(socket: Net.Socket): void {
  socket.on("error", () => {}).destroy();
}

/** Creates a preconnector without connections. */
export function createPreconnector(opts: PreconnectorOptions): Preconnector {
  const clock = opts.clock ?? Clock.systemClock;
  const connect = Undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const targets = new Map<Types.Address, TargetConnections>();
  let isClosed = false;

  const sweepTimer = setInterval(closeUnneeded, SWEEP_MS);
  sweepTimer.unref();

  function getConnectionCount(): number {
    let count = 0;
    for (const { opening, idle } of targets.values()) {
      count += opening.size + idle.length;
    }
    return count;
  }

  function discard({ socket, removeListeners }: IdleConnection): void {
    removeListeners();
    destroy(socket);
  }

  function isExpired({ openedAtMs }: IdleConnection): boolean {
    return clock.nowMs() - openedAtMs >= MAX_IDLE_MS;
  }

  /** Closes connections that have expired or exceed the limit, which is 0 for a leaving target. */
  function closeUnneeded(): void {
    for (const [address, target] of targets) {
      const { opening, idle } = target;
      const limit = target.getLimit();
      while (idle[0] !== undefined) {
        if (!isExpired(idle[0]) && idle.length <= limit) break;
        discard(idle.shift()!);
      }
      const hasNoConnections = opening.size + idle.length === 0;
      if (hasNoConnections && clock.nowMs() >= target.pausedUntilMs) {
        targets.delete(address);
      }
    }
  }

  function pause(target: TargetConnections): void {
    target.pausedUntilMs = clock.nowMs() + TARGET_PAUSE_MS;
    for (const connection of target.idle.splice(0)) discard(connection);
  }

  function addIdle(target: TargetConnections, socket: Net.Socket): void {
    const removeListeners = addEventListeners(socket, () => {
      const index = target.idle.findIndex((connection) =>
        connection.socket === socket
      );
      if (index >= 0) target.idle.splice(index, 1);
      removeListeners();
      destroy(socket);
      pause(target);
    });
    target.idle.push({ socket, removeListeners, openedAtMs: clock.nowMs() });
  }

  function getTarget(
    address: Types.Address,
    getLimit: () => number,
  ): TargetConnections {
    const existing = targets.get(address);
    if (existing !== undefined) {
      existing.getLimit = getLimit;
      return existing;
    }
    const target: TargetConnections = {
      getLimit,
      pausedUntilMs: -Infinity,
      opening: new Set(),
      idle: [],
    };
    targets.set(address, target);
    return target;
  }

  function open(address: Types.Address, getLimit: () => number): void {
    if (isClosed || getConnectionCount() >= MAX_CONNECTIONS) return;
    const target = getTarget(address, getLimit);
    if (clock.nowMs() < target.pausedUntilMs) return;
    const { opening, idle } = target;
    if (opening.size + idle.length >= getLimit()) return;
    const { hostname, port, host, protocol } = new URL(`http://${address}`);
    const { localAddress } = opts;
    // Removes the brackets that an IPv6 address has only in a URL.
    const ip = hostname.replace(/^\[|\]$/g, "");
    const params = { hostname: ip, port, host, protocol, localAddress };
    // undici returns the socket before it is connected, which its types do not show.
    const socket = connect(
      params as unknown as Undici.buildConnector.Options,
      (...[err]) => {
        opening.delete(socket);
        if (err !== null) pause(target);
        else if (isClosed || getLimit() === 0) destroy(socket);
        else addIdle(target, socket);
      },
    ) as unknown as Net.Socket;
    opening.add(socket);
  }

  /** Removes and returns the newest idle connection, which expires last; discards expired ones. */
  function tryAcquireIdle(address: Types.Address): IdleConnection | undefined {
    const idle = targets.get(address)?.idle ?? [];
    for (;;) {
      const connection = idle.pop();
      if (connection === undefined || !isExpired(connection)) return connection;
      discard(connection);
    }
  }

  function createConnector(
    address: Types.Address,
    onPreconnected: () => void,
  ): Connector {
    return (params, callback) => {
      const connection = tryAcquireIdle(address);
      if (connection === undefined) return connect(params, callback);
      const useConnection = () => {
        if (connection.socket.destroyed) return connect(params, callback);
        onPreconnected();
        callback(null, connection.socket);
        connection.removeListeners();
      };
      // Bytes that the operating system has already received are reported by the
      // event loop's next poll, which runs between two immediates.
      setImmediate(() => setImmediate(useConnection));
    };
  }

  return {
    connect,
    createConnector,
    open,
    getConnectionCount,
    close() {
      isClosed = true;
      clearInterval(sweepTimer);
      for (const { opening, idle } of targets.values()) {
        for (const socket of opening) destroy(socket);
        for (const connection of idle.splice(0)) discard(connection);
      }
      targets.clear();
    },
  };
}
