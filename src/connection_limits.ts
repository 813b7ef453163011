/**
 * Decides what a client's connection may cost, without I/O. Load patterns: clients that
 * pipeline requests and read no response, send bodies or read responses slowly, send
 * framing instead of payload, or open connections that they don't use.
 */

/** Limits of the connections of one listener. */
export interface ConnectionLimits {
  /** Requests of a connection without a complete response; no further ones are parsed beyond. */
  readonly maxUnanswered: number;
  /** Bytes that are parsed at once; all requests that begin in them are handled. */
  readonly sliceBytes: number;
  /** Time after which a connection without a request is closed, and over which rates are measured, ms. */
  readonly idleTimeoutMs: number;
  /** Longest time for a head to arrive, ms. */
  readonly headerTimeoutMs: number;
  /** Longest body; as many bytes of a body are discarded after its request was answered. */
  readonly maxBodyBytes: number;
}

/** Limit that a connection exceeded. */
export type LimitName =
  | "first-request"
  | "head-time"
  | "discarded-body"
  | "body-rate"
  | "reader-rate"
  | "chunk-overhead"
  | "connections";

/** Bytes that a connection transferred in one direction while the other side waits for them. */
export interface Transfer {
  /** Monotonic ms at which the window began; undefined while nobody waits. */
  windowStartMs: number | undefined;
  bytesAtStart: number;
}

/** What the decisions need to know of a connection. */
export interface ConnectionState {
  /** Monotonic ms. */
  readonly acceptedAtMs: number;
  /** True once a request was read. */
  hasRequest: boolean;
  /** True once a response without an error was taken. */
  isUseful: boolean;
  /** Requests without a complete response. */
  unanswered: number;
  /** True while the body of the last request is incomplete. */
  isReadingBody: boolean;
  /** Monotonic ms at which the last response was complete. */
  idleSinceMs: number;
  /** Monotonic ms since which a head may be incomplete that the HTTP server does not watch. */
  headSinceMs: number | undefined;
  readonly body: Transfer;
  readonly responses: Transfer;
}

/** Requests of one caller's connection that run side by side. */
export const MAX_UNANSWERED = 32;
/** Lower limit of the requests in progress from which a connection may have only one, so that pipelines don't displace others. */
const MIN_CROWDED_REQUESTS = 128;
/** Memory of the process for each request in progress before that. */
const MEMORY_PER_REQUEST_BYTES = 1_000_000;
/** Requests of one connection that run side by side on listeners whose responses need no wait. */
export const MAX_UNANSWERED_INTERNAL = 4;
/** A head of the shortest kind has 27 bytes, so a slice holds up to 37 requests. */
export const SLICE_BYTES = 1_024;
/** Metrics are long, so fewer requests are handled at once there. */
export const SLICE_BYTES_INTERNAL = 256;
/** A chunk has 5 bytes of framing or more, and chunks of 3 bytes stay below the limit. */
const MAX_OVERHEAD_PER_BODY_BYTE = 2;
/** Framing that is allowed in addition, so that short bodies may have any chunks. */
const MAX_OVERHEAD_BYTES = 16 * 1_024;
/** Slowest body or reader; a transfer that ends within the idle timeout may be slower. */
const MIN_BYTES_PER_S = 1_000;
/** Share of the descriptors for clients; targets, peers, the store and the listeners have the others. */
const CLIENT_DESCRIPTOR_SHARE = 0.6;
/** Share of the memory for the objects of connections. */
const CONNECTION_MEMORY_SHARE = 0.2;
/** Memory of a connection with a head of ordinary length, estimated. */
const CONNECTION_BYTES = 20_000;

/** Returns the number of client connections for which a machine has descriptors and memory. */
export function getMaxConnections(
  maxDescriptors: number,
  memoryBytes: number,
): number {
  return Math.floor(Math.min(
    maxDescriptors * CLIENT_DESCRIPTOR_SHARE,
    memoryBytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES,
  ));
}

/** Returns the requests in progress from which each connection may have only one: a busy machine serves as many of well-behaved clients. */
export function getCrowdedRequests(memoryBytes: number): number {
  return Math.max(
    MIN_CROWDED_REQUESTS,
    Math.floor(memoryBytes / MEMORY_PER_REQUEST_BYTES),
  );
}

/** Creates the state of a connection that was just accepted. */
export function createConnectionState(nowMs: number): ConnectionState {
  return {
    acceptedAtMs: nowMs,
    hasRequest: false,
    isUseful: false,
    unanswered: 0,
    isReadingBody: false,
    idleSinceMs: nowMs,
    headSinceMs: undefined,
    body: { windowStartMs: undefined, bytesAtStart: 0 },
    responses: { windowStartMs: undefined, bytesAtStart: 0 },
  };
}

/** True if further requests of the connection may be parsed; `isCrowded` while all connections together have too many. */
export function mayParse(
  conn: ConnectionState,
  isCrowded: boolean,
  { maxUnanswered }: ConnectionLimits,
): boolean {
  if (conn.isReadingBody || conn.unanswered === 0) return true;
  return conn.unanswered < maxUnanswered && !isCrowded;
}

/** Returns the number of bytes of heads to parse at once; fewer if many requests are in progress. */
export function getSliceBytes(
  isCrowded: boolean,
  { sliceBytes }: ConnectionLimits,
): number {
  return isCrowded ? Math.min(sliceBytes, SLICE_BYTES_INTERNAL) : sliceBytes;
}

/** True if a chunked body has too much framing for its payload. */
export function isOverheadExcessive(
  totalBytes: number,
  payloadBytes: number,
): boolean {
  const maxBytes = MAX_OVERHEAD_BYTES +
    payloadBytes * MAX_OVERHEAD_PER_BODY_BYTE;
  return totalBytes - payloadBytes > maxBytes;
}

/** Updates the window of a transfer; returns true if too few bytes arrived in it. */
function isTooSlow(
  transfer: Transfer,
  isWaiting: boolean,
  bytes: number,
  nowMs: number,
  windowMs: number,
): boolean {
  if (!isWaiting) {
    transfer.windowStartMs = undefined;
    return false;
  }
  if (transfer.windowStartMs === undefined) {
    transfer.windowStartMs = nowMs;
    transfer.bytesAtStart = bytes;
    return false;
  }
  const elapsedMs = nowMs - transfer.windowStartMs;
  if (elapsedMs < windowMs) return false;
  const minBytes = elapsedMs / 1_000 * MIN_BYTES_PER_S;
  const isSlow = bytes - transfer.bytesAtStart < minBytes;
  transfer.windowStartMs = nowMs;
  transfer.bytesAtStart = bytes;
  return isSlow;
}

/** What a connection transferred until now. */
export interface Progress {
  /** Bytes received. */
  readonly receivedBytes: number;
  /** Bytes of responses that the client's machine has acknowledged or that the kernel holds. */
  readonly sentBytes: number;
  /** True while bytes of responses wait for the client. */
  readonly isSending: boolean;
  /** True while the process doesn't read, so that the client can't send. */
  readonly isHeldBack: boolean;
}

/** Returns the limit that the connection exceeds by being slow; called at intervals. */
export function findExceeded(
  conn: ConnectionState,
  progress: Progress,
  nowMs: number,
  { headerTimeoutMs, idleTimeoutMs }: ConnectionLimits,
): LimitName | undefined {
  const isUnused = !conn.hasRequest && progress.receivedBytes === 0;
  if (isUnused && nowMs - conn.acceptedAtMs > idleTimeoutMs) {
    return "first-request";
  }
  const { headSinceMs } = conn;
  if (
    headSinceMs !== undefined && !progress.isHeldBack &&
    nowMs - headSinceMs > headerTimeoutMs
  ) {
    return "head-time";
  }
  const isReceiving = conn.isReadingBody && !progress.isHeldBack;
  const { receivedBytes, sentBytes } = progress;
  if (
    isTooSlow(conn.body, isReceiving, receivedBytes, nowMs, idleTimeoutMs)
  ) {
    return "body-rate";
  }
  const { isSending } = progress;
  return isTooSlow(conn.responses, isSending, sentBytes, nowMs, idleTimeoutMs)
    ? "reader-rate"
    : undefined;
}

/**
 * Returns the connection to close for a new one: the newest that has done nothing
 * useful, else the one that has been idle for the longest time; undefined if a
 * request is running on all.
 */
export function tryChooseEvicted<T extends ConnectionState>(
  connections: Iterable<T>,
): T | undefined {
  let newestUseless: T | undefined;
  let longestIdle: T | undefined;
  for (const conn of connections) {
    const isRunning = conn.unanswered > 0 && !conn.isReadingBody;
    if (!conn.isUseful && !isRunning) {
      if (conn.acceptedAtMs >= (newestUseless?.acceptedAtMs ?? 0)) {
        newestUseless = conn;
      }
    } else if (conn.unanswered === 0) {
      if (conn.idleSinceMs < (longestIdle?.idleSinceMs ?? Infinity)) {
        longestIdle = conn;
      }
    }
  }
  return newestUseless ?? longestIdle;
}
