/**
 * Pool of connections to targets, each with one exchange at a time. A connection is
 * reused only after a complete response to its own request; any other event on it
 * destroys it. An undici client is not allowed to connect a second time, because it
 * would then send a request again without the gateway's knowledge.
 *
 * A connection on which a request was rejected, or failed, never carries it again. A
 * target may write its response once more, and only the id of the request tells that
 * copy from the response to a later exchange. All sends of a request have the same id.
 */
import * as Net from "node:net";
import type * as Undici from "undici";
import Client from "undici/lib/dispatcher/client.js";
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import * as OverheadGuard from "../overhead_guard.ts";
import * as ResponseGuard from "../response_guard.ts";
import * as Wire from "../peer/wire.ts";
import type * as Cancellation from "./cancellation.ts";

/** Connections are closed this long before the keep-alive time that their target states. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Keep-alive time for targets that state none; well below the 5 s of common servers. */
const DEFAULT_KEEP_ALIVE_MS = 4_000;
/** After a target sent bytes that belong to no request, its connections carry one exchange each for this time. */
const REUSE_SUSPENSION_MS = 10_000;
/** A connection on which this many requests were rejected is closed, which bounds their ids. */
const MAX_REJECTED_IDS = 64;
const CONNECTION_CLOSED = new Error("connection is closed");
const EXCESS_BYTES = new Error("target sends bytes that are no response");

/** A connection to a target that carries one exchange at a time. */
export interface TargetConnection {
  readonly address: Types.Address;
  readonly client: Undici.Client;
  readonly socket: Net.Socket;
  /** Exchanges that were started on the connection. */
  exchangeCount: number;
  /** Monotonic ms at which the last exchange ended. */
  idleSinceMs: number;
  /** True after a reset or another error; a response that ends with the connection is then incomplete. */
  hasFailed: boolean;
  /** True while an exchange uses the connection. */
  isBusy: boolean;
  /** Ids of the requests that may be sent again, but not on this connection. */
  readonly rejectedIds: Set<string>;
  readonly overhead: OverheadGuard.OverheadGuard;
  /** Begins the check of the response to the next request. */
  readonly startResponse: () => void;
}

/** A connection could not be opened, so no byte of a request was sent. */
export interface ConnectFailure {
  readonly reason: string;
  /** The address is reachable, but no process listens there or it accepts no more connections. */
  readonly isRefused: boolean;
}

/** Pool of connections to all targets. */
export interface Connections {
  /**
   * Removes and returns an idle connection that was used at most `maxIdleMs` ago and on
   * which the request was not rejected; undefined if there is none.
   */
  tryAcquireIdle(
    address: Types.Address,
    maxIdleMs: number,
    requestId: string | undefined,
  ): TargetConnection | undefined;
  /** Opens a connection; resolves with a failure after `timeoutMs` or a cancellation. */
  open(
    address: Types.Address,
    timeoutMs: number,
    cancellation: Cancellation.Cancellation,
  ): Promise<TargetConnection | ConnectFailure>;
  /**
   * Keeps the connection for reuse, unless reuse is suspended for its target. The
   * request `rejectedId` gets another connection when it is sent again.
   */
  release(conn: TargetConnection, rejectedId?: string): void;
  /** Closes the connection immediately. */
  destroy(conn: TargetConnection): void;
  /** Returns a check whether any of the connections to the address that are open now is still open. */
  observe(address: Types.Address): () => boolean;
  /** Closes idle connections of a target that sent bytes that belong to no request, and suspends their reuse. */
  suspendReuse(address: Types.Address): void;
  /** Closes the idle connections of an address whose target was removed. */
  removeTarget(address: Types.Address): void;
  /** Connections opened since the start, and idle ones now. */
  getCounts(): { readonly opened: number; readonly idle: number };
  /** Closes all connections. */
  close(): void;
}

/** True if `open` failed. */
export function isConnectFailure(
  result: TargetConnection | ConnectFailure,
): result is ConnectFailure {
  return "reason" in result;
}

function isOpen({ socket }: TargetConnection): boolean {
  return !socket.destroyed && !socket.readableEnded;
}

/** Creates an empty pool. `localAddress` is the source IP of new connections. */
export function createConnections(opts: {
  readonly clock: Clock.Clock;
  readonly localAddress?: string | undefined;
  /** Receives the first bytes of each invalid response. */
  readonly onInvalidResponse?: (
    address: Types.Address,
    firstBytes: string,
  ) => void;
}): Connections {
  const { clock } = opts;
  /** Idle connections of each address, the last used one at the end. */
  const idleByAddress = new Map<Types.Address, TargetConnection[]>();
  const reuseSuspendedUntilMs = new Map<Types.Address, number>();
  const openConnections = new Set<TargetConnection>();
  let openedCount = 0;

  function removeIdle(conn: TargetConnection): void {
    const idle = idleByAddress.get(conn.address);
    const index = idle?.indexOf(conn) ?? -1;
    if (idle === undefined || index < 0) return;
    idle.splice(index, 1);
    if (idle.length === 0) idleByAddress.delete(conn.address);
  }

  function destroy(conn: TargetConnection): void {
    removeIdle(conn);
    openConnections.delete(conn);
    void conn.client.destroy(CONNECTION_CLOSED);
    conn.socket.destroy();
  }

  /** Removes the connection from the pool when its socket closes. */
  function removeOnClose(conn: TargetConnection): void {
    conn.socket.once("close", () => {
      removeIdle(conn);
      openConnections.delete(conn);
    });
  }

  /**
   * Detects a reset that closely follows the last bytes, which a read reports as an
   * ordinary end. Only a write tells them apart; HTTP ignores an empty line between
   * requests.
   */
  function watchForReset(conn: TargetConnection): void {
    const { socket } = conn;
    socket.on("error", () => conn.hasFailed = true);
    socket.once("end", () => {
      if (!conn.isBusy) return;
      socket.write("\r\n");
      if (socket.errored !== null) conn.hasFailed = true;
    });
  }

  function createClient(
    address: Types.Address,
    socket: Net.Socket,
  ): Undici.Client {
    let hasConnected = false;
    return new Client(`http://${address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      keepAliveMaxTimeout: 600_000,
      connect(_opts, callback) {
        if (hasConnected) return callback(CONNECTION_CLOSED, null);
        hasConnected = true;
        // undici stops sending if the callback runs before `connect` has returned.
        queueMicrotask(() => callback(null, socket));
      },
    });
  }

  function connect(
    address: Types.Address,
    timeoutMs: number,
    cancellation: Cancellation.Cancellation,
  ): Promise<Net.Socket | ConnectFailure> {
    const parsed = Wire.tryParseAddress(address);
    if (parsed === undefined) {
      const reason = `malformed address ${address}`;
      return Promise.resolve({ reason, isRefused: false });
    }
    return new Promise((resolve) => {
      const socket = Net.connect({
        ...parsed,
        noDelay: true,
        // Lets `watchForReset` write after the target has ended its side.
        allowHalfOpen: true,
        ...(opts.localAddress === undefined
          ? {}
          : { localAddress: opts.localAddress }),
      });
      const timer = setTimeout(() => fail("connect timeout", false), timeoutMs);
      const onCancel = () => fail("cancelled", false);

      function settle(value: Net.Socket | ConnectFailure): void {
        clearTimeout(timer);
        cancellation.removeListener(onCancel);
        resolve(value);
      }
      function fail(reason: string, isRefused: boolean): void {
        socket.on("error", () => {}).destroy();
        settle({ reason, isRefused });
      }
      cancellation.addListener(onCancel);
      socket.once("error", (err: NodeJS.ErrnoException) => {
        const isRefused = err.code === "ECONNREFUSED" ||
          err.code === "ECONNRESET";
        fail(err.code ?? err.message, isRefused);
      });
      socket.once("connect", () => settle(socket));
    });
  }

  return {
    tryAcquireIdle(address, maxIdleMs, requestId) {
      const idle = idleByAddress.get(address) ?? [];
      const index = idle.findLastIndex(({ rejectedIds }) =>
        requestId === undefined || !rejectedIds.has(requestId)
      );
      const conn = idle[index];
      if (conn === undefined) return undefined;
      if (clock.nowMs() - conn.idleSinceMs > maxIdleMs) return undefined;
      idle.splice(index, 1);
      if (idle.length === 0) idleByAddress.delete(address);
      return conn;
    },
    async open(address, timeoutMs, cancellation) {
      const socket = await connect(address, timeoutMs, cancellation);
      if ("reason" in socket) return socket;
      openedCount++;
      const conn: TargetConnection = {
        address,
        client: createClient(address, socket),
        socket,
        exchangeCount: 0,
        idleSinceMs: clock.nowMs(),
        hasFailed: false,
        isBusy: false,
        rejectedIds: new Set(),
        overhead: OverheadGuard.watchOverhead(
          socket,
          () => socket.destroy(EXCESS_BYTES),
        ),
        startResponse: ResponseGuard.watchResponses(
          socket,
          (firstBytes) => opts.onInvalidResponse?.(address, firstBytes),
        ),
      };
      watchForReset(conn);
      openConnections.add(conn);
      removeOnClose(conn);
      return conn;
    },
    release(conn, rejectedId) {
      const isReuseSuspended =
        (reuseSuspendedUntilMs.get(conn.address) ?? -Infinity) > clock.nowMs();
      if (rejectedId !== undefined) conn.rejectedIds.add(rejectedId);
      const isUsedUp = conn.rejectedIds.size >= MAX_REJECTED_IDS;
      // The rest of a request whose response came early must not go ahead of the next one.
      const isSending = conn.socket.writableLength > 0;
      if (conn.socket.destroyed || isSending || isReuseSuspended || isUsedUp) {
        return destroy(conn);
      }
      conn.idleSinceMs = clock.nowMs();
      const idle = idleByAddress.get(conn.address);
      if (idle === undefined) idleByAddress.set(conn.address, [conn]);
      else idle.push(conn);
    },
    destroy,
    observe(address) {
      const observed = [...openConnections].filter((conn) =>
        conn.address === address && isOpen(conn)
      );
      return () => observed.some(isOpen);
    },
    suspendReuse(address) {
      reuseSuspendedUntilMs.set(address, clock.nowMs() + REUSE_SUSPENSION_MS);
      for (const conn of [...(idleByAddress.get(address) ?? [])]) destroy(conn);
    },
    removeTarget(address) {
      for (const conn of [...(idleByAddress.get(address) ?? [])]) destroy(conn);
      reuseSuspendedUntilMs.delete(address);
    },
    getCounts() {
      let idleCount = 0;
      for (const idle of idleByAddress.values()) idleCount += idle.length;
      return { opened: openedCount, idle: idleCount };
    },
    close() {
      for (const conn of [...openConnections]) destroy(conn);
    },
  };
}
