/**
 * Holds the connections of HTTP servers within their limits, between the sockets and
 * the HTTP parsers. Decisions are in `connection_limits.ts`.
 */
import type * as Http from "node:http";
import type * as Net from "node:net";
import * as ConnectionBacklogs from "./connection_backlogs.ts";
import * as ConnectionChecks from "./connection_checks.ts";
import * as Limits from "./connection_limits.ts";
import * as GatedConnection from "./gated_connection.ts";
import * as LimitLog from "./limit_log.ts";

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

/** Creates a gate for at most `maxConnections` connections; from `crowdedRequests` requests in progress on, each may have only one. */
export function createConnectionGate(opts: {
  readonly maxConnections: number;
  readonly crowdedRequests: number;
  readonly count: (limit: Limits.LimitName) => void;
  readonly report: LimitLog.ReportExceeded;
}): ConnectionGate {
  const connections = new Map<Net.Socket, GatedConnection.Connection>();
  const limitLog = LimitLog.createLimitLog({
    count: opts.count,
    report: opts.report,
    nowMs: () => performance.now(),
  });
  const backlogs = ConnectionBacklogs.createConnectionBacklogs({
    isCrowded: () => totalUnanswered >= opts.crowdedRequests,
    getAdmittedCount: () => admittedCount,
    closeExceeded,
  });
  const checks = ConnectionChecks.createConnectionChecks(
    connections,
    closeExceeded,
  );
  let totalUnanswered = 0;
  let admittedCount = 0;

  function closeExceeded(
    conn: GatedConnection.Connection,
    limit: Limits.LimitName,
  ): void {
    conn.isEnded = true;
    limitLog.record(conn.socket, limit);
    conn.socket.destroy();
  }

  function watchBody(
    conn: GatedConnection.Connection,
    req: Http.IncomingMessage,
  ): void {
    conn.bodyBytesLeft = 0;
    conn.chunked = undefined;
    if (req.headers["transfer-encoding"] !== undefined) {
      const chunked: GatedConnection.ChunkedBody = {
        startBytes: conn.parsedBytes,
        payloadBytes: 0,
        nextSliceBytes: 0,
      };
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
      if (conn.req === req) backlogs.resumeBody(conn);
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
      backlogs.resume(conn);
      backlogs.wakeWaiting();
    });
    return true;
  }

  function remove(conn: GatedConnection.Connection): void {
    if (!connections.delete(conn.socket)) return;
    totalUnanswered -= conn.unanswered;
    backlogs.remove(conn);
    backlogs.wakeWaiting();
  }

  /** Closes a connection if there are too many; the new one is kept if another can be closed. */
  function makeRoom(socket: Net.Socket): boolean {
    if (connections.size < opts.maxConnections) return true;
    const evicted = Limits.tryChooseEvicted(connections.values());
    if (evicted === undefined) {
      limitLog.record(socket, "connections");
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
    const conn = GatedConnection.createConnection(socket, parse, limits);
    connections.set(socket, conn);
    socket.off("data", parse);
    // The listener also ends the direct way from the kernel to the parser.
    socket.on("data", (data: Buffer) => backlogs.receive(conn, data));
    socket.on("drain", () => backlogs.resume(conn));
    // The HTTP server resumes the socket when responses were taken.
    socket.on("resume", () => backlogs.resume(conn));
    socket.once("end", () => backlogs.drop(conn));
    socket.once("close", () => {
      backlogs.drop(conn);
      remove(conn);
    });
    checks.start(limits().idleTimeoutMs);
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
      limitLog.record(socket, "head-time");
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
      checks.close();
      backlogs.close();
    },
  };
}
