/** The peer network of this instance: connections, heartbeats, members and calls. */
import * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Log from "../log.ts";
import type * as Supervisor from "../supervisor.ts";
import type * as Types from "../types.ts";
import * as Calls from "./calls.ts";
import * as Connection from "./connection.ts";
import * as Dial from "./dial.ts";
import * as Dialer from "./dialer.ts";
import * as Discards from "./discards.ts";
import * as Discovery from "./discovery.ts";
import * as Drops from "./drops.ts";
import type * as Handshake from "./handshake.ts";
import * as Heartbeat from "./heartbeat.ts";
import * as Listing from "./listing.ts";
import * as Listener from "./listener.ts";
import * as Members from "./members.ts";
import * as Mesh from "./mesh.ts";
import * as Registry from "./registry.ts";
import * as Release from "./release.ts";
import * as SendBudget from "./send_budget.ts";
import * as Tasks from "./tasks.ts";

/** Time in ms between heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/** Number of heartbeats after which the mesh is computed even if no change was noticed: a silent peer changes nothing. */
const MESH_REFRESH_HEARTBEATS = 3;
/** Time in ms between two checks for connections without data. */
const TICK_INTERVAL_MS = 500;
/**
 * Consecutive ticks without data after which a connection to a peer is closed.
 * Ticks are counted instead of time, so that a pause of this process does not
 * close its connections.
 */
const MAX_TICKS_WITHOUT_DATA = 7;
/**
 * Consecutive ticks without data after which a connection of the operators'
 * tool is closed. The tool sends no heartbeats, and its calls take seconds.
 */
const TOOL_MAX_TICKS_WITHOUT_DATA = 240;

/** Whether a peer responds; "refused" means that its process has ended. */
export type Reachability = Calls.Reachability;

/** The peer network, with the functions that only the daemon needs. */
export interface Net extends Contracts.PeerNet {
  /**
   * Starts to listen and to connect; returns the bound address. Rejects if the
   * listen address can't be bound.
   */
  listen(): Promise<Types.Address>;
  /** Closes all connections and stops listening. */
  close(): Promise<void>;
  getReachability(id: Types.InstanceId): Reachability;
  /** False for a member that is leaving or whose last connection attempt failed. */
  isUsable(id: Types.InstanceId): boolean;
  /** Number of peers with an open connection. */
  getConnectedCount(): number;
  /** Sends a heartbeat at once, as one of its fields has changed. */
  sendHeartbeatNow(): void;
  /** Accepts peers that know this secret, too. */
  addSecret(secret: string): void;
  /** Messages discarded since the start, because they were malformed or too long to send. */
  getDiscardedCount(): number;
  /** What waits for peers, and what was dropped and closed since the start because of that. */
  getSendUsage(): Drops.SendUsage;
  /** Bytes of all peer connections since the process started. */
  getBytes(): { readonly received: number; readonly sent: number };
}

/** Selects, among all members without this instance, those to connect to. */
export type SelectPeers = (
  members: readonly Mesh.MeshMember[],
) => ReadonlySet<Types.InstanceId>;

/** Arguments of `createPeerNet`. */
export interface NetArgs {
  readonly self: Types.InstanceId;
  readonly incarnation: string;
  readonly domain: Types.Domain;
  readonly listen: Types.Address;
  readonly seeds: readonly Types.Address[];
  readonly secret: string;
  /** Returns the current heartbeat of this instance. */
  readonly getHeartbeat: () => Types.Heartbeat;
  readonly supervisor: Supervisor.Supervisor;
  readonly log: Log.Logger;
  readonly clock: Clock.Clock;
  /**
   * Called after heartbeats were sent to all peers; messages sent in the call
   * share their packets.
   */
  readonly onHeartbeatsSent?: (() => void) | undefined;
  /** Source IP of outgoing connections; the system chooses it if undefined. */
  readonly localAddress?: string | undefined;
  /** Memory that the process may use, bytes; bounds what may wait for peers. */
  readonly memoryBytes?: number | undefined;
  /** Selects the members to connect to; `Mesh.selectPeers` if undefined. */
  readonly selectPeers?: SelectPeers | undefined;
}

/** Creates the peer network; it opens no socket before `listen()`. */
export function createPeerNet(args: NetArgs): Net {
  const { self, incarnation, clock, log } = args;
  const secrets = [args.secret];
  const selectPeers = args.selectPeers ??
    ((members) => Mesh.selectPeers({ id: self, domain: args.domain }, members));
  const discards = Discards.createDiscards({ clock, log });
  const drops = Drops.createDrops({ clock, log });
  const budget = SendBudget.createSendBudget({
    clock,
    maxQueuedBytes: args.memoryBytes === undefined
      ? undefined
      : SendBudget.getMaxQueuedBytes(args.memoryBytes),
  });
  const server = Connection.createServer((method, conn, err) =>
    discards.record({ method, peer: conn.remote.id, reason: String(err) })
  );
  const tasks = Tasks.createTaskGroup(log);
  const connectionChanges = Tasks.createNotifier();
  const registry = Registry.createRegistry(self, incarnation, log);
  const listing = Listing.createListing();
  const codecs = new WeakMap<Connection.Connection, Heartbeat.Codec>();
  const toolConnections = new Set<Connection.Connection>();
  const heartbeatListeners: ((heartbeat: Types.Heartbeat) => void)[] = [];
  /** Members to which the topology requires a connection. */
  let meshIds: ReadonlySet<Types.InstanceId> = new Set();
  /** Encoded members from which `meshIds` was computed. */
  let meshInput = "";
  /** True if members, their states or connections changed since the mesh was computed. */
  let isMeshStale = true;
  let heartbeatCount = 0;
  let lastSeq = 0;

  const members = Members.createMembers(self, canTrustRelay, clock);
  const identity: Handshake.Identity = {
    id: self,
    incarnation,
    role: "peer",
    seq: 0,
  };
  const dialer = Dialer.createDialer({
    async dial(address) {
      const seq = ++lastSeq;
      const dialed = await Dial.dial({
        localAddress: args.localAddress,
        address,
        self: { ...identity, seq },
        // The acceptor may know any one of them only.
        secret: secrets[seq % secrets.length]!,
        server,
        clock,
        budget,
      });
      if (dialed.isErr()) isMeshStale = true;
      return dialed;
    },
    serve,
    isConnectionMissing,
    isAddressObsolete: (id, address) =>
      members.tryGet(id)?.heartbeat.peerAddress !== address,
    hasManyPeers: () =>
      registry.getPreferred().length >= Mesh.FULL_MESH_MEMBERS,
    seeds: args.seeds,
    tasks,
    log,
    clock,
  });
  const listener = Listener.createListener({
    listen: args.listen,
    self: identity,
    getSecrets: () => secrets,
    server,
    tasks,
    serve,
    log,
    clock,
    budget,
  });

  const calls = Calls.createCalls({
    members,
    registry,
    dialer,
    isInMesh: (id) => meshIds.has(id),
    connectionChanges,
    clock,
  });

  /**
   * False for a member that this instance connects to itself: evidence from
   * other peers does not make it reachable here.
   */
  function canTrustRelay(id: Types.InstanceId, sentAtMs: number): boolean {
    if (meshIds.has(id) || registry.tryGet(id) !== undefined) return false;
    return sentAtMs > calls.getFailedAtMs(id);
  }

  function isConnectionMissing(id: Types.InstanceId): boolean {
    if (id === self || registry.tryGet(id) !== undefined) return false;
    return meshIds.has(id) || calls.hasRecentCall(id);
  }

  async function serve(conn: Connection.Connection): Promise<void> {
    if (conn.remote.role === "tool") {
      toolConnections.add(conn);
      await conn.closed;
      toolConnections.delete(conn);
      return;
    }
    if (!registry.add(conn)) return;
    calls.recordConnectionChange(conn.remote.id, "connected");
    isMeshStale = true;
    sendHeartbeat(conn, args.getHeartbeat());
    connectionChanges.notify();
    const reason = await conn.closed;
    registry.remove(conn);
    isMeshStale = true;
    if (registry.tryGet(conn.remote.id) === undefined) {
      const kind = Release.isRelease(reason) ? "released" : "lost";
      calls.recordConnectionChange(conn.remote.id, kind);
    }
    log.info("peer-connection-closed", { peer: conn.remote.id, reason });
    connectionChanges.notify();
    dialer.check();
  }

  function getCodec(conn: Connection.Connection): Heartbeat.Codec {
    const existing = codecs.get(conn);
    if (existing !== undefined) return existing;
    const codec = Heartbeat.createCodec(conn.openedAtMs, conn.remote);
    codecs.set(conn, codec);
    return codec;
  }

  function sendHeartbeat(
    conn: Connection.Connection,
    heartbeat: Types.Heartbeat,
  ): void {
    const params = getCodec(conn).encode(heartbeat, clock.nowMs());
    conn.notify("heartbeat", params);
  }

  function receiveHeartbeat(
    params: unknown,
    conn: Connection.Connection,
  ): void {
    // Heartbeats that arrive after a connection was replaced are ignored.
    if (conn.isClosed() || conn.remote.role !== "peer") return;
    const received = getCodec(conn).decode(params, clock.nowMs());
    if (received === undefined) return conn.close("malformed heartbeat");
    const { heartbeat } = received;
    const previous = members.tryGet(heartbeat.id);
    members.recordHeartbeat(received);
    const isAddressChanged =
      previous?.heartbeat.peerAddress !== heartbeat.peerAddress;
    if (isAddressChanged) addMemberAddresses([heartbeat]);
    if (previous?.heartbeat.state !== heartbeat.state) isMeshStale = true;
    for (const fn of heartbeatListeners) notifyListener(fn, heartbeat);
  }

  /** Catches exceptions, so that the other listeners still receive the heartbeat. */
  function notifyListener(
    fn: (heartbeat: Types.Heartbeat) => void,
    heartbeat: Types.Heartbeat,
  ): void {
    try {
      fn(heartbeat);
    } catch (err) {
      log.error("heartbeat-listener-failed", { err: String(err) });
    }
  }

  function addMemberAddresses(heartbeats: readonly Types.Heartbeat[]): void {
    if (heartbeats.length > 0) updateMesh();
    for (const member of heartbeats) dialer.add(member.peerAddress, member.id);
  }

  /** Encodes a notification; undefined if it is too long to send. */
  function formatNotification(
    method: string,
    params: unknown,
  ): string | undefined {
    const line = Connection.formatNotification(method, params);
    if (line === undefined) {
      discards.record({ method, reason: "message too long to send" });
    }
    return line;
  }

  function sendDroppable(
    conn: Connection.Connection,
    method: string,
    line: string,
  ): void {
    const reason = conn.sendDroppable(line);
    if (reason === undefined) return;
    const bytes = Buffer.byteLength(line);
    drops.record({ method, peer: conn.remote.id, reason, bytes });
  }

  function isUsable(id: Types.InstanceId): boolean {
    const isLeaving = members.tryGetHeartbeat(id)?.state === "leaving";
    return !isLeaving && !calls.isFailing(id);
  }

  function updateMesh(): void {
    isMeshStale = false;
    const meshMembers = members.getAll().map(({ heartbeat }) => ({
      id: heartbeat.id,
      domain: heartbeat.domain,
      capacity: heartbeat.capacity,
      isUsable: isUsable(heartbeat.id),
    }));
    // The mesh is ranked only if its input changed: in a large fleet ranking
    // every second costs more than the heartbeats.
    const input = meshMembers.map(({ capacity, domain, id, isUsable }) =>
      `${id} ${domain} ${capacity} ${isUsable}`
    ).join("\n");
    if (input === meshInput) return;
    meshInput = input;
    meshIds = selectPeers(meshMembers);
    dialer.check();
  }

  function sendHeartbeats(): void {
    members.removeExpired((id) => calls.getReachability(id) === "refused");
    calls.removeExpired();
    heartbeatCount++;
    if (isMeshStale || heartbeatCount % MESH_REFRESH_HEARTBEATS === 0) {
      updateMesh();
      dialer.check();
    }
    Release.closeUnneeded(
      registry.getPreferred(),
      (id) => meshIds.has(id) || calls.hasRecentCall(id),
      clock,
    );
    sendHeartbeatNow();
    args.onHeartbeatsSent?.();
  }

  function sendHeartbeatNow(): void {
    const heartbeat = args.getHeartbeat();
    for (const conn of registry.getAll()) sendHeartbeat(conn, heartbeat);
  }

  function closeStaleConnections(): void {
    registry.closeStale(MAX_TICKS_WITHOUT_DATA);
    for (const conn of toolConnections) {
      const ticksWithoutData = conn.countTickWithoutData();
      if (ticksWithoutData >= TOOL_MAX_TICKS_WITHOUT_DATA) conn.close("idle");
    }
  }

  async function close(): Promise<void> {
    const closed = listener.close();
    await tasks.stop();
    await closed;
  }

  server.addMethod(
    "heartbeat",
    (params, conn) => receiveHeartbeat(params, conn),
  );
  Release.addMethod(server);
  server.addMethod(
    "members.list",
    (params) => listing.respond(params, args.getHeartbeat(), members.getAll()),
  );

  return {
    self,
    incarnation,
    getMembers: members.getAll,
    tryGetMember: members.tryGet,
    call: calls.call,
    notifyAll(method, params) {
      const line = formatNotification(method, params);
      if (line === undefined) return;
      for (const conn of registry.getPreferred()) conn.sendLine(line);
    },
    notify(ids, method, params, kind = "required") {
      if (ids.length === 0) return;
      const line = formatNotification(method, params);
      if (line === undefined) return;
      for (const id of ids) {
        const conn = registry.tryGet(id);
        if (kind === "required") conn?.sendLine(line);
        else if (conn !== undefined) sendDroppable(conn, method, line);
      }
    },
    handle(method, fn) {
      server.addMethod(method, (params, conn) => fn(params, conn.remote.id));
    },
    onHeartbeat: (fn) => void heartbeatListeners.push(fn),
    addPeerAddresses: (addresses) =>
      addresses.forEach((address) => dialer.add(address)),
    getReachability: calls.getReachability,
    isUsable,
    getConnectedCount: () => registry.getPreferred().length,
    getDiscardedCount: discards.getCount,
    getSendUsage: () => ({
      queuedBytes: budget.getQueuedBytes(),
      closedConnections: budget.getAbortedCount(),
      dropped: drops.getCounts(),
      droppedBytes: drops.getBytes(),
    }),
    getBytes: registry.getBytes,
    sendHeartbeatNow,
    addSecret: (secret) => void secrets.push(secret),
    async listen() {
      const address = await listener.listen();
      args.seeds.forEach((seed) => dialer.add(seed));
      args.supervisor.every(
        "peer-heartbeats",
        () => Clock.getAlignedDelayMs(HEARTBEAT_INTERVAL_MS, clock),
        sendHeartbeats,
      );
      args.supervisor.every(
        "peer-silence",
        () => Clock.getAlignedDelayMs(TICK_INTERVAL_MS, clock),
        closeStaleConnections,
      );
      Discovery.start({
        supervisor: args.supervisor,
        clock,
        getConnections: registry.getPreferred,
        getMemberCount: () => members.getAll().length + 1,
        self,
        onChanges: (memberChanges, requestedAtMs) =>
          addMemberAddresses(
            members.applyChanges(memberChanges, requestedAtMs),
          ),
      });
      args.supervisor.run("peer-net", async (signal) => {
        if (!signal.aborted) {
          await new Promise((resolve) =>
            signal.addEventListener("abort", resolve)
          );
        }
        await close();
      });
      return address;
    },
    close,
  };
}
