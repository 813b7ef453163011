/**
 * A TCP proxy that injects faults. Changes take effect on open connections.
 *
 * A cut drops bytes silently, as a network does; the connection can't go on
 * without them and is reset when the cut ends. During a cut both ways a new
 * connection is accepted and never reaches the target. A freeze holds bytes and
 * passes them on later, as retransmission does after a short outage.
 */
import * as Net from "node:net";
import * as Clock from "../../src/clock.ts";
import type * as Types from "../../src/types.ts";
import * as HttpJson from "../http_json.ts";
import * as Listener from "../listener.ts";
import * as Faults from "./faults.ts";
import * as Pipe from "./pipe.ts";

const TARGET_PROBE_INTERVAL_MS = 50;

/** What to put a proxy in front of. */
export interface FaultProxyOptions {
  /** May be set later with `setTarget`; until then connections are reset. */
  readonly target?: Types.Address;
  readonly listen?: Types.Address;
  /**
   * Refuses connections while the target refuses them, so that a dead target
   * looks dead through the proxy. Default true.
   */
  readonly mirrorRefusal?: boolean;
}

/** Counters of the proxy. */
export interface ProxyStats {
  readonly open: number;
  readonly accepted: number;
  readonly bytesToTarget: number;
  readonly bytesToClient: number;
}

/** A running proxy. */
export interface FaultProxy {
  readonly address: Types.Address;
  setTarget(target: Types.Address): void;
  getFaults(): Faults.ProxyFaults;
  /** Changes the given faults; resolves when they are in force. */
  setFaults(patch: Faults.FaultPatch): Promise<void>;
  /** Ends all faults. */
  heal(): Promise<void>;
  /** Resets all open connections on both sides. */
  resetConnections(): void;
  getStats(): ProxyStats;
  stop(): Promise<void>;
}

interface Connection {
  readonly client: Net.Socket;
  readonly target: Net.Socket | undefined;
  hasLostBytes: boolean;
}

/** Connects; undefined when that fails. `onRefused` hears of a refusal. */
function tryConnect(
  address: Types.Address,
  onRefused: () => void,
): Promise<Net.Socket | undefined> {
  const { host, port } = HttpJson.parseAddress(address);
  return new Promise((resolve) => {
    const socket = Net.connect({ host, port, allowHalfOpen: true });
    socket.setNoDelay(true);
    socket.once("connect", () => resolve(socket));
    socket.on("error", (err: NodeJS.ErrnoException) => {
      if (err.code === "ECONNREFUSED") onRefused();
      resolve(undefined);
    });
  });
}

/** Starts a proxy. */
export async function createFaultProxy(
  opts: FaultProxyOptions,
): Promise<FaultProxy> {
  const toTarget = Pipe.createDirection();
  const toClient = Pipe.createDirection();
  const connections = new Set<Connection>();
  const stopped = new AbortController();
  let target = opts.target;
  let faults = Faults.NO_FAULTS;
  let accepted = 0;
  let bytesToTarget = 0;
  let bytesToClient = 0;
  let isMirroring = false;

  const isCutOff = () => faults.toTarget.isCut && faults.toClient.isCut;

  function drop(conn: Connection): void {
    connections.delete(conn);
    conn.client.resetAndDestroy();
    conn.target?.resetAndDestroy();
  }

  function dropAll(): void {
    for (const conn of connections) drop(conn);
    listener.resetConnections();
  }

  /** Closes the listener until the target accepts connections again. */
  async function mirrorRefusal(): Promise<void> {
    if (isMirroring || opts.mirrorRefusal === false) return;
    isMirroring = true;
    await updateListener();
    while (!stopped.signal.aborted && target !== undefined) {
      await Clock.sleep(TARGET_PROBE_INTERVAL_MS, stopped.signal);
      const probe = await tryConnect(target, () => {});
      probe?.destroy();
      if (probe !== undefined) break;
    }
    isMirroring = false;
    await updateListener();
  }

  function updateListener(): Promise<void> {
    const isRefusing = faults.refuse || isMirroring || stopped.signal.aborted;
    return listener.setOpen(!isRefusing);
  }

  /** Waits for the target's side while the proxy is frozen; undefined when there is none. */
  async function openTarget(
    client: Net.Socket,
  ): Promise<Net.Socket | undefined> {
    while (faults.toTarget.isFrozen) await toTarget.waitForChange();
    if (target === undefined || client.destroyed) return undefined;
    return await tryConnect(target, () => void mirrorRefusal());
  }

  async function pump(conn: Connection, isToTarget: boolean): Promise<void> {
    const { client, target: server } = conn;
    if (server === undefined) return;
    const [source, sink] = isToTarget ? [client, server] : [server, client];
    const direction = isToTarget ? toTarget : toClient;
    const end = await Pipe.runPipe(source, sink, direction, {
      onLost() {
        conn.hasLostBytes = true;
      },
      onBytes(count) {
        if (isToTarget) bytesToTarget += count;
        else bytesToClient += count;
      },
    });
    if (end === "ended") return;
    if (end === "truncated" && direction.getFaults().truncateBy === "close") {
      sink.end();
      source.destroy();
      return;
    }
    // What is wrong at one side reaches the other only over an intact link.
    while (direction.getFaults().isFrozen) await direction.waitForChange();
    if (direction.getFaults().isCut) conn.hasLostBytes = true;
    else drop(conn);
  }

  async function handle(client: Net.Socket): Promise<void> {
    accepted++;
    client.setNoDelay(true);
    client.on("error", () => {});
    if (isCutOff()) {
      connections.add({ client, target: undefined, hasLostBytes: true });
      return;
    }
    const server = await openTarget(client);
    if (server === undefined) {
      client.resetAndDestroy();
      return;
    }
    const conn = { client, target: server, hasLostBytes: false };
    connections.add(conn);
    await Promise.all([pump(conn, true), pump(conn, false)]);
    if (!conn.hasLostBytes) connections.delete(conn);
  }

  const server = Net.createServer({ allowHalfOpen: true }, (client) => {
    void handle(client);
  });
  const listener = await Listener.createListener(
    server,
    opts.listen ?? "127.0.0.1:0",
  );

  async function apply(next: Faults.ProxyFaults): Promise<void> {
    const isNewlyRefusing = next.refuse && !faults.refuse;
    faults = next;
    toTarget.setFaults(next.toTarget);
    toClient.setFaults(next.toClient);
    if (isNewlyRefusing) dropAll();
    const isHealed = !next.toTarget.isCut && !next.toClient.isCut;
    for (const conn of connections) {
      if (isHealed && conn.hasLostBytes) drop(conn);
    }
    await updateListener();
  }

  return {
    address: listener.address,
    setTarget(next) {
      target = next;
    },
    getFaults: () => faults,
    setFaults: (patch) => apply(Faults.patchFaults(faults, patch)),
    heal: () => apply(Faults.NO_FAULTS),
    resetConnections: dropAll,
    getStats: () => ({
      open: connections.size,
      accepted,
      bytesToTarget,
      bytesToClient,
    }),
    async stop() {
      stopped.abort();
      await apply(Faults.NO_FAULTS);
      dropAll();
    },
  };
}
