/**
 * Holds the connections of HTTP servers within their limits. What a connection
 * receives reaches the HTTP parser in slices: Node's parser can't pause within the
 * bytes that it was given, and one read of 64 kB may hold 2,400 requests. Bytes that
 * are not parsed yet wait in a short backlog, and then in the kernel, so that the
 * client can't send on. Decisions are in `connection_limits.ts`.
 */
import type * as Http from "node:http";
import type * as Net from "node:net";
import * as Limits from "./connection_limits.ts";

/** Bytes of a connection that are read ahead of the parser; with them, the end of the connection is seen early. */
const MAX_BACKLOG_BYTES = 64 * 1_024;
/** Backlog of one connection once all backlogs together are long. */
const MAX_SHORT_BACKLOG_BYTES = 16 * 1_024;
/** Total of the backlogs from which each must be short. */
const MAX_TOTAL_BACKLOG_BYTES = 8 * 1_024 * 1_024;
/** Bytes of a body of declared length that are passed on at once. */
const BODY_SLICE_BYTES = 64 * 1_024;
/** Bytes of bodies that are discarded per second after their requests were answered; reading more leaves garbage faster than it is collected. */
const DISCARD_BYTES_PER_S = 4_000_000;
const MAX_DISCARD_BURST_BYTES = 4_000_000;
const DISCARD_INTERVAL_MS = 50;
/** Requests from backlogs in an iteration of the event loop; their handling goes on after the turns. */
const MAX_TURN_REQUESTS = 8;
/** Time in an iteration of the event loop for backlogs, ms. */
const MAX_TURN_MS = 4;
/** Time for what a connection just received; the rest waits for its turn, ms. */
const MAX_FIRST_TURN_MS = 0.5;
const MIN_CHECK_INTERVAL_MS = 100;
const MAX_CHECK_INTERVAL_MS = 1_000;
/** Log lines per limit and interval; the counters have all events. */
const MAX_LINES = 5;
const LINES_INTERVAL_MS = 10_000;

/** Called for a connection that exceeds a limit. `suppressed` counts events without a call since the last one. */
export type ReportExceeded = (event: {
  readonly limit: Limits.LimitName;
  readonly address: string;
  readonly suppressed: number;
}) => void;

/**
 * `respond`: a rejection may be written. `destroy`: it would come before the response
 * to an earlier request. `ignore`: the connection continues or closes by itself.
 */
export type ParseErrorAction = "respond" | "destroy" | "ignore";

/** Limits all connections of a process together, over its listeners. */
export interface ConnectionGate {
  /**
   * Watches the connections of a server. Returns whether a request may be handled;
   * one that was sent behind the last response of its connection may not.
   */
  watch(
    server: Http.Server,
    limits: () => Limits.ConnectionLimits,
  ): (req: Http.IncomingMessage, res: Http.ServerResponse) => boolean;
  /** Decides what happens to a connection after an error of the HTTP parser. */
  handleParseError(
    err: NodeJS.ErrnoException,
    socket: Net.Socket,
  ): ParseErrorAction;
  /** Number of connections. */
  getCount(): number;
  close(): void;
}

/** Parts of Node's connection of a server that have no public interface. */
interface ServerSocket extends Net.Socket {
  /** True while the HTTP server waits until responses are taken. Its parser must get no bytes then. */
  readonly _paused?: boolean;
  /** Bytes that were handed to the kernel or wait in its handle. */
  readonly _bytesDispatched?: number;
  readonly _handle?: { readonly writeQueueSize?: number } | null;
}

interface Connection extends Limits.ConnectionState {
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
  /** `parsedBytes` at the begin of a chunked body, and the payload since; undefined for other bodies. */
  chunked: { readonly startBytes: number; payloadBytes: number } | undefined;
  /** Response to the last request. */
  res: Http.ServerResponse | undefined;
  /** `parsedBytes` when the last request was answered. */
  answeredAtBytes: number;
  /** True after the request whose response closes the connection; no further one is handled. */
  isLast: boolean;
  /** True if the connection closes and nothing more is parsed. */
  isEnded: boolean;
}

/** Creates a gate for at most `maxConnections` connections; from `crowdedRequests` requests in progress on, each may have only one. */
export function createConnectionGate(opts: {
  readonly maxConnections: number;
  readonly crowdedRequests: number;
  readonly count: (limit: Limits.LimitName) => void;
  readonly report: ReportExceeded;
}): ConnectionGate {
  const connections = new Map<Net.Socket, Connection>();
  /** Connections with a backlog that may be parsed, in the order of their turns. */
  const ready = new Set<Connection>();
  const lines = new Map<Limits.LimitName, { sinceMs: number; count: number }>();
  let totalBacklogBytes = 0;
  let totalUnanswered = 0;
  let admittedCount = 0;
  /** Connections with a backlog that may not be parsed now. */
  const waitingForOthers = new Set<Connection>();
  /** Answered connections whose bodies wait to be discarded. */
  const discarding = new Set<Connection>();
  let discardBytes = MAX_DISCARD_BURST_BYTES;
  let discardTimer: NodeJS.Timeout | undefined;
  let isTurnScheduled = false;
  let checkTimer: NodeJS.Timeout | undefined;

  function record(conn: Connection, limit: Limits.LimitName): void {
    opts.count(limit);
    const nowMs = performance.now();
    let line = lines.get(limit);
    if (line === undefined || nowMs - line.sinceMs > LINES_INTERVAL_MS) {
      const suppressed = Math.max((line?.count ?? 0) - MAX_LINES, 0);
      line = { sinceMs: nowMs, count: 0 };
      lines.set(limit, line);
      report(suppressed);
    } else if (line.count < MAX_LINES) report(0);
    line.count++;
    function report(suppressed: number): void {
      const { remoteAddress, remotePort } = conn.socket;
      const address = `${remoteAddress}:${remotePort}`;
      opts.report({ limit, address, suppressed });
    }
  }

  function isCrowded(): boolean {
    return totalUnanswered >= opts.crowdedRequests;
  }

  function dropBacklog(conn: Connection): void {
    totalBacklogBytes -= conn.backlogBytes;
    conn.backlog = [];
    conn.backlogBytes = 0;
    ready.delete(conn);
    discarding.delete(conn);
  }

  function closeExceeded(conn: Connection, limit: Limits.LimitName): void {
    conn.isEnded = true;
    record(conn, limit);
    conn.socket.destroy();
  }

  /** True if the consumer of the body takes no bytes now. */
  function isBodyBlocked({ req }: Connection): boolean {
    return req !== undefined && !req.complete &&
      req.readableLength >= req.readableHighWaterMark;
  }

  /** True if what the connection still receives is not parsed. */
  function isOver(conn: Connection): boolean {
    return conn.isEnded || conn.socket.destroyed ||
      (conn.isLast && !conn.isReadingBody);
  }

  function mayParse(conn: Connection): boolean {
    const { socket } = conn;
    return conn.backlogBytes > 0 && socket._paused !== true &&
      !socket.writableNeedDrain && !isBodyBlocked(conn) &&
      Limits.mayParse(conn, isCrowded(), conn.limits()) &&
      mayDiscard(conn);
  }

  /** True if the request of the body that arrives was answered. */
  function isDiscarding({ isReadingBody, res }: Connection): boolean {
    return isReadingBody && res?.writableFinished === true;
  }

  /** False if the connection has to wait until more may be discarded. */
  function mayDiscard(conn: Connection): boolean {
    if (!isDiscarding(conn) || discardBytes > 0) return true;
    discarding.add(conn);
    discardTimer ??= setTimeout(refillDiscards, DISCARD_INTERVAL_MS).unref();
    return false;
  }

  function refillDiscards(): void {
    discardTimer = undefined;
    const bytes = DISCARD_BYTES_PER_S * DISCARD_INTERVAL_MS / 1_000;
    discardBytes = Math.min(discardBytes + bytes, MAX_DISCARD_BURST_BYTES);
    for (const conn of discarding) scheduleTurn(conn);
    discarding.clear();
    if (discardBytes < MAX_DISCARD_BURST_BYTES) {
      discardTimer = setTimeout(refillDiscards, DISCARD_INTERVAL_MS).unref();
    }
  }

  function takeSlice(conn: Connection): Buffer {
    const isInBody = conn.bodyBytesLeft > 0;
    const bytes = isInBody
      ? Math.min(conn.bodyBytesLeft, BODY_SLICE_BYTES)
      : Limits.getSliceBytes(isCrowded(), conn.limits());
    const first = conn.backlog[0]!;
    const slice = first.length <= bytes ? first : first.subarray(0, bytes);
    if (slice === first) conn.backlog.shift();
    else conn.backlog[0] = first.subarray(bytes);
    conn.backlogBytes -= slice.length;
    totalBacklogBytes -= slice.length;
    if (isInBody) conn.bodyBytesLeft -= slice.length;
    return slice;
  }

  function parseSlice(conn: Connection): void {
    const slice = takeSlice(conn);
    const { req } = conn;
    if (isDiscarding(conn)) discardBytes -= slice.length;
    conn.parsedBytes += slice.length;
    conn.parse(slice);
    if (conn.req !== req) {
      // A part of the slice may already belong to the body.
      const length = Number(conn.req?.headers["content-length"] ?? 0);
      conn.bodyBytesLeft = Math.max(length - slice.length, 0);
    }
    conn.isReadingBody = conn.req?.complete === false;
    if (conn.isReadingBody) checkBody(conn);
  }

  function checkBody(conn: Connection): void {
    const { chunked, res } = conn;
    if (res?.writableFinished === true) {
      // Payload that is discarded is not reported, so only the total is known.
      const bytes = conn.parsedBytes - conn.answeredAtBytes;
      if (bytes > conn.limits().maxBodyBytes) {
        closeExceeded(conn, "discarded-body");
      }
      return;
    }
    if (chunked === undefined) return;
    const bytes = conn.parsedBytes - chunked.startBytes;
    if (Limits.isOverheadExcessive(bytes, chunked.payloadBytes)) {
      closeExceeded(conn, "chunk-overhead");
    }
  }

  /** Parses slices until `untilMs`; at least one. */
  function parseUntil(conn: Connection, untilMs: number): void {
    do {
      if (isOver(conn)) return dropBacklog(conn);
      if (!mayParse(conn)) break;
      parseSlice(conn);
    } while (performance.now() < untilMs);
    if (isOver(conn)) return dropBacklog(conn);
    if (mayParse(conn)) scheduleTurn(conn);
    else if (conn.backlogBytes > 0) waitingForOthers.add(conn);
    updateReading(conn);
  }

  function scheduleTurn(conn: Connection): void {
    ready.add(conn);
    if (isTurnScheduled) return;
    isTurnScheduled = true;
    setImmediate(runTurns);
  }

  /** Gives connections with a backlog their turns, for a bounded time. */
  function runTurns(): void {
    isTurnScheduled = false;
    const untilMs = performance.now() + MAX_TURN_MS;
    const maxAdmitted = admittedCount + MAX_TURN_REQUESTS;
    for (const conn of [...ready]) {
      if (performance.now() >= untilMs || admittedCount >= maxAdmitted) break;
      ready.delete(conn);
      parseUntil(conn, 0);
    }
    const [next] = ready;
    if (next !== undefined) scheduleTurn(next);
  }

  /** Reads from the kernel while the backlog has room. */
  function updateReading(conn: Connection): void {
    const { socket } = conn;
    const maxBytes = totalBacklogBytes > MAX_TOTAL_BACKLOG_BYTES
      ? MAX_SHORT_BACKLOG_BYTES
      : MAX_BACKLOG_BYTES;
    if (conn.backlogBytes >= maxBytes) socket.pause();
    // The HTTP server resumes what it has paused.
    else if (socket.isPaused() && socket._paused !== true) socket.resume();
  }

  function resume(conn: Connection): void {
    if (isOver(conn)) return;
    if (conn.backlogBytes > 0) {
      if (conn.headSinceMs !== undefined) conn.headSinceMs = performance.now();
      if (mayParse(conn)) scheduleTurn(conn);
    }
    updateReading(conn);
  }

  function receive(conn: Connection, data: Buffer): void {
    if (isOver(conn)) return;
    conn.backlog.push(data);
    conn.backlogBytes += data.length;
    totalBacklogBytes += data.length;
    if (ready.has(conn)) return updateReading(conn);
    parseUntil(conn, performance.now() + MAX_FIRST_TURN_MS);
  }

  function watchBody(conn: Connection, req: Http.IncomingMessage): void {
    conn.bodyBytesLeft = 0;
    conn.chunked = undefined;
    if (req.headers["transfer-encoding"] !== undefined) {
      const chunked = { startBytes: conn.parsedBytes, payloadBytes: 0 };
      conn.chunked = chunked;
      const push = req.push.bind(req);
      req.push = (chunk: Buffer | null) => {
        chunked.payloadBytes += chunk?.length ?? 0;
        return push(chunk);
      };
    }
    const read = req._read.bind(req);
    req._read = (size) => {
      read(size);
      if (conn.req === req && conn.backlogBytes > 0) scheduleTurn(conn);
    };
  }

  function admit(
    req: Http.IncomingMessage,
    res: Http.ServerResponse,
  ): boolean {
    const conn = connections.get(req.socket);
    if (conn === undefined) return true;
    if (conn.isLast || conn.isEnded) return false;
    conn.req = req;
    conn.res = res;
    conn.hasRequest = true;
    conn.headSinceMs = undefined;
    conn.isLast = !res.shouldKeepAlive;
    conn.unanswered++;
    totalUnanswered++;
    admittedCount++;
    watchBody(conn, req);
    res.once("finish", () => {
      if (!connections.has(conn.socket)) return;
      conn.unanswered--;
      totalUnanswered--;
      conn.idleSinceMs = performance.now();
      if (conn.res === res) conn.answeredAtBytes = conn.parsedBytes;
      if (conn.isEnded && conn.unanswered === 0) conn.socket.destroySoon();
      if (res.statusCode < 400) conn.isUseful = true;
      resume(conn);
      wakeWaiting();
    });
    return true;
  }

  function remove(conn: Connection): void {
    if (!connections.delete(conn.socket)) return;
    totalUnanswered -= conn.unanswered;
    waitingForOthers.delete(conn);
    wakeWaiting();
  }

  /** Lets connections go on that had to wait until fewer requests are in progress. */
  function wakeWaiting(): void {
    for (const conn of waitingForOthers) {
      if (isCrowded()) return;
      waitingForOthers.delete(conn);
      scheduleTurn(conn);
    }
  }

  /** Closes a connection if there are too many; the new one is kept if another can be closed. */
  function makeRoom(socket: Net.Socket): boolean {
    if (connections.size < opts.maxConnections) return true;
    const evicted = Limits.tryChooseEvicted(connections.values());
    if (evicted === undefined) {
      opts.count("connections");
      socket.destroy();
      return false;
    }
    remove(evicted);
    closeExceeded(evicted, "connections");
    return true;
  }

  function accept(
    socket: Net.Socket,
    limits: () => Limits.ConnectionLimits,
  ): void {
    if (!makeRoom(socket)) return;
    const [parse] = socket.listeners("data") as ((data: Buffer) => void)[];
    if (parse === undefined) return;
    const conn: Connection = {
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
      isEnded: false,
    };
    connections.set(socket, conn);
    socket.off("data", parse);
    // The listener also ends the direct way from the kernel to the parser.
    socket.on("data", (data: Buffer) => receive(conn, data));
    socket.on("drain", () => resume(conn));
    // The HTTP server resumes the socket when responses were taken.
    socket.on("resume", () => resume(conn));
    socket.once("end", () => dropBacklog(conn));
    socket.once("close", () => {
      dropBacklog(conn);
      remove(conn);
    });
    if (checkTimer === undefined) scheduleCheck(limits().idleTimeoutMs);
  }

  function scheduleCheck(idleTimeoutMs: number): void {
    const intervalMs = Math.min(
      Math.max(idleTimeoutMs / 4, MIN_CHECK_INTERVAL_MS),
      MAX_CHECK_INTERVAL_MS,
    );
    checkTimer = setTimeout(checkAll, intervalMs).unref();
  }

  /** Closes connections that are too slow. */
  function checkAll(): void {
    checkTimer = undefined;
    const nowMs = performance.now();
    let minIdleTimeoutMs = Infinity;
    for (const conn of [...connections.values()]) {
      const { socket } = conn;
      const limits = conn.limits();
      minIdleTimeoutMs = Math.min(minIdleTimeoutMs, limits.idleTimeoutMs);
      const pendingBytes = socket._handle?.writeQueueSize ?? 0;
      const exceeded = Limits.findExceeded(
        conn,
        {
          receivedBytes: socket.bytesRead,
          sentBytes: (socket._bytesDispatched ?? 0) - pendingBytes,
          isSending: socket.writableLength > 0,
          isHeldBack: conn.backlogBytes > 0,
        },
        nowMs,
        limits,
      );
      if (exceeded !== undefined) closeExceeded(conn, exceeded);
    }
    if (connections.size > 0) scheduleCheck(minIdleTimeoutMs);
  }

  function handleParseError(
    err: NodeJS.ErrnoException,
    socket: Net.Socket,
  ): ParseErrorAction {
    const conn = connections.get(socket);
    if (conn === undefined) return "respond";
    if (err.code === "ERR_HTTP_REQUEST_TIMEOUT") {
      const nowMs = performance.now();
      const isUnused = socket.bytesRead === 0;
      if (isUnused || conn.backlogBytes > 0 || conn.unanswered > 0) {
        // The HTTP server watches a head once; the process itself may have held it back.
        if (!isUnused) conn.headSinceMs = nowMs;
        return "ignore";
      }
      record(conn, "head-time");
    }
    conn.isEnded = true;
    // A malformed body ends the last request; what follows a complete one does not.
    const isLastAffected = conn.req?.complete === false;
    if (!isLastAffected && conn.unanswered > 0) return "ignore";
    return conn.unanswered > 1 ? "destroy" : "respond";
  }

  return {
    handleParseError,
    watch(server, limits) {
      server.on("connection", (socket: Net.Socket) => accept(socket, limits));
      return admit;
    },
    getCount: () => connections.size,
    close() {
      clearTimeout(checkTimer);
      clearTimeout(discardTimer);
    },
  };
}
