/** Peer nets in one process, and a link between them that can be frozen. */
import * as NodeNet from "node:net";
import * as Clock from "../../src/clock.ts";
import * as Log from "../../src/log.ts";
import * as Net from "../../src/peer/net.ts";
import * as Supervisor from "../../src/supervisor.ts";
import type * as Types from "../../src/types.ts";

/** Secret of all nets unless a test gives another. */
export const SECRET = "a-secret-for-the-tests";

/** A logger that writes nothing. */
export const quietLog = Log.createLogger("error", {}, () => {});

/** Values of a heartbeat that a test may change while the net runs. */
export type MutableHeartbeat = {
  -readonly [K in keyof Types.Heartbeat]: Types.Heartbeat[K];
};

/** A listening peer net. */
export interface TestNet {
  readonly net: Net.Net;
  readonly address: Types.Address;
  readonly heartbeat: MutableHeartbeat;
  readonly supervisor: Supervisor.Supervisor;
  stop(): Promise<void>;
}

/** A live instance's heartbeat; its region is the domain's name up to the first hyphen. */
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
    shards: [],
    callerAddress: "127.0.0.1:1",
    peerAddress: "127.0.0.1:0",
  };
}

/** A member as a peer net would report it. */
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

/** Starts a net on a port from the system. */
export async function startNet(
  id: string,
  seeds: readonly Types.Address[],
  opts: {
    readonly domain?: string;
    readonly secret?: string;
    readonly incarnation?: string;
    readonly listen?: Types.Address;
    /** Called before the net listens. */
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

/** A TCP relay to `target` that can stop passing bytes while both ends stay connected. */
export async function startLink(target: Types.Address): Promise<{
  readonly address: Types.Address;
  setFrozen(isFrozen: boolean): void;
  getOpenCount(): number;
  getAcceptedCount(): number;
  close(): void;
}> {
  const sockets = new Set<NodeNet.Socket>();
  let isFrozen = false;
  let accepted = 0;
  const [host, port] = target.split(":");
  const server = NodeNet.createServer((near) => {
    accepted++;
    const far = NodeNet.connect({ host: host ?? "", port: Number(port) });
    for (const [from, to] of [[near, far], [far, near]] as const) {
      sockets.add(from);
      from.on("data", (chunk) => void (isFrozen || to.write(chunk)));
      from.on("error", () => {});
      from.on("close", () => {
        sockets.delete(from);
        if (!isFrozen) to.destroy();
      });
    }
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const bound = server.address() as NodeNet.AddressInfo;
  return {
    address: `127.0.0.1:${bound.port}`,
    setFrozen: (value) => void (isFrozen = value),
    getOpenCount: () => sockets.size,
    getAcceptedCount: () => accepted,
    close() {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
