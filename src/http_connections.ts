/**
 * Connections of an HTTP server, and how it stops without interrupting requests.
 * Load pattern: callers whose list of instances is a few seconds old open new
 * connections until the server stops to listen.
 */
import type * as Http from "node:http";
import * as Net from "node:net";

/** Longest time for which a server that stops still accepts the connections that the kernel holds. */
const MAX_ACCEPT_DRAIN_MS = 1_000;
/** Smallest backlog of a listening socket; the kernel accepts one connection ahead with it. */
const MIN_BACKLOG = 0;
/** In an iteration of the event loop that is shorter, hardly any connection arrives after the check for new ones. */
const SHORT_ITERATION_MS = 2;
/** Time for which a connection that was accepted before the stop may send its first request. */
const FIRST_REQUEST_MS = 1_000;

/** The connections of one server. */
export interface HttpConnections {
  /** Number of requests whose response is not complete. */
  getInFlight(): number;
  /** Number of connections on which a request is running or the first one may still arrive. */
  getBusyCount(): number;
  /**
   * Stops accepting connections and closes idle ones. A connection that was accepted
   * and has not sent a request yet stays open for a second: its request may already
   * be on the way. Resolves when no connection is accepted any more; `onClosed` is
   * called when all have closed.
   */
  stop(onClosed?: () => void): Promise<void>;
}

interface ConnectionState {
  /** Monotonic ms. */
  readonly acceptedAtMs: number;
  /** Requests read so far. */
  requestCount: number;
  /** Requests whose response is not complete. */
  inFlight: number;
}

/** The part of Node's handle of a listening socket that is used here; Node has no public interface for it. */
interface ListenHandle {
  /** Sets the number of connections that the kernel accepts ahead of the process. */
  readonly listen: (backlog: number) => number;
}

/**
 * Lets the kernel accept hardly any connection ahead of the process, so that the ones
 * that it holds can be accepted faster than others arrive. Callers whose connection
 * it doesn't accept any more find it refused when the server has stopped to listen.
 */
function shrinkAcceptQueue(server: Net.Server): void {
  const { _handle: handle } = server as { _handle?: Partial<ListenHandle> };
  handle?.listen?.(MIN_BACKLOG);
}

/** How late the first request of a connection was read. */
export interface FirstRead {
  /** Time in ms between accepting the connection and reading its request. */
  readonly readMs: number;
  /**
   * Time in ms for which each iteration of the event loop accepted a connection.
   * An iteration accepts one, so the kernel may have held this one for that long.
   */
  readonly acceptMs: number;
}

/**
 * Tracks the connections of a server. `onFirstRead` is called when the first request
 * of a connection was read, before that is handled.
 */
export function trackConnections(
  server: Http.Server,
  onFirstRead: (read: FirstRead) => void = () => {},
): HttpConnections {
  const connections = new Map<Net.Socket, ConnectionState>();
  /** Consecutive iterations of the event loop that each accepted a connection. */
  let acceptRun: { readonly sinceMs: number; hasAccepted: boolean } | undefined;
  /** Connections accepted and responses completed; callers often follow a response by a new connection. */
  let activityCount = 0;
  let inFlight = 0;

  /** Ends the run after an iteration that accepted no connection. */
  function continueAcceptRun(): void {
    if (acceptRun?.hasAccepted !== true) {
      acceptRun = undefined;
      return;
    }
    acceptRun.hasAccepted = false;
    setImmediate(continueAcceptRun);
  }

  function recordAccept(acceptedAtMs: number): void {
    if (acceptRun !== undefined) {
      acceptRun.hasAccepted = true;
      return;
    }
    acceptRun = { sinceMs: acceptedAtMs, hasAccepted: true };
    setImmediate(continueAcceptRun);
  }

  server.on("connection", (socket: Net.Socket) => {
    const acceptedAtMs = performance.now();
    recordAccept(acceptedAtMs);
    activityCount++;
    const conn = { acceptedAtMs, requestCount: 0, inFlight: 0 };
    connections.set(socket, conn);
    socket.once("close", () => {
      connections.delete(socket);
      // In a pipeline only the first response closes with the connection.
      inFlight -= conn.inFlight;
      conn.inFlight = 0;
    });
  });

  server.prependListener("request", ({ socket }, res) => {
    const conn = connections.get(socket);
    if (conn?.requestCount === 0) {
      const { acceptedAtMs } = conn;
      onFirstRead({
        readMs: performance.now() - acceptedAtMs,
        acceptMs: acceptedAtMs - (acceptRun?.sinceMs ?? acceptedAtMs),
      });
    }
    if (conn !== undefined) {
      conn.requestCount++;
      conn.inFlight++;
      inFlight++;
    }
    res.once("close", () => {
      activityCount++;
      if (conn === undefined || conn.inFlight === 0) return;
      conn.inFlight--;
      inFlight--;
    });
  });

  function closeIdle(isFirstRequestAwaited: boolean): void {
    for (const [socket, conn] of connections) {
      const isAwaited = isFirstRequestAwaited && conn.requestCount === 0;
      if (conn.inFlight === 0 && !isAwaited) socket.destroy();
    }
  }

  /**
   * Resolves after a short iteration of the event loop without a new connection or a
   * completed response, and so with none that the kernel accepted for this server.
   * An iteration accepts one connection.
   */
  async function drainAcceptQueue(): Promise<void> {
    const untilMs = performance.now() + MAX_ACCEPT_DRAIN_MS;
    const endIteration = () =>
      new Promise<void>((resolve) => setImmediate(resolve));
    // The current iteration may have looked for connections before.
    await endIteration();
    for (;;) {
      const activityBefore = activityCount;
      const startedAtMs = performance.now();
      await endIteration();
      const endedAtMs = performance.now();
      const isQueueEmpty = activityCount === activityBefore &&
        endedAtMs - startedAtMs < SHORT_ITERATION_MS;
      if (isQueueEmpty || endedAtMs > untilMs) return;
    }
  }

  return {
    getInFlight: () => inFlight,
    getBusyCount: () =>
      [...connections.values()].filter((conn) =>
        conn.inFlight > 0 || conn.requestCount === 0
      ).length,
    async stop(onClosed) {
      // The connections that the kernel has accepted are reset when it stops to listen.
      shrinkAcceptQueue(server);
      await drainAcceptQueue();
      // The method of the HTTP server would also close connections without a request.
      Net.Server.prototype.close.call(server, onClosed);
      closeIdle(true);
      setTimeout(() => closeIdle(false), FIRST_REQUEST_MS).unref();
    },
  };
}
