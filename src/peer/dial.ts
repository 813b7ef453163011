/** Opens an authenticated connection to an address. */
import * as Net from "node:net";
import { Err, Ok, type Result } from "ts-results-es";
import type * as Clock from "../clock.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Connection from "./connection.ts";
import * as Handshake from "./handshake.ts";
import * as LineSocket from "./line_socket.ts";
import type * as SendBudget from "./send_budget.ts";
import * as Wire from "./wire.ts";

/** Longest time in ms for a TCP connection to be established. */
export const CONNECT_TIMEOUT_MS = 2_000;

/** Failure detail if no process listens at the address. */
export const REFUSED_DETAIL = "connection refused";
/** Start of the failure detail if the process may run but can't be reached. */
export const UNRESPONSIVE_DETAIL = "no answer";

function connect(
  address: Types.Address,
  localAddress: string | undefined,
): Promise<Result<Net.Socket, ResultCodes.Failure>> {
  const parsed = Wire.tryParseAddress(address);
  if (parsed === undefined || parsed.port === 0) {
    const failed = ResultCodes.fail("peerUnreachable", `address ${address}`);
    return Promise.resolve(failed);
  }
  return new Promise((resolve) => {
    const socket = Net.connect(
      localAddress === undefined ? parsed : { ...parsed, localAddress },
    );
    const fail = (detail: string) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(ResultCodes.fail("peerUnreachable", detail));
    };
    const timer = setTimeout(
      () => fail(UNRESPONSIVE_DETAIL),
      CONNECT_TIMEOUT_MS,
    );
    socket.once("error", (err: Error & { readonly code?: string }) => {
      const isRefused = err.code === "ECONNREFUSED";
      fail(
        isRefused
          ? REFUSED_DETAIL
          : `${UNRESPONSIVE_DETAIL}: ${err.code ?? err.message}`,
      );
    });
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.removeAllListeners("error");
      resolve(Ok(socket));
    });
  });
}

/**
 * Connects and authenticates. The detail of a peerUnreachable failure is
 * REFUSED_DETAIL, starts with UNRESPONSIVE_DETAIL, or names a malformed address.
 */
export async function dial(args: {
  readonly address: Types.Address;
  readonly self: Handshake.Identity;
  readonly secret: string;
  readonly server: Connection.Server;
  readonly clock: Clock.Clock;
  readonly budget: SendBudget.SendBudget;
  /** Source IP of the connection; the system chooses it if undefined. */
  readonly localAddress?: string | undefined;
}): Promise<Result<Connection.Connection, ResultCodes.Failure>> {
  const connected = await connect(args.address, args.localAddress);
  if (connected.isErr()) return connected;
  const openedAtMs = args.clock.nowMs();
  const socket = LineSocket.createLineSocket(connected.value, args.budget);
  const remote = await Handshake.initiate(socket, args.self, args.secret);
  if (remote.isErr()) {
    socket.close("handshake failed");
    return Err(remote.error);
  }
  return Ok(Connection.createConnection({
    socket,
    remote: remote.value,
    isInitiator: true,
    seq: args.self.seq,
    openedAtMs,
    server: args.server,
  }));
}
