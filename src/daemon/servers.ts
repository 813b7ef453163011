/** HTTP listeners for callers (lookup, forwarding) and for operators' probes. */
import * as Http from "node:http";
import type * as Net from "node:net";
import type * as ConnectionGate from "../connection_gate.ts";
import type * as ConnectionLimits from "../connection_limits.ts";
import type * as Contracts from "../contracts.ts";
import * as Respond from "../forward/respond.ts";
import * as HttpConnections from "../http_connections.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import * as CallerLimits from "./caller_limits.ts";

const MAX_HEADER_BYTES = 16 * 1024;
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/** The default of 30 s would leave a head three times its time. */
const HEAD_CHECK_INTERVAL_MS = 500;
const LISTEN_BACKLOG = 1_024;

/** A running listener. */
export interface HttpListener {
  readonly address: Types.Address;
  /** Number of requests whose response is not complete. */
  getInFlight(): number;
  /** Makes each following response close its connection. */
  setClosing(): void;
  /** Accepts the connections that the kernel holds, stops accepting, closes idle ones, and resolves when all have closed. */
  close(): Promise<void>;
}

/** Request handlers of the callers' listener. */
export interface CallerHandlers {
  readonly lookup: (
    req: Http.IncomingMessage,
    res: Http.ServerResponse,
  ) => void;
  readonly service: (
    req: Http.IncomingMessage,
    res: Http.ServerResponse,
  ) => Promise<void>;
}

/** Splits `host:port`; removes the brackets of an IPv6 address. */
export function parseHostPort(address: Types.Address): {
  readonly host: string;
  readonly port: number;
} {
  const colonIndex = address.lastIndexOf(":");
  const host = address.slice(0, colonIndex).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colonIndex + 1)) };
}

function listen(server: Http.Server, address: Types.Address): Promise<string> {
  const { host, port } = parseHostPort(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => {
      server.off("error", reject);
      const boundAddress = server.address() as Net.AddressInfo;
      const hostText = boundAddress.family === "IPv6"
        ? `[${boundAddress.address}]`
        : boundAddress.address;
      resolve(`${hostText}:${boundAddress.port}`);
    });
  });
}

/**
 * Rejects malformed HTTP. The outcome is unknown when the connection has a request
 * in progress, because a part of its malformed body may have reached a target.
 */
function rejectMalformedRequest(
  err: NodeJS.ErrnoException,
  socket: Net.Socket,
  hasRequestInProgress: boolean,
): void {
  const outcome: Types.Outcome = hasRequestInProgress ? "unknown" : "not-run";
  const isTooLarge = err.code === "HPE_HEADER_OVERFLOW";
  const status = isTooLarge
    ? "431 Request Header Fields Too Large"
    : "400 Bad Request";
  const body = JSON.stringify({
    code: 106,
    name: "bad-request",
    message: "The request is malformed",
    outcome,
  });
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n` +
      `anvilroute-code: 106\r\nanvilroute-outcome: ${outcome}\r\n\r\n${body}`,
  );
}

async function startListener(
  address: Types.Address,
  gate: ConnectionGate.ConnectionGate,
  limits: ConnectionLimits.ConnectionLimits,
  onRequest: (req: Http.IncomingMessage, res: Http.ServerResponse) => void,
): Promise<HttpListener> {
  let isClosing = false;
  /** Number of requests in progress per connection. */
  const requestCounts = new Map<Net.Socket, number>();
  const server = Http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: limits.headerTimeoutMs,
      connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
      // The request's deadline limits the time for its body.
      requestTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    },
    (req, res) => {
      // Without a listener, a connection error would end the process.
      req.on("error", () => {});
      res.on("error", () => {});
      if (isClosing) res.shouldKeepAlive = false;
      if (!admit(req, res)) return;
      const { socket } = req;
      requestCounts.set(socket, (requestCounts.get(socket) ?? 0) + 1);
      res.once("close", () => {
        const remaining = (requestCounts.get(socket) ?? 0) - 1;
        if (remaining > 0) requestCounts.set(socket, remaining);
        else requestCounts.delete(socket);
      });
      onRequest(req, res);
    },
  );
  const connections = HttpConnections.trackConnections(server);
  const admit = gate.watch(server, () => limits);
  // In a pipeline only the first response closes with the connection.
  server.on("connection", (socket: Net.Socket) => {
    socket.once("close", () => requestCounts.delete(socket));
  });
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
    rejectMalformedRequest(err, socket, requestCounts.has(socket));
  });
  return {
    address: await listen(server, address),
    getInFlight: () =>
      [...requestCounts.values()].reduce((sum, count) => sum + count, 0),
    setClosing() {
      isClosing = true;
    },
    close() {
      isClosing = true;
      return new Promise((resolve) => void connections.stop(resolve));
    },
  };
}

/** Starts the callers' listener: `/s/` and `/v1/lookup`. Rejects when it can't be bound. */
export function startCallerListener(
  address: Types.Address,
  handlers: CallerHandlers,
  log: Log.Logger,
  limits: CallerLimits.CallerLimits = CallerLimits.createDefaultLimits(log),
): Promise<HttpListener> {
  return startListener(address, limits.gate, limits.callers, (req, res) => {
    const url = req.url ?? "";
    if (url.startsWith("/s/")) {
      handlers.service(req, res).catch((err) => {
        log.error("request-failed", { err: String(err) });
        rejectAfterError(res);
      });
      return;
    }
    if (/^\/v1\/lookup(\?|$)/.test(url) && req.method === "GET") {
      return handlers.lookup(req, res);
    }
    const rejection = Respond.createRejection(
      "badRequest",
      "not-run",
      undefined,
      "no such path",
    );
    Respond.sendRejection(res, rejection, "none");
  });
}

/** Ends a request after an unexpected error; it is unknown whether the request ran. */
function rejectAfterError(res: Http.ServerResponse): void {
  if (res.headersSent) res.destroy();
  else {
    Respond.sendRejection(
      res,
      Respond.createRejection("internal", "unknown"),
      "none",
    );
  }
}

/** Starts the operators' listener: `/healthz` and `/metrics`. Rejects when it can't be bound. */
export function startProbeListener(
  address: Types.Address,
  metrics: Contracts.Metrics,
  getState: () => Types.MemberState,
  limits: CallerLimits.CallerLimits,
): Promise<HttpListener> {
  return startListener(address, limits.gate, limits.probes, (req, res) => {
    switch (req.url) {
      case "/healthz": {
        const state = getState();
        const body = JSON.stringify({ state });
        res.writeHead(state === "live" ? 200 : 503, {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        });
        res.end(body);
        return;
      }
      case "/metrics": {
        const metricsText = metrics.formatText();
        res.writeHead(200, {
          "content-type": "text/plain; version=0.0.4",
          "content-length": Buffer.byteLength(metricsText),
        });
        res.end(metricsText);
        return;
      }
      default:
        res.writeHead(404, { "content-length": 0 });
        res.end();
    }
  });
}
