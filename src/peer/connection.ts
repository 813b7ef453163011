/** JSON-RPC 2.0 in both directions over one authenticated connection. */
import * as JsonRpc from "json-rpc-2.0";
import { Ok, type Result } from "ts-results-es";
import * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Handshake from "./handshake.ts";
import type * as LineSocket from "./line_socket.ts";
import type * as SendBudget from "./send_budget.ts";
import * as Wire from "./wire.ts";

const CODE_TIMEOUT = -32_001;
const CODE_MESSAGE_TOO_LONG = -32_002;
const UNKNOWN_METHOD = "unknown method";

/**
 * Handler of a method. It returns the result of the call or a promise of it;
 * an exception fails the call.
 */
export type Method = (params: unknown, conn: Connection) => unknown;

/** Handles the requests of the remote end; `conn.remote` identifies the caller. */
export interface Server {
  /** Registers the handler of a method; a later one replaces it. */
  addMethod(name: string, method: Method): void;
  /** Runs a request and returns its response, or null for a notification. */
  handleRequest(
    req: JsonRpc.JSONRPCRequest,
    conn: Connection,
  ): Promise<JsonRpc.JSONRPCResponse | null>;
  /** Runs the handler of a notification and discards its result and errors. */
  handleNotification(req: JsonRpc.JSONRPCRequest, conn: Connection): void;
}

/** An authenticated connection to a peer or to the operators' tool. */
export interface Connection {
  /** Identity that the remote end proved in the handshake. */
  readonly remote: Handshake.Identity;
  /** True if this process opened the connection. */
  readonly isInitiator: boolean;
  /**
   * Sequence number that the initiator gave the connection; later connections
   * have higher ones.
   */
  readonly seq: number;
  /** Monotonic ms at which the handshake began. */
  readonly openedAtMs: number;
  /**
   * Calls a method of the remote end. Fails with peerUnreachable if nothing was
   * sent, peerTimeout if the call may have run, peerMessage if a message was too
   * long, and peerError if the handler failed.
   */
  call<T>(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, ResultCodes.Failure>>;
  /** Sends a notification; one over the line limit is dropped. */
  notify(method: string, params: unknown): void;
  /** Sends a line that `formatNotification` returned. */
  sendLine(line: string): void;
  /** Like `sendLine`, for a droppable message; returns why it was dropped. */
  sendDroppable(line: string): SendBudget.DropReason | undefined;
  /** Called once per tick; returns the number of consecutive ticks in which no data arrived. */
  countTickWithoutData(): number;
  /** True if no call is pending in either direction. */
  isIdle(): boolean;
  /** Resolves with the reason once the connection is closed. */
  readonly closed: Promise<string>;
  isClosed(): boolean;
  close(reason: string): void;
  /** Bytes received and sent since the connection was opened. */
  getBytes(): { readonly received: number; readonly sent: number };
}

/** Receives the error of a handler, or the reason why a message has none. */
export type ErrorListener = (
  method: string,
  conn: Connection,
  err: unknown,
) => void;

/**
 * Creates a server for `createConnection`. `onError` receives the errors of all
 * handlers; the caller of a request receives them as well.
 */
export function createServer(onError: ErrorListener = () => {}): Server {
  const server = new JsonRpc.JSONRPCServer<Connection>({
    errorListener: () => {},
  });
  const methods = new Map<string, Method>();

  /** Adds the listener to a handler without a promise for the result of a synchronous one. */
  function observe(name: string, method: Method): Method {
    return (params, conn) => {
      try {
        const result = method(params, conn);
        if (result instanceof Promise) {
          result.catch((err) => onError(name, conn, err));
        }
        return result;
      } catch (err) {
        onError(name, conn, err);
        throw err;
      }
    };
  }

  return {
    addMethod(name, method) {
      const observed = observe(name, method);
      methods.set(name, observed);
      server.addMethod(name, observed);
    },
    async handleRequest(req, conn) {
      if (!methods.has(req.method)) onError(req.method, conn, UNKNOWN_METHOD);
      return await server.receive(req, conn);
    },
    handleNotification(req, conn) {
      // Bypasses the library, which creates promises for a response that is never
      // sent. Most messages are heartbeats, and these promises took a quarter of
      // the CPU time of an idle instance.
      const method = methods.get(req.method);
      if (method === undefined) {
        return onError(req.method, conn, UNKNOWN_METHOD);
      }
      try {
        method(req.params, conn);
      } catch {
        // The listener has the error; a notification has no response to carry it.
      }
    },
  };
}

function isTooLong(line: string): boolean {
  // A UTF-16 unit takes at most three bytes in UTF-8.
  if (line.length * 3 <= Wire.MAX_LINE_BYTES) return false;
  return Buffer.byteLength(line) > Wire.MAX_LINE_BYTES;
}

/**
 * Encodes a notification as a line that can be sent on many connections.
 * Returns undefined if it exceeds the line limit. The library's client is not
 * used, as it creates promises for a response that never arrives; they took a
 * tenth of the CPU time of an idle instance.
 */
export function formatNotification(
  method: string,
  params: unknown,
): string | undefined {
  const notification = JsonRpc.createJSONRPCNotification(method, params);
  const line = JSON.stringify(notification);
  return isTooLong(line) ? undefined : line;
}

/**
 * Encodes a response. One that can't be sent becomes an error response, so
 * that the caller does not wait for its timeout.
 */
function formatResponse(res: JsonRpc.JSONRPCResponse): string {
  const formatError = (code: number, message: string) =>
    JSON.stringify(JsonRpc.createJSONRPCErrorResponse(res.id, code, message));
  try {
    const line = JSON.stringify(res);
    return isTooLong(line) ? formatError(CODE_MESSAGE_TOO_LONG, "") : line;
  } catch (err) {
    return formatError(JsonRpc.JSONRPCErrorCode.InternalError, String(err));
  }
}

function toFailure(method: string, err: unknown, isClosed: boolean) {
  if (!(err instanceof JsonRpc.JSONRPCErrorException)) {
    return ResultCodes.fail("peerError", `${method}: ${String(err)}`);
  }
  switch (err.code) {
    case CODE_TIMEOUT:
      return ResultCodes.fail("peerTimeout", `${method}: no answer in time`);
    case CODE_MESSAGE_TOO_LONG:
      return ResultCodes.fail("peerMessage", `${method}: message over 2 MB`);
    default:
      if (isClosed) {
        return ResultCodes.fail("peerTimeout", `${method}: ${err.message}`);
      }
      return ResultCodes.fail("peerError", `${method}: ${err.message}`);
  }
}

/** Starts JSON-RPC on a socket whose handshake has succeeded. */
export function createConnection(args: {
  readonly socket: LineSocket.LineSocket;
  readonly remote: Handshake.Identity;
  readonly isInitiator: boolean;
  readonly seq: number;
  readonly openedAtMs: number;
  readonly server: Server;
}): Connection {
  const { socket, server } = args;
  let ticksWithoutData = 0;
  let receivedBytesAtTick = 0;
  let pendingCalls = 0;
  const client: JsonRpc.JSONRPCClient = new JsonRpc.JSONRPCClient((payload) => {
    const line = JSON.stringify(payload);
    if (isTooLong(line) && payload.id !== undefined) {
      return client.receive(
        JsonRpc.createJSONRPCErrorResponse(
          payload.id,
          CODE_MESSAGE_TOO_LONG,
          "",
        ),
      );
    }
    socket.write(line);
  });

  async function respond(req: JsonRpc.JSONRPCRequest): Promise<void> {
    pendingCalls++;
    const res = await server.handleRequest(req, connection);
    pendingCalls--;
    if (res !== null) socket.write(formatResponse(res));
  }

  function countTickWithoutData(): number {
    const { received } = socket.getBytes();
    ticksWithoutData = received === receivedBytesAtTick
      ? ticksWithoutData + 1
      : 0;
    receivedBytesAtTick = received;
    return ticksWithoutData;
  }

  function handleLine(line: string): void {
    const message = Json.tryParseObject(line);
    if (message === undefined) return socket.close("malformed message");
    if (JsonRpc.isJSONRPCRequest(message)) {
      const isNotification = message.id === undefined;
      if (isNotification) return server.handleNotification(message, connection);
      return void respond(message);
    }
    if (JsonRpc.isJSONRPCResponse(message)) return client.receive(message);
    socket.close("malformed message");
  }

  async function call<T>(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<T, ResultCodes.Failure>> {
    if (socket.isClosed()) {
      return ResultCodes.fail("peerUnreachable", "connection closed");
    }
    pendingCalls++;
    const clientWithTimeout = client.timeout(
      timeoutMs,
      (id) => JsonRpc.createJSONRPCErrorResponse(id, CODE_TIMEOUT, ""),
    );
    try {
      return Ok(await clientWithTimeout.request(method, params));
    } catch (err) {
      return toFailure(method, err, socket.isClosed());
    } finally {
      pendingCalls--;
    }
  }

  const connection: Connection = {
    remote: args.remote,
    isInitiator: args.isInitiator,
    seq: args.seq,
    openedAtMs: args.openedAtMs,
    call,
    notify(method, params) {
      const line = formatNotification(method, params);
      if (line !== undefined) socket.write(line);
    },
    sendLine: (line) => void socket.write(line),
    sendDroppable: socket.writeDroppable,
    countTickWithoutData,
    isIdle: () => pendingCalls === 0,
    closed: socket.closed,
    isClosed: socket.isClosed,
    close: socket.close,
    getBytes: socket.getBytes,
  };
  socket.onLine(handleLine);
  // The library fails the pending calls with its default error code.
  socket.closed.then((reason) =>
    client.rejectAllPendingRequests(`connection lost: ${reason}`)
  );
  return connection;
}
