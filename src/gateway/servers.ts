/** HTTP listeners of the gateway, and the shutdown of their connections. */
import * as Http from "node:http";
import type * as Net from "node:net";
import type * as ConnectionGate from "../connection_gate.ts";
import * as ConnectionLimits from "../connection_limits.ts";
import * as HttpConnections from "../http_connections.ts";
import * as Wire from "../peer/wire.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

const LISTEN_BACKLOG = 1_024;
/** Longest head until the configuration is known. */
const MAX_HEADER_BYTES = 64 * 1_024;
/** Added to the configured length for the fields of instances that pass on requests. */
const HEADER_MARGIN_BYTES = 8 * 1_024;
/** The default of 30 s would leave a head ten times its configured time. */
const HEAD_CHECK_INTERVAL_MS = 500;
/** Idle connections are closed this long after the configured limit, as callers reuse them almost until the limit. */
const IDLE_MARGIN_MS = 2_000;
/** Idle timeout until the configuration is known. */
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
const DEFAULT_HEADER_TIMEOUT_MS = 10_000;
/** Longest body that is discarded until the configuration is known, and on listeners that expect none. */
const DEFAULT_BODY_BYTES = 1_000_000;

const STATUS_OF_ERROR: ReadonlyMap<string, string> = new Map([
  ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
  ["ERR_HTTP_REQUEST_TIMEOUT", "408 Request Timeout"],
]);

/** A listener for plain HTTP. */
export interface Listener {
  /** Number of requests whose response is not complete. */
  getInFlight(): number;
  /** Number of connections on which a request is running or the first one may still arrive. */
  getBusyConnections(): number;
  /** Applies the timeouts of the configuration. */
  setLimits(limits: GatewayTypes.CallerLimits): void;
  /** Makes each further response close its connection. */
  setLeaving(): void;
  /** Stops accepting connections and closes idle ones; resolves when none is accepted any more. */
  closeIdle(): Promise<void>;
  /** Closes all connections, also those with requests in flight. */
  close(): Promise<void>;
}

/** Starts a listener; rejects if the address can't be bound. */
export async function listen(
  address: Types.Address,
  gate: ConnectionGate.ConnectionGate,
  kind: "callers" | "internal",
  handleRequest: (
    req: Http.IncomingMessage,
    res: Http.ServerResponse,
  ) => Promise<void> | void,
  onError: (err: unknown, req: Http.IncomingMessage) => void,
  /** Receives how late the first request of each connection was read. */
  onFirstRead?: (read: HttpConnections.FirstRead) => void,
): Promise<Listener> {
  let isLeaving = false;
  const isInternal = kind === "internal";
  let connectionLimits: ConnectionLimits.ConnectionLimits = {
    maxUnanswered: isInternal
      ? ConnectionLimits.MAX_UNANSWERED_INTERNAL
      : ConnectionLimits.MAX_UNANSWERED,
    sliceBytes: isInternal
      ? ConnectionLimits.SLICE_BYTES_INTERNAL
      : ConnectionLimits.SLICE_BYTES,
    idleTimeoutMs: DEFAULT_IDLE_TIMEOUT_MS,
    headerTimeoutMs: DEFAULT_HEADER_TIMEOUT_MS,
    maxBodyBytes: DEFAULT_BODY_BYTES,
  };
  const server = Http.createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
    connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
    // The request's own deadline limits the time for its body.
    requestTimeout: 0,
    noDelay: true,
  }, (req, res) => {
    // Without a listener, a connection error would end the process.
    req.on("error", () => {});
    res.on("error", () => {});
    if (isLeaving) res.shouldKeepAlive = false;
    if (!admit(req, res)) return;
    Promise.resolve(handleRequest(req, res)).catch((err) => {
      onError(err, req);
      res.destroy();
    });
  });

  const connections = HttpConnections.trackConnections(server, onFirstRead);
  const admit = gate.watch(server, () => connectionLimits);
  server.on("clientError", (err: NodeJS.ErrnoException, socket: Net.Socket) => {
    if (err.code === "ECONNRESET" || !socket.writable) {
      socket.destroy();
      return;
    }
    const action = gate.handleParseError(err, socket);
    if (action === "ignore") return;
    if (action === "destroy") {
      socket.destroy();
      return;
    }
    const status = STATUS_OF_ERROR.get(err.code ?? "") ?? "400 Bad Request";
    socket.end(
      `HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
    );
  });
  const parsed = Wire.tryParseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen({ ...parsed, backlog: LISTEN_BACKLOG }, resolve);
  });
  return {
    getInFlight: connections.getInFlight,
    getBusyConnections: connections.getBusyCount,
    setLimits(limits) {
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
      server.headersTimeout = Math.max(limits.headerTimeoutMs, 1_000);
      // Node reads the property for each new connection.
      Object.assign(server, {
        maxHeaderSize: limits.maxHeaderBytes + HEADER_MARGIN_BYTES,
      });
      const { headerTimeoutMs, idleTimeoutMs, maxBodyBytes } = limits;
      connectionLimits = {
        ...connectionLimits,
        headerTimeoutMs,
        idleTimeoutMs: idleTimeoutMs + IDLE_MARGIN_MS,
        maxBodyBytes,
      };
    },
    setLeaving() {
      isLeaving = true;
    },
    closeIdle: () => connections.stop(),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Sends a JSON response. */
export function sendJson(
  res: Http.ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  res.end(body);
}

/** Sends a plain-text response in the format of metrics. */
export function sendText(
  res: Http.ServerResponse,
  status: number,
  body: string,
): void {
  res.writeHead(status, {
    "content-type": "text/plain; version=0.0.4",
    "content-length": Buffer.byteLength(body),
  });
  res.end(body);
}
