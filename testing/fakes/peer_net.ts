/** Peer networks of several instances in one process, and a TCP proxy that can stop forwarding. */
import * as NodeNet from "node:net";
import * as Clock from "../../src/clock.ts";
import * as Log from "../../src/log.ts";
import * as Net from "../../src/peer/net.ts";
import * as Supervisor from "../../src/supervisor.ts";
import type * as Types from "../../src/types.ts";

/** Peer secret of all networks unless a test sets another. */
export const SECRET = "a-secret-for-the-tests";

/** A logger that writes nothing. */
export const quietLog = Log.createLogger("error", {}, () => {});

/** Heartbeat whose fields a test may change while the network runs. */
export type MutableHeartbeat = {
  -readonly [K in keyof Types.Heartbeat]: Types.Heartbeat[K];
};

/** A listening peer network of one instance. */
export interface TestNet {
  readonly net: Net.Net;
  readonly address: Types.Address;
  readonly heartbeat: MutableHeartbeat;
  readonly supervisor: Supervisor.Supervisor;
  stop(): Promise<void>;
}

/** Creates the heartbeat of a live instance; its region is the domain's name up to the first hyphen. */
export function createHeartbeat(id: string, domain: string): MutableHeartbeat {
  return {
    id,
    incarnation: `${id}-run1`,
    domain,
    region: domain.split("-")[0] ?? domain,
    state: "live",
    tableRevision: 0,
    isTableSettled: false,
    keysRevision: 0,
    storeSeenMsAgo: 0,
    isStoreFailing: false,
    relayedStoreSeenMsAgo: 0,
    load: 0.25,
    capacity: 0,
    shards: [],
    callerAddress: "127.0.0.1:1",
    peerAddress: "127.0.0.1:0",
    isStranded: false,
  };
}

/** Creates a member as a peer network reports it; it is reachable if `ageMs` is below 3,000. */
export function createMember(
  id: string,
  domain: string,
  fields: Partial<Types.Heartbeat> = {},
  ageMs = 500,
): Types.Member {
  const heartbeat = createHeartbeat(id, domain);
  const isReachable = ageMs < 3_000;
  return { heartbeat: { ...heartbeat, ...fields }, ageMs, isReachable };
}

/** Starts the peer network of an instance, on a free port unless `listen` is set. */
export async function startNet(
  id: string,
  seeds: readonly Types.Address[],
  opts: {
    readonly domain?: string;
    readonly secret?: string;
    readonly incarnation?: string;
    readonly listen?: Types.Address;
    /** Called before the network listens. */
    readonly prepare?: (
      net: Net.Net,
      supervisor: Supervisor.Supervisor,
    ) => void;
  } = {},
): Promise<TestNet> {
  const heartbeat = createHeartbeat(id, opts.domain ?? "uusimaa-1");
  heartbeat.incarnation = opts.incarnation ?? heartbeat.incarnation;
  const supervisor = Supervisor.createSupervisor(id, quietLog);
  const net = Net.createPeerNet({
    self: id,
    incarnation: heartbeat.incarnation,
    domain: heartbeat.domain,
    listen: opts.listen ?? "127.0.0.1:0",
    seeds,
    secret: opts.secret ?? SECRET,
    getHeartbeat: () => heartbeat,
    supervisor,
    log: quietLog,
    clock: Clock.systemClock,
  });
  opts.prepare?.(net, supervisor);
  const address = await net.listen();
  heartbeat.peerAddress = address;
  return { net, address, heartbeat, supervisor, stop: supervisor.stop };
}

/** Starts a TCP proxy to `target` that can discard all bytes while both connections stay open. */
export async function startProxy(target: Types.Address): Promise<{
  readonly address: Types.Address;
  /** While frozen, all bytes are discarded and no close is forwarded. */
  setFrozen(isFrozen: boolean): void;
  /** Number of open sockets, two per connection. */
  getOpenCount(): number;
  /** Number of connections accepted so far. */
  getAcceptedCount(): number;
  close(): void;
}> {
  const sockets = new Set<NodeNet.Socket>();
  let isFrozen = false;
  let acceptedCount = 0;
  const [host, port] = target.split(":");
  const server = NodeNet.createServer((inbound) => {
    acceptedCount++;
    const outbound = NodeNet.connect({ host: host ?? "", port: Number(port) });
    for (
      const [source, destination] of [[inbound, outbound], [
        outbound,
        inbound,
      ]] as const
    ) {
      sockets.add(source);
      source.on("data", (chunk) => void (isFrozen || destination.write(chunk)));
      source.on("error", () => {});
      source.on("close", () => {
        sockets.delete(source);
        if (!isFrozen) destination.destroy();
      });
    }
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const boundAddress = server.address() as NodeNet.AddressInfo;
  return {
    address: `127.0.0.1:${boundAddress.port}`,
    setFrozen: (value) => void (isFrozen = value),
    getOpenCount: () => sockets.size,
    getAcceptedCount: () => acceptedCount,
    close() {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
