/**
 * Accepts connections from peers and from the operators' tool, and
 * authenticates each in its own task.
 */
import * as Net from "node:net";
import type * as Clock from "../clock.ts";
import * as Log from "../log.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Connection from "./connection.ts";
import * as Handshake from "./handshake.ts";
import * as LineSocket from "./line_socket.ts";
import type * as SendBudget from "./send_budget.ts";
import type * as Tasks from "./tasks.ts";
import * as Wire from "./wire.ts";

/**
 * Connections that may be in their handshake. Beyond that the oldest one is
 * closed, so that unresponsive unauthenticated peers can't keep peers out.
 */
const MAX_PENDING_HANDSHAKES = 256;
/** Shortest time in ms between two log lines on handshakes that failed with the same code. */
const LOG_INTERVAL_MS = 10_000;

/** Listens for connections from peers and the operators' tool. */
export interface Listener {
  /**
   * Starts to listen and returns the bound address; throws if it is malformed,
   * rejects if it can't be bound.
   */
  listen(): Promise<Types.Address>;
  /** Stops accepting; resolves once all connections are closed. */
  close(): Promise<void>;
}

/**
 * Creates a listener; `serve` receives each authenticated connection and
 * resolves once it is closed.
 */
export function createListener(args: {
  readonly listen: Types.Address;
  readonly self: Handshake.Identity;
  /** Secrets of which a peer has to know one. */
  readonly getSecrets: () => readonly string[];
  readonly server: Connection.Server;
  readonly tasks: Tasks.TaskGroup;
  readonly serve: (conn: Connection.Connection) => Promise<void>;
  readonly log: Log.Logger;
  readonly clock: Clock.Clock;
  readonly budget: SendBudget.SendBudget;
}): Listener {
  const { clock, log } = args;
  const pendingHandshakes = new Set<LineSocket.LineSocket>();
  const limitRepeats = Log.createRepeatLimit(LOG_INTERVAL_MS, clock.nowMs);
  const netServer = Net.createServer(acceptSocket);

  function acceptSocket(netSocket: Net.Socket): void {
    const socket = LineSocket.createLineSocket(netSocket, args.budget);
    const remoteAddress = netSocket.remoteAddress;
    args.tasks.run(
      `inbound ${remoteAddress}`,
      (signal) => authenticateAndServe(socket, remoteAddress, signal),
    );
  }

  function logFailure(
    failure: ResultCodes.Failure,
    remoteAddress?: string,
  ): void {
    const event = "peer-handshake-failed";
    const logPermit = limitRepeats(`${event} ${failure.code.name}`);
    if (logPermit === undefined) return;
    const err = ResultCodes.formatFailure(failure);
    log.warn(event, {
      from: remoteAddress,
      err,
      suppressed: logPermit.suppressed,
    });
  }

  function addPendingHandshake(socket: LineSocket.LineSocket): void {
    pendingHandshakes.add(socket);
    if (pendingHandshakes.size <= MAX_PENDING_HANDSHAKES) return;
    const [oldest] = pendingHandshakes;
    oldest?.close("too many handshakes");
  }

  async function authenticateAndServe(
    socket: LineSocket.LineSocket,
    remoteAddress: string | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    signal.addEventListener("abort", () => socket.close("stopping"));
    const openedAtMs = clock.nowMs();
    addPendingHandshake(socket);
    const remote = await Handshake.accept(
      socket,
      args.self,
      args.getSecrets(),
    );
    pendingHandshakes.delete(socket);
    if (remote.isErr()) {
      socket.close("handshake failed");
      return logFailure(remote.error, remoteAddress);
    }
    const conn = Connection.createConnection({
      socket,
      remote: remote.value,
      isInitiator: false,
      seq: remote.value.seq,
      openedAtMs,
      server: args.server,
    });
    await args.serve(conn);
  }

  return {
    listen() {
      const addr = Wire.tryParseAddress(args.listen);
      if (addr === undefined) throw new Error(`invalid address ${args.listen}`);
      return new Promise((resolve, reject) => {
        netServer.once("error", reject);
        netServer.listen(addr, () => {
          netServer.removeAllListeners("error");
          netServer.on(
            "error",
            (err) => log.error("peer-listener-failed", { err: err.message }),
          );
          const bound = netServer.address() as Net.AddressInfo;
          resolve(Wire.formatAddress(bound.address, bound.port));
        });
      });
    },
    close() {
      return new Promise((resolve) => {
        netServer.close(() => resolve());
      });
    },
  };
}
