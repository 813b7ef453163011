/**
 * Kept connections to targets: one exchange at a time on each. A connection is
 * kept only after a whole answer to its own request; anything else that happens
 * on it destroys it. A client is never allowed to connect a second time, so
 * that no request is sent again behind the gateway's back.
 */
import * as Net from "node:net";
import type * as Undici from "undici";
import Client from "undici/lib/dispatcher/client.js";
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import * as Wire from "../peer/wire.ts";
import type * as Cancellation from "./cancellation.ts";

/** Targets close idle connections after seconds that they name; this much earlier none is used. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** For targets that name no time; well below the 5 s of common servers. */
const DEFAULT_KEEP_ALIVE_MS = 4_000;
/** After bytes that nobody asked for, a target's connections carry one exchange each for this time. */
const DISTRUST_MS = 10_000;
const CONNECTION_ENDED = new Error("the connection has ended");

/** A connection to a target that carries one exchange at a time. */
export interface TargetConnection {
  readonly address: Types.Address;
  readonly client: Undici.Client;
  readonly socket: Net.Socket;
  /** Exchanges that it has carried. */
  exchanges: number;
  /** Monotonic ms at which its last exchange ended. */
  idleSinceMs: number;
  /** The connection was reset or failed: an answer that ends with it is not whole. */
  hasFailed: boolean;
  /** An exchange is on it. */
  isBusy: boolean;
}

/** Opening a connection failed: no byte of a request left. */
export interface ConnectFailure {
  readonly reason: string;
  /** The address answers, but nothing listens there or it accepts no more connections. */
  readonly isRefused: boolean;
}

/** Connections to all targets. */
export interface Connections {
  /** An idle connection that was used at most `maxIdleMs` ago. */
  tryTakeIdle(
    address: Types.Address,
    maxIdleMs: number,
  ): TargetConnection | undefined;
  open(
    address: Types.Address,
    timeoutMs: number,
    cancellation: Cancellation.Cancellation,
  ): Promise<TargetConnection | ConnectFailure>;
  /** Keeps the connection for the next request, unless its target is distrusted. */
  giveBack(conn: TargetConnection): void;
  /** Ends the connection at once. */
  destroy(conn: TargetConnection): void;
  /** The target sent bytes that belong to no request. */
  distrust(address: Types.Address): void;
  /** Ends the idle connections of an address, whose target is gone. */
  removeTarget(address: Types.Address): void;
  getCounts(): { readonly opened: number; readonly idle: number };
  close(): void;
}

/** True for the failure half of `open`. */
export function isConnectFailure(
  one: TargetConnection | ConnectFailure,
): one is ConnectFailure {
  return "reason" in one;
}

/** Creates the owner of connections. `localAddress` is the source IP. */
export function createConnections(opts: {
  readonly clock: Clock.Clock;
  readonly localAddress?: string | undefined;
}): Connections {
  const { clock } = opts;
  /** Idle connections of each address, last used last. */
  const idle = new Map<Types.Address, TargetConnection[]>();
  const distrustedUntilMs = new Map<Types.Address, number>();
  const all = new Set<TargetConnection>();
  let opened = 0;

  function removeIdle(conn: TargetConnection): void {
    const list = idle.get(conn.address);
    const at = list?.indexOf(conn) ?? -1;
    if (list === undefined || at < 0) return;
    list.splice(at, 1);
    if (list.length === 0) idle.delete(conn.address);
  }

  function destroy(conn: TargetConnection): void {
    removeIdle(conn);
    all.delete(conn);
    void conn.client.destroy(CONNECTION_ENDED);
    conn.socket.destroy();
  }

  /** A connection that ends, or gets bytes, while no exchange is on it. */
  function watchIdle(conn: TargetConnection): void {
    conn.socket.once("close", () => {
      removeIdle(conn);
      all.delete(conn);
    });
  }

  /**
   * A reset that follows the last bytes closely is read as an ordinary end. Only a
   * write tells them apart; an empty line between requests means nothing in HTTP.
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
    let isUsed = false;
    return new Client(`http://${address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      keepAliveMaxTimeout: 600_000,
      connect(_opts, callback) {
        if (isUsed) return callback(CONNECTION_ENDED, null);
        isUsed = true;
        // undici does not go on sending when it is called back before it has returned.
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
        // Lets `watchForReset` write after the other side's end.
        allowHalfOpen: true,
        ...(opts.localAddress === undefined
          ? {}
          : { localAddress: opts.localAddress }),
      });
      const timer = setTimeout(() => end("connect time-out", false), timeoutMs);
      const onCancel = () => end("cancelled", false);

      function settle(value: Net.Socket | ConnectFailure): void {
        clearTimeout(timer);
        cancellation.remove(onCancel);
        resolve(value);
      }
      function end(reason: string, isRefused: boolean): void {
        socket.on("error", () => {}).destroy();
        settle({ reason, isRefused });
      }
      cancellation.add(onCancel);
      socket.once("error", (err: NodeJS.ErrnoException) => {
        const isRefused = err.code === "ECONNREFUSED" ||
          err.code === "ECONNRESET";
        end(err.code ?? err.message, isRefused);
      });
      socket.once("connect", () => settle(socket));
    });
  }

  return {
    tryTakeIdle(address, maxIdleMs) {
      const list = idle.get(address);
      const conn = list?.at(-1);
      if (list === undefined || conn === undefined) return undefined;
      if (clock.nowMs() - conn.idleSinceMs > maxIdleMs) return undefined;
      list.pop();
      if (list.length === 0) idle.delete(address);
      return conn;
    },
    async open(address, timeoutMs, cancellation) {
      const socket = await connect(address, timeoutMs, cancellation);
      if ("reason" in socket) return socket;
      opened++;
      const conn: TargetConnection = {
        address,
        client: createClient(address, socket),
        socket,
        exchanges: 0,
        idleSinceMs: clock.nowMs(),
        hasFailed: false,
        isBusy: false,
      };
      watchForReset(conn);
      all.add(conn);
      watchIdle(conn);
      return conn;
    },
    giveBack(conn) {
      const isDistrusted =
        (distrustedUntilMs.get(conn.address) ?? -Infinity) > clock.nowMs();
      if (conn.socket.destroyed || isDistrusted) return destroy(conn);
      conn.idleSinceMs = clock.nowMs();
      const list = idle.get(conn.address);
      if (list === undefined) idle.set(conn.address, [conn]);
      else list.push(conn);
    },
    destroy,
    distrust(address) {
      distrustedUntilMs.set(address, clock.nowMs() + DISTRUST_MS);
      for (const conn of [...(idle.get(address) ?? [])]) destroy(conn);
    },
    removeTarget(address) {
      for (const conn of [...(idle.get(address) ?? [])]) destroy(conn);
      distrustedUntilMs.delete(address);
    },
    getCounts() {
      let count = 0;
      for (const list of idle.values()) count += list.length;
      return { opened, idle: count };
    },
    close() {
      for (const conn of [...all]) destroy(conn);
    },
  };
}
