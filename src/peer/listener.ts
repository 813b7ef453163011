/** Accepts connections and authenticates them, each in its own task. */
import * as Net from "node:net";
import type * as Clock from "../clock.ts";
import * as Log from "../log.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Connection from "./connection.ts";
import * as Handshake from "./handshake.ts";
import * as LineSocket from "./line_socket.ts";
import type * as Tasks from "./tasks.ts";
import * as Wire from "./wire.ts";

/**
 * Connections that may be in their handshake. The oldest one makes room, so
 * that strangers who stay silent can't keep peers out.
 */
const MAX_HANDSHAKES = 256;
const LOG_INTERVAL_MS = 10_000;

/** Listens for peers and the operators' tool. */
export interface Listener {
  listen(): Promise<Types.Address>;
  close(): Promise<void>;
}

/** Creates a listener; `serve` runs for as long as an authenticated connection lives. */
export function createListener(args: {
  readonly listen: Types.Address;
  readonly self: Handshake.Identity;
  readonly secret: string;
  readonly server: Connection.Server;
  readonly tasks: Tasks.TaskGroup;
  readonly serve: (conn: Connection.Connection) => Promise<void>;
  readonly log: Log.Logger;
  readonly clock: Clock.Clock;
}): Listener {
  const { clock, log } = args;
  const handshaking = new Set<LineSocket.LineSocket>();
  const repeatLimit = Log.createRepeatLimit(LOG_INTERVAL_MS, clock.nowMs);
  const listener = Net.createServer(accept);

  function accept(raw: Net.Socket): void {
    const socket = LineSocket.createLineSocket(raw);
    const from = raw.remoteAddress;
    args.tasks.run(
      `inbound ${from}`,
      (signal) => runInbound(socket, from, signal),
    );
  }

  function logFailure(failure: ResultCodes.Failure, from?: string): void {
    const event = "peer-handshake-failed";
    const allowed = repeatLimit(`${event} ${failure.code.name}`);
    if (allowed === undefined) return;
    const err = ResultCodes.formatFailure(failure);
    log.warn(event, { from, err, suppressed: allowed.suppressed });
  }

  function admit(socket: LineSocket.LineSocket): void {
    handshaking.add(socket);
    if (handshaking.size <= MAX_HANDSHAKES) return;
    const [oldest] = handshaking;
    oldest?.close("too many handshakes");
  }

  async function runInbound(
    socket: LineSocket.LineSocket,
    from: string | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    signal.addEventListener("abort", () => socket.close("stopping"));
    const openedAtMs = clock.nowMs();
    admit(socket);
    const remote = await Handshake.accept(socket, args.self, args.secret);
    handshaking.delete(socket);
    if (remote.isErr()) {
      socket.close("handshake failed");
      return logFailure(remote.error, from);
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
      const parsed = Wire.tryParseAddress(args.listen);
      if (parsed === undefined) throw new Error(`address ${args.listen}`);
      return new Promise((resolve, reject) => {
        listener.once("error", reject);
        listener.listen(parsed, () => {
          listener.removeAllListeners("error");
          listener.on(
            "error",
            (err) => log.error("peer-listener-failed", { err: err.message }),
          );
          const bound = listener.address() as Net.AddressInfo;
          resolve(Wire.formatAddress(bound.address, bound.port));
        });
      });
    },
    close() {
      return new Promise((resolve) => {
        listener.close(() => resolve());
      });
    },
  };
}
