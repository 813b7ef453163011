/** HTTP listeners: callers (lookup, forwarding) and operators' probes. */
import * as Http from "node:http";
import type * as Net from "node:net";
import type * as Contracts from "../contracts.ts";
import * as Respond from "../forward/respond.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";

const MAX_HEADER_BYTES = 16 * 1024;
/** A caller that is slower than this with its headers holds a connection for nothing. */
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
const MAX_CONNECTIONS = 20_000;
const LISTEN_BACKLOG = 1_024;

/** A running listener. */
export interface HttpListener {
  readonly address: Types.Address;
  /** Requests whose answer is not finished. */
  getInFlight(): number;
  /** From now on each answer ends its connection. */
  setClosing(): void;
  /** Stops accepting, closes idle connections, and resolves when the others are done. */
  close(): Promise<void>;
}

/** Handlers of the callers' listener. */
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

/** Splits `host:port`. */
export function parseHostPort(address: Types.Address): {
  readonly host: string;
  readonly port: number;
} {
  const at = address.lastIndexOf(":");
  const host = address.slice(0, at).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(at + 1)) };
}

function listen(server: Http.Server, address: Types.Address): Promise<string> {
  const { host, port } = parseHostPort(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => {
      server.off("error", reject);
      const bound = server.address() as Net.AddressInfo;
      const shownHost = bound.family === "IPv6"
        ? `[${bound.address}]`
        : bound.address;
      resolve(`${shownHost}:${bound.port}`);
    });
  });
}

/**
 * Answers malformed HTTP. When the body of a request in progress is malformed,
 * a part of it may have reached a target.
 */
function onClientError(
  err: NodeJS.ErrnoException,
  socket: Net.Socket,
  isBusy: boolean,
): void {
  const outcome: Types.Outcome = isBusy ? "unknown" : "not-run";
  if (err.code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
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
  onRequest: (req: Http.IncomingMessage, res: Http.ServerResponse) => void,
): Promise<HttpListener> {
  let inFlight = 0;
  let isClosing = false;
  /** Requests in progress by their connection. */
  const busy = new Map<Net.Socket, number>();
  const server = Http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      // Bodies are bounded by the request's own deadline.
      requestTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    },
    (req, res) => {
      inFlight++;
      const { socket } = req;
      busy.set(socket, (busy.get(socket) ?? 0) + 1);
      res.once("close", () => {
        inFlight--;
        const left = (busy.get(socket) ?? 0) - 1;
        if (left > 0) busy.set(socket, left);
        else busy.delete(socket);
      });
      if (isClosing) res.shouldKeepAlive = false;
      onRequest(req, res);
    },
  );
  server.maxConnections = MAX_CONNECTIONS;
  server.on(
    "clientError",
    (err, socket: Net.Socket) => onClientError(err, socket, busy.has(socket)),
  );
  return {
    address: await listen(server, address),
    getInFlight: () => inFlight,
    setClosing() {
      isClosing = true;
    },
    close() {
      isClosing = true;
      return new Promise((resolve) => {
        server.close(() => resolve());
        server.closeIdleConnections();
      });
    },
  };
}

/** Starts the callers' listener. */
export function startCallerListener(
  address: Types.Address,
  handlers: CallerHandlers,
  log: Log.Logger,
): Promise<HttpListener> {
  return startListener(address, (req, res) => {
    // A connection error has no other listener and must not end the process.
    req.on("error", () => {});
    res.on("error", () => {});
    const url = req.url ?? "";
    if (url.startsWith("/s/")) {
      handlers.service(req, res).catch((err) => {
        log.error("request-failed", { err: String(err) });
        failRequest(res);
      });
      return;
    }
    if (/^\/v1\/lookup(\?|$)/.test(url) && req.method === "GET") {
      return handlers.lookup(req, res);
    }
    const refusal = Respond.createRejection(
      "badRequest",
      "not-run",
      undefined,
      "no such path",
    );
    Respond.sendRejection(res, refusal, "none");
  });
}

/** After an unexpected fault nobody knows whether the request ran. */
function failRequest(res: Http.ServerResponse): void {
  if (res.headersSent) res.destroy();
  else {
    Respond.sendRejection(
      res,
      Respond.createRejection("internal", "unknown"),
      "none",
    );
  }
}

/** Starts the operators' listener: `/healthz` and `/metrics`. */
export function startProbeListener(
  address: Types.Address,
  metrics: Contracts.Metrics,
  getState: () => Types.MemberState,
): Promise<HttpListener> {
  return startListener(address, (req, res) => {
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
        const text = metrics.formatText();
        res.writeHead(200, {
          "content-type": "text/plain; version=0.0.4",
          "content-length": Buffer.byteLength(text),
        });
        res.end(text);
        return;
      }
      default:
        res.writeHead(404, { "content-length": 0 });
        res.end();
    }
  });
}
