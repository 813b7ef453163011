/**
 * What connections received and the HTTP parser has not got yet. Node's parser can't
 * pause within the bytes that it was given, and one read of 64 kB may hold 2,400
 * requests; so it gets slices, in turns. What is not parsed yet waits in a short
 * backlog, and then in the kernel, so that the client can't send on.
 */
import * as BodyDiscards from "./body_discards.ts";
import * as Limits from "./connection_limits.ts";
import * as GatedConnection from "./gated_connection.ts";

/** Bytes of a connection that are read ahead of the parser; with them, the end of the connection is seen early. */
const MAX_BACKLOG_BYTES = 64 * 1_024;
/** Backlog of one connection once all backlogs together are long. */
const MAX_SHORT_BACKLOG_BYTES = 16 * 1_024;
/** Total of the backlogs from which each must be short. */
const MAX_TOTAL_BACKLOG_BYTES = 2 * 1_024 * 1_024;
/** Bytes of a body of declared length that are passed on at once. */
const BODY_SLICE_BYTES = 64 * 1_024;
/** Longest slice of a chunked body, if the ones before it held payload only; a next request may begin in it. */
const MAX_CHUNK_SLICE_BYTES = 8 * 1_024;
/** Requests from backlogs in an iteration of the event loop; their handling goes on after the turns. */
const MAX_TURN_REQUESTS = 8;
/** Time in an iteration of the event loop for backlogs, ms. */
const MAX_TURN_MS = 4;
/** Time for what a connection just received; the rest waits for its turn, ms. */
const MAX_FIRST_TURN_MS = 0.5;

/** The backlogs of the connections of one gate. */
export interface ConnectionBacklogs {
  /** Takes in what a connection received. */
  receive(conn: GatedConnection.Connection, data: Buffer): void;
  /** Goes on after the client took responses. */
  resume(conn: GatedConnection.Connection): void;
  /** Goes on after the consumer of a body took bytes. */
  resumeBody(conn: GatedConnection.Connection): void;
  /** Discards what a connection received. */
  drop(conn: GatedConnection.Connection): void;
  /** Ends the wait of a connection that is no longer open. */
  remove(conn: GatedConnection.Connection): void;
  /** Lets connections go on that had to wait until fewer requests are in progress. */
  wakeWaiting(): void;
  close(): void;
}

/** Creates the backlogs. */
export function createConnectionBacklogs(opts: {
  /** True if all connections together have too many requests in progress. */
  readonly isCrowded: () => boolean;
  /** Requests that were handled since the process began. */
  readonly getAdmittedCount: () => number;
  readonly closeExceeded: (
    conn: GatedConnection.Connection,
    limit: Limits.LimitName,
  ) => void;
}): ConnectionBacklogs {
  /** Connections with a backlog that may be parsed, in the order of their turns. */
  const ready = new Set<GatedConnection.Connection>();
  /** Connections with a backlog that may not be parsed now. */
  const waitingForOthers = new Set<GatedConnection.Connection>();
  const discards = BodyDiscards.createBodyDiscards(scheduleTurn);
  let totalBacklogBytes = 0;
  let isTurnScheduled = false;

  function dropBacklog(conn: GatedConnection.Connection): void {
    totalBacklogBytes -= conn.backlogBytes;
    conn.backlog = [];
    conn.backlogBytes = 0;
    ready.delete(conn);
    discards.remove(conn);
  }

  function mayParse(conn: GatedConnection.Connection): boolean {
    const { socket } = conn;
    return conn.backlogBytes > 0 && socket._paused !== true &&
      !socket.writableNeedDrain && !GatedConnection.isBodyBlocked(conn) &&
      Limits.mayParse(conn, opts.isCrowded(), conn.limits());
  }

  function takeSlice(conn: GatedConnection.Connection): Buffer {
    const isInBody = conn.bodyBytesLeft > 0;
    const bytes = isInBody
      ? Math.min(conn.bodyBytesLeft, BODY_SLICE_BYTES)
      : Math.max(
        Limits.getSliceBytes(opts.isCrowded(), conn.limits()),
        conn.chunked?.nextSliceBytes ?? 0,
      );
    const first = conn.backlog[0]!;
    const slice = first.length <= bytes ? first : first.subarray(0, bytes);
    if (slice === first) conn.backlog.shift();
    else conn.backlog[0] = first.subarray(bytes);
    conn.backlogBytes -= slice.length;
    totalBacklogBytes -= slice.length;
    if (isInBody) conn.bodyBytesLeft -= slice.length;
    return slice;
  }

  function parseSlice(conn: GatedConnection.Connection): void {
    const slice = takeSlice(conn);
    const { chunked, req } = conn;
    const payloadBefore = chunked?.payloadBytes ?? 0;
    discards.record(conn, slice.length);
    conn.parsedBytes += slice.length;
    conn.parse(slice);
    if (chunked !== undefined) {
      const isPayload = chunked.payloadBytes - payloadBefore === slice.length;
      chunked.nextSliceBytes = isPayload
        ? Math.min(2 * slice.length, MAX_CHUNK_SLICE_BYTES)
        : 0;
    }
    if (conn.req !== req) {
      // A part of the slice may already belong to the body.
      const length = Number(conn.req?.headers["content-length"] ?? 0);
      conn.bodyBytesLeft = Math.max(length - slice.length, 0);
    }
    conn.isReadingBody = conn.req?.complete === false;
    if (conn.isReadingBody) checkBody(conn);
  }

  function checkBody(conn: GatedConnection.Connection): void {
    const { chunked, res } = conn;
    if (res?.writableFinished === true) {
      // Payload that is discarded is not reported, so only the total is known.
      const bytes = conn.parsedBytes - conn.answeredAtBytes;
      if (bytes > conn.limits().maxBodyBytes) {
        opts.closeExceeded(conn, "discarded-body");
      }
      return;
    }
    if (chunked === undefined) return;
    const bytes = conn.parsedBytes - chunked.startBytes;
    if (Limits.isOverheadExcessive(bytes, chunked.payloadBytes)) {
      opts.closeExceeded(conn, "chunk-overhead");
    }
  }

  /** Parses slices until `untilMs`; at least one. */
  function parseUntil(conn: GatedConnection.Connection, untilMs: number): void {
    do {
      if (GatedConnection.isOver(conn)) return dropBacklog(conn);
      if (!mayParse(conn)) break;
      parseSlice(conn);
    } while (performance.now() < untilMs);
    if (GatedConnection.isOver(conn)) return dropBacklog(conn);
    if (mayParse(conn)) scheduleTurn(conn);
    else if (conn.backlogBytes > 0) waitingForOthers.add(conn);
    updateReading(conn);
  }

  function scheduleTurn(conn: GatedConnection.Connection): void {
    ready.add(conn);
    if (isTurnScheduled) return;
    isTurnScheduled = true;
    setImmediate(runTurns);
  }

  /** Gives connections with a backlog their turns, for a bounded time. */
  function runTurns(): void {
    isTurnScheduled = false;
    const untilMs = performance.now() + MAX_TURN_MS;
    const maxAdmitted = opts.getAdmittedCount() + MAX_TURN_REQUESTS;
    for (const conn of [...ready]) {
      if (
        performance.now() >= untilMs || opts.getAdmittedCount() >= maxAdmitted
      ) break;
      ready.delete(conn);
      parseUntil(conn, 0);
    }
    const [next] = ready;
    if (next !== undefined) scheduleTurn(next);
  }

  /** Reads from the kernel while the backlog has room. */
  function updateReading(conn: GatedConnection.Connection): void {
    const { socket } = conn;
    const maxBytes = totalBacklogBytes > MAX_TOTAL_BACKLOG_BYTES
      ? MAX_SHORT_BACKLOG_BYTES
      : MAX_BACKLOG_BYTES;
    // What was read of a body that is discarded is parsed at once, as holding it costs more.
    const hasRoom = conn.backlogBytes < maxBytes && discards.mayDiscard(conn);
    if (!hasRoom) return GatedConnection.stopReading(conn);
    GatedConnection.startReading(conn);
    // The HTTP server resumes what it has paused.
    if (socket.isPaused() && socket._paused !== true) socket.resume();
  }

  function resume(conn: GatedConnection.Connection): void {
    if (GatedConnection.isOver(conn)) return;
    if (conn.backlogBytes > 0) {
      if (conn.headSinceMs !== undefined) conn.headSinceMs = performance.now();
      if (mayParse(conn)) scheduleTurn(conn);
    }
    updateReading(conn);
  }

  function receive(conn: GatedConnection.Connection, data: Buffer): void {
    if (GatedConnection.isOver(conn)) return;
    conn.backlog.push(data);
    conn.backlogBytes += data.length;
    totalBacklogBytes += data.length;
    if (ready.has(conn)) return updateReading(conn);
    parseUntil(conn, performance.now() + MAX_FIRST_TURN_MS);
  }

  /** Lets connections go on that had to wait until fewer requests are in progress. */
  function wakeWaiting(): void {
    for (const conn of waitingForOthers) {
      if (opts.isCrowded()) return;
      waitingForOthers.delete(conn);
      scheduleTurn(conn);
    }
  }

  return {
    receive,
    resume,
    resumeBody(conn) {
      if (conn.backlogBytes > 0) scheduleTurn(conn);
    },
    drop: dropBacklog,
    remove: (conn) => void waitingForOthers.delete(conn),
    wakeWaiting,
    close: discards.close,
  };
}
