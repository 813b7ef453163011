/** Stand-in for a target on the users' platform: registers itself, serves, records what ran. */
import * as Http from "node:http";
import type * as Net from "node:net";
import type * as KvStore from "./kv_store.ts";

/** What the target does with the next requests. */
export type Behaviour =
  | "serve"
  /** Says that it did not run the request. */
  | "shed"
  /** Runs it and resets the connection. */
  | "reset"
  /** Runs it and resets all connections, like a process that ends. */
  | "crash"
  /** Runs it and never answers. */
  | "hang"
  /** Another target has the address. */
  | "other-target";

/** A running target. */
export interface KvTarget {
  readonly id: string;
  readonly address: string;
  /** Ids of the requests that ran, in order. */
  readonly ran: readonly string[];
  /** Headers of the requests that arrived. */
  readonly seen: readonly Http.IncomingHttpHeaders[];
  /** Monotonic ms at which each request arrived. */
  readonly arrivedAtMs: readonly number[];
  /** Requests whose connection the gateway closed before the answer. */
  getCancelled(): number;
  setBehaviour(behaviour: Behaviour): void;
  /** Sets the status line that it writes when it serves a request; undefined for a proper one. */
  setStatusLine(line: string | undefined): void;
  /** Sets how long each request runs before it is served. */
  setServiceMs(ms: number): void;
  /** Sets the length of the bodies of its responses; they are short by default. */
  setBodyBytes(bytes: number): void;
  /** Sets the requests per second that the target names in its responses; undefined for none. */
  setRateLimit(perS: number | undefined): void;
  /** Sets headers that it adds to all its responses, for example what it says of itself. */
  setHeaders(headers: Http.OutgoingHttpHeaders): void;
  register(state?: "ready" | "draining", over?: object): void;
  close(): Promise<void>;
}

/** Starts a target of a service in a zone and registers it. */
export async function startKvTarget(
  store: KvStore.KvStore,
  id: string,
  service: string,
  zone: string,
): Promise<KvTarget> {
  const ran: string[] = [];
  const seen: Http.IncomingHttpHeaders[] = [];
  const arrivedAtMs: number[] = [];
  let rateLimitPerS: number | undefined;
  let behaviour: Behaviour = "serve";
  let serviceMs = 0;
  let statusLine: string | undefined;
  let longBody: Buffer | undefined;
  let statedHeaders: Http.OutgoingHttpHeaders = {};
  let cancelled = 0;
  const server = Http.createServer({
    keepAliveTimeout: 10_000,
    maxHeaderSize: 64 * 1_024,
  }, (req, res) => {
    const requestId = String(req.headers["x-request-id"]);
    seen.push(req.headers);
    arrivedAtMs.push(performance.now());
    if (rateLimitPerS !== undefined) {
      res.setHeader("Server-Limit", String(rateLimitPerS));
    }
    res.setHeader("X-Server-Load", `${0},0,4`);
    for (const [name, value] of Object.entries(statedHeaders)) {
      if (value !== undefined) res.setHeader(name, value);
    }
    res.setHeader("X-Request-Id", requestId);
    res.on("close", () => {
      if (!res.writableFinished) cancelled++;
    });
    const chunks: Buffer[] = [];
    req.on("data", (chunk: Buffer) => chunks.push(chunk));
    req.on("end", () => {
      switch (behaviour) {
        case "shed":
          res.writeHead(503, { "X-Not-Run": "1" });
          return void res.end();
        case "other-target":
          res.writeHead(421, { "X-Instance-Id": "i-other" });
          return void res.end();
        case "reset":
          ran.push(requestId);
          return void req.socket.resetAndDestroy();
        case "crash":
          ran.push(requestId);
          for (const socket of sockets) socket.resetAndDestroy();
          return;
        case "hang":
          ran.push(requestId);
          return;
        case "serve":
          ran.push(requestId);
          if (statusLine !== undefined) {
            return void req.socket.write(
              `${statusLine}\r\nX-Request-Id: ${requestId}\r\n` +
                "X-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
            );
          }
          res.setHeader("X-Server-Stamp", `stamp.${id}`);
          return void setTimeout(
            () =>
              res.end(longBody ?? `${id} ${Buffer.concat(chunks).toString()}`),
            serviceMs,
          );
      }
    });
  });
  const sockets = new Set<Net.Socket>();
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as Net.AddressInfo;
  const entry = {
    service,
    address: `127.0.0.1:${port}`,
    zone,
    version: "v1",
    capacity: 4,
    coldLeftMs: 0,
    callSeq: 1,
    born: 1,
  };
  const register: KvTarget["register"] = (state = "ready", over = {}) =>
    store.put(`servers/${id}`, JSON.stringify({ ...entry, state, ...over }));
  register();
  return {
    id,
    address: entry.address,
    ran,
    seen,
    arrivedAtMs,
    getCancelled: () => cancelled,
    setBehaviour: (next) => void (behaviour = next),
    setHeaders: (headers) => void (statedHeaders = headers),
    setStatusLine: (line) => void (statusLine = line),
    setServiceMs: (ms) => void (serviceMs = ms),
    setBodyBytes: (bytes) => void (longBody = Buffer.alloc(bytes, "x")),
    setRateLimit: (perS) => void (rateLimitPerS = perS),
    register,
    close() {
      server.closeAllConnections();
      return new Promise((done) => server.close(() => done()));
    },
  };
}
