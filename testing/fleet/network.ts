/**
 * A network of failure domains on one machine. Every listener has an endpoint
 * in front of it that knows from which domain a connection comes, so that two
 * domains can be cut off from each other while the rest goes on.
 */
import * as Net from "node:net";
import * as Clock from "../../src/clock.ts";
import type * as Types from "../../src/types.ts";
import * as Faults from "../fault_proxy/faults.ts";
import * as Proxy from "../fault_proxy/proxy.ts";
import * as Listener from "../listener.ts";
import * as Loopback from "../loopback.ts";

const TARGET_PROBE_INTERVAL_MS = 50;

/** Name of everything that has no domain of its own, such as the test's callers. */
export const CALLERS = "callers";
/** Name of the platform's place in the network. */
export const PLATFORM = "platform";

/** A listener's address in the network. */
export interface Endpoint {
  readonly address: Types.Address;
  /** Where connections go; until this is called they are reset. */
  setTarget(target: Types.Address): void;
}

/** The network. */
export interface TestNetwork {
  /** Source IP of a domain's connections. */
  getIp(domain: string): string;
  /** An endpoint in `place`. With `source` every connection counts as coming from there. */
  createEndpoint(place: string, source?: string): Promise<Endpoint>;
  /** Drops all bytes from one place to another; both ways unless `oneWay`. */
  cut(from: string, to: string, oneWay?: boolean): Promise<void>;
  /** Cuts a place off from all others but those named. */
  isolate(place: string, except?: readonly string[]): Promise<void>;
  /** Delays, throttles or freezes bytes from one place to another. */
  setFaults(
    from: string,
    to: string,
    faults: Partial<Faults.DirectionFaults>,
  ): Promise<void>;
  /** Ends all faults. */
  heal(): Promise<void>;
  close(): Promise<void>;
}

/** Sees the bytes of every connection through the network, in order, per connection and direction. */
export type Tap = (connection: string, chunk: Buffer) => void;

interface Link {
  readonly from: string;
  readonly to: string;
  readonly proxy: Proxy.FaultProxy;
}

/** Creates a network of the given domains. */
export function createNetwork(
  domains: readonly string[],
  tap?: Tap,
): TestNetwork {
  let connections = 0;
  const ips = new Map(
    domains.map((domain, i) => [domain, Loopback.getOwnIp(i + 2)]),
  );
  const places = [...domains, CALLERS, PLATFORM];
  const faults = new Map<string, Partial<Faults.DirectionFaults>>();
  const links: Link[] = [];
  const servers: Net.Server[] = [];
  let isClosed = false;

  function getSource(socket: Net.Socket): string {
    const found = [...ips].find(([, ip]) => ip === socket.remoteAddress);
    return found?.[0] ?? CALLERS;
  }

  function getFaults(
    from: string,
    to: string,
  ): Partial<Faults.DirectionFaults> {
    return faults.get(`${from}>${to}`) ?? {};
  }

  function apply(link: Link): Promise<void> {
    const { from, to, proxy } = link;
    return proxy.setFaults({
      toTarget: { ...Faults.NO_FAULTS.toTarget, ...getFaults(from, to) },
      toClient: { ...Faults.NO_FAULTS.toClient, ...getFaults(to, from) },
    });
  }

  async function applyAll(): Promise<void> {
    await Promise.all(links.map(apply));
  }

  function set(
    from: string,
    to: string,
    value: Partial<Faults.DirectionFaults>,
  ) {
    faults.set(`${from}>${to}`, { ...getFaults(from, to), ...value });
  }

  async function createEndpoint(
    place: string,
    source?: string,
  ): Promise<Endpoint> {
    const bySource = new Map<string, Promise<Link>>();
    let target: Types.Address | undefined;
    let isMirroring = false;

    async function openLink(from: string): Promise<Link> {
      const opts = target === undefined ? {} : { target };
      const proxy = await Proxy.createFaultProxy(opts);
      const link = { from, to: place, proxy };
      links.push(link);
      await apply(link);
      return link;
    }

    /** A dead target refuses connections, and callers have to see that here, too. */
    async function mirrorRefusal(): Promise<void> {
      if (isMirroring || target === undefined) return;
      isMirroring = true;
      await listener.setOpen(false);
      while (!isClosed && !await canConnect(target)) {
        await Clock.sleep(TARGET_PROBE_INTERVAL_MS);
      }
      isMirroring = false;
      if (!isClosed) await listener.setOpen(true);
    }

    async function forward(client: Net.Socket): Promise<void> {
      client.on("error", () => {});
      const from = source ?? getSource(client);
      const known = bySource.get(from) ?? openLink(from);
      bySource.set(from, known);
      const { proxy } = await known;
      const [host = "", port = ""] = proxy.address.split(":");
      const onward = Net.connect({
        host,
        port: Number(port),
        allowHalfOpen: true,
      });
      onward.on("error", (err: NodeJS.ErrnoException) => {
        if (err.code === "ECONNREFUSED") void mirrorRefusal();
      });
      onward.setNoDelay(true);
      client.setNoDelay(true);
      if (tap !== undefined) {
        const name = `${from}>${place}#${++connections}`;
        client.on("data", (chunk: Buffer) => tap(`${name} out`, chunk));
        onward.on("data", (chunk: Buffer) => tap(`${name} back`, chunk));
      }
      join(client, onward);
    }

    const server = Net.createServer(
      { allowHalfOpen: true },
      (client) => void forward(client),
    );
    servers.push(server);
    const listener = await Listener.createListener(server, "127.0.0.1:0");
    return {
      address: listener.address,
      setTarget(next) {
        target = next;
        for (const link of bySource.values()) {
          void link.then(({ proxy }) => proxy.setTarget(next));
        }
      },
    };
  }

  async function cut(from: string, to: string, oneWay = false): Promise<void> {
    set(from, to, { isCut: true });
    if (!oneWay) set(to, from, { isCut: true });
    await applyAll();
  }

  return {
    getIp: (domain) => ips.get(domain) ?? "127.0.0.1",
    createEndpoint,
    cut,
    async isolate(place, except = []) {
      for (const other of places) {
        if (other === place || except.includes(other)) continue;
        set(place, other, { isCut: true });
        set(other, place, { isCut: true });
      }
      await applyAll();
    },
    async setFaults(from, to, value) {
      set(from, to, value);
      await applyAll();
    },
    async heal() {
      faults.clear();
      await applyAll();
    },
    async close() {
      isClosed = true;
      for (const server of servers) server.close();
      await Promise.all(links.map(({ proxy }) => proxy.stop()));
    },
  };
}

function canConnect(address: Types.Address): Promise<boolean> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve) => {
    const socket = Net.connect({ host, port: Number(port) });
    const settle = (isOpen: boolean) => () => {
      socket.destroy();
      resolve(isOpen);
    };
    socket.once("connect", settle(true));
    socket.once("error", settle(false));
  });
}

/** Joins two sockets; an error or reset of one destroys the other. */
function join(a: Net.Socket, b: Net.Socket): void {
  for (const [from, to] of [[a, b], [b, a]] as const) {
    from.pipe(to);
    from.on("error", () => to.destroy());
    from.on("close", () => {
      if (!from.readableEnded) to.destroy();
    });
  }
}
