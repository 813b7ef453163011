/** A client connection between its socket and the HTTP parser. */
import type * as Http from "node:http";
import type * as Net from "node:net";
import * as Limits from "./connection_limits.ts";

/** Parts of Node's connection of a server that have no public export interface. */
interface ServerSocket extends Net.Socket {
  /** True while the HTTP server waits until responses are taken. Its parser must get no bytes then. */
  readonly _paused?: boolean;
  /** Bytes that were handed to the kernel or wait in its handle. */
  readonly _bytesDispatched?: number;
  readonly _handle?: {
    readonly writeQueueSize?: number;
    reading: boolean;
    readStart(): void;
    readStop(): void;
  } | null;
}

/** What was parsed of a chunked body. */
export interface ChunkedBody {
  /** `parsedBytes` of the connection at its begin. */
  readonly startBytes: number;
  payloadBytes: number;
  /** Bytes that may be parsed at once although they may hold further requests; 0 without evidence of long chunks. */
  nextSliceBytes: number;
}

/** A connection of a server that a gate watches. */
export interface Connection extends Limits.ConnectionState {
  readonly socket: ServerSocket;
  readonly limits: () => Limits.ConnectionLimits;
  /** The HTTP server's receiver of bytes. */
  readonly parse: (data: Buffer) => void;
  backlog: Buffer[];
  backlogBytes: number;
  req: Http.IncomingMessage | undefined;
  /** Bytes parsed. */
  parsedBytes: number;
  /** Bytes that belong to the declared body of the last request for certain. */
  bodyBytesLeft: number;
  /** The chunked body of the last request; undefined for other bodies. */
  chunked: ChunkedBody | undefined;
  /** Response to the last request. */
  res: Http.ServerResponse | undefined;
  /** `parsedBytes` when the last request was answered. */
  answeredAtBytes: number;
  /** True after the request whose response closes the connection; no further one is handled. */
  isLast: boolean;
  /** True while nothing is read from the kernel, though the stream flows. */
  isReadStopped: boolean;
  /** True if the connection closes and nothing more is parsed. */
  isEnded: boolean;
}

/** Creates the state of an accepted connection; `parse` is the HTTP server's receiver of bytes. */
export function createConnection(
  socket: Net.Socket,
  parse: (data: Buffer) => void,
  limits: () => Limits.ConnectionLimits,
): Connection {
  return {
    ...Limits.createConnectionState(performance.now()),
    socket,
    limits,
    parse: parse.bind(socket),
    backlog: [],
    backlogBytes: 0,
    req: undefined,
    parsedBytes: 0,
    bodyBytesLeft: 0,
    chunked: undefined,
    res: undefined,
    answeredAtBytes: 0,
    isLast: false,
    isReadStopped: false,
    isEnded: false,
  };
}

/** True if the consumer of the body takes no bytes now. */
export function isBodyBlocked({ req }: Connection): boolean {
  return req !== undefined && !req.complete &&
    req.readableLength >= req.readableHighWaterMark;
}

/** True if what the connection still receives is not parsed. */
export function isOver(conn: Connection): boolean {
  return conn.isEnded || conn.socket.destroyed ||
    (conn.isLast && !conn.isReadingBody);
}

/** True if the request of the body that arrives was answered. */
export function isDiscarding({ isReadingBody, res }: Connection): boolean {
  return isReadingBody && res?.writableFinished === true;
}

/** Stops reading from the kernel; a paused stream would still read up to 64 kB and hold them. */
export function stopReading(conn: Connection): void {
  if (conn.isReadStopped) return;
  conn.isReadStopped = true;
  // The stream starts the next read after its data listeners have run.
  queueMicrotask(() => {
    const { _handle: handle } = conn.socket;
    if (!conn.isReadStopped || !handle?.reading) return;
    handle.reading = false;
    handle.readStop();
  });
}

/** Reads from the kernel again. */
export function startReading(conn: Connection): void {
  if (!conn.isReadStopped) return;
  conn.isReadStopped = false;
  const { _handle: handle } = conn.socket;
  if (!handle || handle.reading) return;
  handle.reading = true;
  handle.readStart();
}
