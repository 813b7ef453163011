/** Ends a connection on which a server sends no valid response. */
import type * as Net from "node:net";
import type * as Undici from "undici";
import buildConnector from "undici/lib/core/connect.js";
import * as ResponseHead from "./response_head.ts";

const INVALID_RESPONSE = "INVALID_RESPONSE";

/** Error with which a connection ends that brought no valid response. */
interface InvalidResponseError extends Error {
  readonly code: typeof INVALID_RESPONSE;
  readonly firstBytes: string;
}

/** Returns the first bytes of the response if the error reports an invalid one. */
export function tryGetFirstBytes(err: unknown): string | undefined {
  const { code, firstBytes } = err as Partial<InvalidResponseError>;
  return code === INVALID_RESPONSE ? firstBytes : undefined;
}

function createError(firstBytes: string): InvalidResponseError {
  const message = `invalid response ${JSON.stringify(firstBytes)}`;
  return Object.assign(
    new Error(message),
    {
      code: INVALID_RESPONSE,
      firstBytes,
    } as const,
  );
}

/**
 * Checks the responses that are read from the socket, before the HTTP client gets
 * their bytes. An invalid one destroys the socket. The returned function marks the
 * start of an exchange.
 */
export function watchResponses(
  socket: Net.Socket,
  onInvalid?: (firstBytes: string) => void,
): () => void {
  const reader = ResponseHead.createHeadReader();
  const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
  socket.read = (size?: number) => {
    const chunk = read(size);
    if (chunk === null) return null;
    const firstBytes = reader.read(chunk);
    if (firstBytes === undefined) return chunk;
    onInvalid?.(firstBytes);
    socket.destroy(createError(firstBytes));
    return null;
  };
  return reader.start;
}

/**
 * Creates a connector for a client or pool whose connections carry one exchange at
 * a time and whose requests are written in one piece, so that each write starts an
 * exchange.
 */
export function createConnector(
  opts: Undici.buildConnector.BuildOptions,
): Undici.buildConnector.connector {
  const connect = buildConnector(opts);
  return (params, callback) =>
    connect(params, (...result) => {
      const [err, socket] = result;
      if (err === null) startAtWrites(socket);
      callback(...result);
    });
}

function startAtWrites(socket: Net.Socket): void {
  const startExchange = watchResponses(socket);
  const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
  socket.write = (...args: unknown[]) => {
    startExchange();
    return write(...args);
  };
}
