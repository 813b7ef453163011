/** Client of one instance, used by the operators' tool. */
import * as Crypto from "node:crypto";
import { Err, type Result } from "ts-results-es";
import * as Clock from "../clock.ts";
import type * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import * as Connection from "./connection.ts";
import * as Dial from "./dial.ts";
import * as SendBudget from "./send_budget.ts";

/** Calls the methods of one instance over one connection. */
export interface PeerClient {
  /**
   * Connects first if not connected. Fails like `Contracts.PeerNet.call`, and
   * with peerAuth if the secrets differ.
   */
  call<T>(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, ResultCodes.Failure>>;
  /** Id of the connected instance, or undefined before the first call and after `close`. */
  tryGetPeerId(): Types.InstanceId | undefined;
  /** Closes the connection; a later call opens another one. */
  close(): void;
}

/**
 * Creates a client that connects on its first call; `id` names the tool in the
 * instance's logs.
 */
export function createPeerClient(args: {
  readonly address: Types.Address;
  readonly secret: string;
  readonly id: string;
}): PeerClient {
  const server = Connection.createServer();
  const clock = Clock.systemClock;
  const budget = SendBudget.createSendBudget({ clock });
  const incarnation = Crypto.randomUUID();
  let conn: Connection.Connection | undefined;
  /** The connection attempt in progress, shared by all calls that start meanwhile. */
  let connecting: ReturnType<typeof Dial.dial> | undefined;
  let isClosed = false;

  async function connect(): ReturnType<typeof Dial.dial> {
    const dialed = await Dial.dial({
      address: args.address,
      self: { id: args.id, incarnation, role: "tool", seq: 0 },
      secret: args.secret,
      server,
      clock,
      budget,
    });
    connecting = undefined;
    if (dialed.isErr()) return dialed;
    conn = dialed.value;
    if (isClosed) conn.close("done");
    return dialed;
  }

  return {
    async call<T>(method: string, params: unknown, timeoutMs: number) {
      isClosed = false;
      if (conn === undefined || conn.isClosed()) {
        const dialed = await (connecting ??= connect());
        if (dialed.isErr()) return Err(dialed.error);
        return dialed.value.call<T>(method, params, timeoutMs);
      }
      return conn.call<T>(method, params, timeoutMs);
    },
    tryGetPeerId: () => conn?.remote.id,
    close() {
      isClosed = true;
      conn?.close("done");
      conn = undefined;
    },
  };
}
