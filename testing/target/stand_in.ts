/**
 * Stand-in for a target: runs requests in a bounded number of slots, reports
 * health and load, and shows the faults that a test sets. Promise: it records
 * what it received and did truthfully whatever faults are set; a crash in mode
 * `exit` loses the records with the process.
 */
import * as Http from "node:http";
import type * as Net from "node:net";
import type * as Types from "../../src/types.ts";
import * as Control from "./control.ts";
import * as Exchange from "./exchange.ts";
import * as Faults from "./faults.ts";
import * as Records from "./records.ts";
import * as Registration from "./registration.ts";

/** About 2 KB each; forty stand-ins stay under 2 GB. */
const DEFAULT_MAX_RECORDS = 20_000;
const DEFAULT_RESTART_MS = 500;
/** Longer than any client's, so that the client closes idle connections first. */
const KEEP_ALIVE_MS = 75_000;
const IDLE_CHECK_MS = 20;

/** Command line of a target stand-in. */
export interface StandInOptions {
  readonly id: string;
  readonly service: Types.Service;
  readonly domain: Types.Domain;
  readonly region: Types.Region;
  /** `ip:port`; port 0 lets the operating system choose. */
  readonly listen?: Types.Address;
  readonly control?: Types.Address;
  /** Address for the instance list, when it differs from `listen`. */
  readonly advertise?: Types.Address | undefined;
  readonly slots: number;
  readonly serviceMs: number;
  /** Address of the platform whose instance list gets the entry. */
  readonly platform?: Types.Address | undefined;
  readonly coldMs?: number | undefined;
  readonly crashOn?: string | undefined;
  readonly maxRecords?: number | undefined;
  /** Gets each record as it starts, when its body is read, and as it ends. */
  readonly onRecord?: (record: Records.ExecutionRecord) => void;
  /** Called on a crash in mode `exit`; the default closes the listeners. */
  readonly onCrash?: () => void;
}

/** What `/stats` on the control listener answers. */
export interface StandInStats {
  readonly id: string;
  readonly inUse: number;
  readonly maxInUse: number;
  readonly executions: number;
  readonly shed: number;
  readonly crashes: number;
  readonly probes: number;
  readonly connections: number;
  readonly maxConnections: number;
  readonly openedConnections: number;
  readonly startedWhileLeaving: number;
  /** Wall-clock ms at which it announced that it is leaving. */
  readonly leavingSinceWallMs: number | undefined;
  readonly droppedRecords: number;
}

/** A running target stand-in. */
export interface StandIn {
  readonly listen: Types.Address;
  readonly control: Types.Address;
  setFaults(change: unknown): Faults.Faults;
  getFaults(): Faults.Faults;
  getRecords(after?: number): readonly Records.ExecutionRecord[];
  getStats(): StandInStats;
  /** Announces leaving, finishes what runs and what arrives in `graceMs`, and closes. */
  leave(graceMs: number): Promise<void>;
  /** Ends at once, cutting connections, and deletes the registration. */
  close(): Promise<void>;
}

/** Counters that the parts of a stand-in share. */
export interface StandInState {
  readonly opts: StandInOptions;
  readonly records: Records.Records;
  faults: Faults.Faults;
  /** Monotonic ms at which the cold phase began. */
  coldSinceMs: number;
  frozenInUse: number;
  inUse: number;
  maxInUse: number;
  executions: number;
  shed: number;
  crashes: number;
  probes: number;
  connections: number;
  maxConnections: number;
  openedConnections: number;
  startedWhileLeaving: number;
  leavingSinceWallMs: number | undefined;
}

function createState(opts: StandInOptions): StandInState {
  const faults = { crashOn: opts.crashOn, coldMs: opts.coldMs };
  return {
    opts,
    records: Records.createRecords(
      opts.maxRecords ?? DEFAULT_MAX_RECORDS,
      opts.onRecord,
    ),
    faults: Faults.mergeFaults({}, faults),
    coldSinceMs: performance.now(),
    frozenInUse: 0,
    inUse: 0,
    maxInUse: 0,
    executions: 0,
    shed: 0,
    crashes: 0,
    probes: 0,
    connections: 0,
    maxConnections: 0,
    openedConnections: 0,
    startedWhileLeaving: 0,
    leavingSinceWallMs: undefined,
  };
}

function setFaults(state: StandInState, change: unknown): Faults.Faults {
  const wasLeaving = state.faults.leaving === true;
  state.faults = Faults.mergeFaults(state.faults, change);
  const changed = change as Faults.Faults;
  if (changed.coldMs !== undefined) state.coldSinceMs = performance.now();
  if (changed.load?.kind === "frozen") state.frozenInUse = state.inUse;
  const isLeaving = state.faults.leaving === true;
  if (isLeaving && !wasLeaving) state.leavingSinceWallMs = Date.now();
  if (!isLeaving) state.leavingSinceWallMs = undefined;
  return state.faults;
}

function getStats(state: StandInState): StandInStats {
  return {
    id: state.opts.id,
    inUse: state.inUse,
    maxInUse: state.maxInUse,
    executions: state.executions,
    shed: state.shed,
    crashes: state.crashes,
    probes: state.probes,
    connections: state.connections,
    maxConnections: state.maxConnections,
    openedConnections: state.openedConnections,
    startedWhileLeaving: state.startedWhileLeaving,
    leavingSinceWallMs: state.leavingSinceWallMs,
    droppedRecords: state.records.getDropped(),
  };
}

/** Listens on `address` and returns the address with the port in use. */
function listen(server: Net.Server, address: string): Promise<string> {
  const at = address.lastIndexOf(":");
  const host = address.slice(0, at);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(address.slice(at + 1)), host, () => {
      server.off("error", reject);
      resolve(`${host}:${(server.address() as Net.AddressInfo).port}`);
    });
  });
}

function countConnections(state: StandInState, socket: Net.Socket): void {
  state.connections++;
  state.openedConnections++;
  state.maxConnections = Math.max(state.maxConnections, state.connections);
  socket.on("close", () => state.connections--);
}

/**
 * Holds requests back until their connection is as old as the fault `connectMs`. Loopback
 * connects in microseconds, so this stands for the time of the handshake; only
 * the first request on a connection can wait.
 */
function holdYoung(
  getConnectMs: () => number,
  handle: Http.RequestListener,
): { open(socket: Net.Socket): void; handle: Http.RequestListener } {
  const servedAtMs = new WeakMap<Net.Socket, number>();
  return {
    open: (socket) =>
      void servedAtMs.set(socket, performance.now() + getConnectMs()),
    handle(req, res) {
      const waitMs = (servedAtMs.get(req.socket) ?? 0) - performance.now();
      if (waitMs <= 0) handle(req, res);
      else setTimeout(() => handle(req, res), waitMs);
    },
  };
}

/** Closes after the requests in progress; connections go as they become idle. */
function closeServer(server: Http.Server): Promise<void> {
  return new Promise((resolve) => {
    const timer = setInterval(
      () => server.closeIdleConnections(),
      IDLE_CHECK_MS,
    );
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
  });
}

/** Starts a target stand-in; rejects when an address cannot be listened on. */
export async function createTargetStandIn(
  opts: StandInOptions,
): Promise<StandIn> {
  const state = createState(opts);
  const exchange = Exchange.createExchange(state, crash);
  const server = Http.createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
  server.requestTimeout = 0;
  const held = holdYoung(() => state.faults.connectMs ?? 0, exchange.handle);
  server.on("connection", held.open);
  server.on("connection", (socket) => countConnections(state, socket));
  server.on("request", held.handle);
  const listenAt = await listen(server, opts.listen ?? "127.0.0.1:0");
  let isClosed = false;
  let restartTimer: NodeJS.Timeout | undefined;

  function crash(): void {
    state.crashes++;
    if (state.faults.crashMode !== "restart" && opts.onCrash) opts.onCrash();
    exchange.abandonAll();
    server.close();
    server.closeAllConnections();
    if (state.faults.crashMode !== "restart") return;
    const delayMs = state.faults.restartMs ?? DEFAULT_RESTART_MS;
    restartTimer = setTimeout(() => void restart(), delayMs);
  }

  async function restart(): Promise<void> {
    if (isClosed) return;
    state.coldSinceMs = performance.now();
    await listen(server, listenAt);
  }

  const control = Http.createServer(Control.createHandler({
    setFaults: (change) => setFaults(state, change),
    getFaults: () => state.faults,
    getRecords: state.records.list,
    getStats: () => getStats(state),
  }));
  const controlAt = await listen(control, opts.control ?? "127.0.0.1:0");

  const getInstance = (): Types.PlatformInstance => ({
    id: opts.id,
    service: opts.service,
    domain: opts.domain,
    region: opts.region,
    address: opts.advertise ?? listenAt,
    slots: opts.slots,
    state: Faults.isAnnouncedBy(state.faults, "list") ? "leaving" : "live",
  });
  const registration = opts.platform === undefined
    ? undefined
    : Registration.startRegistration(opts.platform, getInstance);

  async function close(): Promise<void> {
    isClosed = true;
    clearTimeout(restartTimer);
    exchange.abandonAll();
    await registration?.remove();
    for (const each of [server, control]) {
      const closed = closeServer(each);
      each.closeAllConnections();
      await closed;
    }
  }

  return {
    listen: listenAt,
    control: controlAt,
    setFaults: (change) => setFaults(state, change),
    getFaults: () => state.faults,
    getRecords: state.records.list,
    getStats: () => getStats(state),
    async leave(graceMs) {
      setFaults(state, { leaving: true });
      await registration?.refresh();
      await new Promise((resolve) => setTimeout(resolve, graceMs));
      await closeServer(server);
      await close();
    },
    close,
  };
}
