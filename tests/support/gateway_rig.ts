/** Starts gateway instances, targets and a store in one process, and sends requests to them. */
import * as Http from "node:http";
import * as Directory from "../../platform/directory.ts";
import * as Headers from "../../platform/headers.ts";
import * as Records from "../../platform/records.ts";
import * as Store from "../../platform/store.ts";
import * as Gateway from "../../src/gateway/gateway.ts";
import type * as Settings from "../../src/gateway/settings.ts";
import * as Log from "../../src/log.ts";
import * as Wait from "../../testing/harness/wait.ts";
import * as KvStore from "../../testing/kv/kv_store.ts";
import * as KvLink from "../../testing/kv/kv_link.ts";
import * as KvTarget from "../../testing/kv/kv_target.ts";
import type * as GatewayTypes from "../../src/gateway/types.ts";

/** Ports of every instance; below those that the system gives to outgoing connections. */
const PORTS = {
  caller: 8_080,
  ready: 8_081,
  directory: 8_082,
  peer: 7_220,
  metrics: 7_221,
} as const;
let instanceCount = 0;

/** Returns a loopback address that no other instance of this or another test process has. */
function createInstanceIp(): string {
  instanceCount++;
  const block = process.pid % 0x4000;
  const host = 1 + instanceCount % 250;
  return `127.${64 + (block >> 8)}.${block & 0xff}.${host}`;
}

const route = {
  timeoutMs: 1_500,
  targetLatencyMs: 400,
  priority: 1,
  service: "orders",
  attempts: 2,
  public: false,
};

/** Formats the operators' configuration record: an account, a route for reads and a route for orders. */
export function formatConfig(
  version: number,
  overrides: {
    readonly key?: string;
    readonly ratePerS?: number;
    readonly maxBodyBytes?: number;
  } = {},
): string {
  return JSON.stringify({
    version: `r${version}`,
    services: [{ name: "orders", maxConns: 330, coldS: 3, coldPerS: 15 }],
    limits: {
      maxBodyBytes: overrides.maxBodyBytes ?? 1_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{
      name: "hut",
      apiKeys: [overrides.key ?? "k1"],
      ratePerS: overrides.ratePerS ?? 0,
      burst: overrides.ratePerS ?? 0,
    }],
    hosts: [{
      host: "shop.example",
      paths: [
        { ...route, name: "r-read", pathPrefix: "/read/", kind: "safe" },
        { ...route, name: "r-order", pathPrefix: "/order/", kind: "unsafe" },
      ],
    }],
  });
}

/** Complete response of an instance. */
export interface InstanceResponse {
  readonly status: number;
  readonly body: string;
  readonly headers: Http.IncomingHttpHeaders;
}

const WAIT_MS = 8_000;

/** Waits until the condition is true; rejects with the description after 8 s. */
export function until(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<unknown> {
  return Wait.waitFor(condition, WAIT_MS, description);
}

let nextId = 0;

/** Sends a request to an instance; rejects without a complete response. `abort` closes the connection. */
export function send(
  address: string,
  path: string,
  overrides: Http.RequestOptions = {},
): Promise<InstanceResponse> & { readonly abort: () => void } {
  const [host, port] = address.split(":");
  const method = path.startsWith("/order/") ? "POST" : "GET";
  let req: Http.ClientRequest | undefined;
  const pending = new Promise<InstanceResponse>((resolve, reject) => {
    req = Http.request({
      host,
      port,
      path,
      method,
      agent: false,
      ...overrides,
      headers: {
        host: "shop.example",
        "x-request-id": `id-${nextId++}`,
        "x-deadline-ms": "1000",
        authorization: "Bearer k1",
        cookie: "X-Affinity-Key=17",
        ...overrides.headers as object,
      },
    }, (res) => {
      const chunks: Buffer[] = [];
      res.on("data", (chunk: Buffer) => chunks.push(chunk));
      res.on("error", reject);
      res.on("end", () =>
        resolve({
          status: res.statusCode ?? 0,
          body: Buffer.concat(chunks).toString(),
          headers: res.headers,
        }));
    });
    req.on("error", reject);
    req.end(method === "POST" ? "body" : undefined);
  });
  return Object.assign(pending, { abort: () => void req?.destroy() });
}

/** Parts of a fleet. Defaults are two targets, one instance and a first configuration. */
export interface FleetOptions {
  readonly targets?: number;
  readonly instances?: number;
  /** Gives each instance links of its own to the targets, which can be partitioned. */
  readonly hasLinks?: boolean;
  /** Gives each instance a link of its own to the store, which can be partitioned. */
  readonly hasStoreLinks?: boolean;
  /** Configuration record in the store; null for none. */
  readonly config?: string | null;
  /** Memory of each instance, bytes; 250 MB by default. */
  readonly memoryBytes?: number;
  /** Links that the settings of the instances name, Mbit/s; none by default. */
  readonly linksMbps?: readonly number[];
  /** Called for each request whose headers an instance reads. */
  readonly onRead?: () => void;
}

/** Starts a store, targets and instances in this process; resolves when the instances are ready. */
export async function startFleet(
  addCleanup: (release: () => unknown) => void,
  opts: FleetOptions = {},
) {
  const kv = await KvStore.startKvStore();
  addCleanup(kv.close);
  if (opts.config !== null) {
    kv.put("op/config", opts.config ?? formatConfig(1));
  }
  const targets: KvTarget.KvTarget[] = [];
  for (let i = 0; i < (opts.targets ?? 2); i++) {
    const target = await KvTarget.startKvTarget(
      kv,
      `i-${i}`,
      "orders",
      "north-a",
    );
    addCleanup(target.close);
    targets.push(target);
  }
  const instances: {
    readonly address: string;
    readonly directory: string;
    readonly ready: string;
    readonly gateway: Gateway.Gateway;
    /** Links to the targets; none without `hasLinks`. */
    readonly links: readonly KvLink.KvLink[];
    /** Link to the store; undefined without `hasStoreLinks`. */
    readonly storeLink: KvLink.KvLink | undefined;
    readonly lines: readonly string[];
  }[] = [];
  /** Starts one more instance. */
  async function startInstance(): Promise<void> {
    const ip = createInstanceIp();
    const [address, ready, directory, peer, metrics] = [
      `${ip}:${PORTS.caller}`,
      `${ip}:${PORTS.ready}`,
      `${ip}:${PORTS.directory}`,
      `${ip}:${PORTS.peer}`,
      `${ip}:${PORTS.metrics}`,
    ];
    const settings: Settings.GatewaySettings = {
      instance: {
        id: `front-${instances.length}`,
        domain: "north-a",
        region: "north",
        capacity: 1,
        memoryBytes: opts.memoryBytes ?? 250_000_000,
        linkMbps: opts.linksMbps?.[instances.length],
        maxDescriptors: 8_192,
      },
      listen: {
        caller: address,
        ready,
        directory,
        peer,
        metrics,
        localAddress: ip,
      },
      regionOfDomain: new Map([["north-a", "north"]]),
      store: { address: kv.address, minLeaseMs: 1_000 },
      limits: {
        retryRatio: 0.2,
        retryWindowMs: 10_000,
        retryExtra: 50,
        accountSlack: 20,
        coldRateFactor: 1.5,
        coldRateExtraPerS: 5,
      },
      timing: {
        graceMs: 6_000,
        maxDirectoryTtlMs: 5_000,
        changeInForceMs: 2_500,
        entryRecoveryMs: 2_000,
        entryExpiryMs: 1_500,
      },
    };
    const links = new Map<string, KvLink.KvLink>();
    for (const { address: targetAddress, id } of targets) {
      if (opts.hasLinks !== true) break;
      const link = await KvLink.startKvLink(targetAddress);
      addCleanup(link.close);
      links.set(id, link);
    }
    /** Decodes an item; replaces a target's address by that of this instance's link to it. */
    const decode = (item: GatewayTypes.StoreItem) => {
      const change = Records.decodeItem(item);
      if (change?.kind !== "target") return change;
      const link = links.get(change.entry.id);
      if (link === undefined) return change;
      return { ...change, entry: { ...change.entry, address: link.address } };
    };
    const storeLink = opts.hasStoreLinks === true
      ? await KvLink.startKvLink(kv.address)
      : undefined;
    if (storeLink !== undefined) addCleanup(storeLink.close);
    const lines: string[] = [];
    const writeText = (text: string) =>
      void lines.push(...text.split("\n").filter((line) => line !== ""));
    const gateway = await Gateway.startGateway({
      settings,
      store: Store.createStore(storeLink?.address ?? kv.address, "127.0.0.1"),
      decode,
      dialect: {
        ...Headers.headerDialect,
        readCaller(headers) {
          opts.onRead?.();
          return Headers.headerDialect.readCaller(headers);
        },
      },
      watchedPrefixes: Records.WATCHED_PREFIXES,
      directory: Directory.directoryDialect,
      log: Log.createLogger("info", {}, writeText),
      writeText,
    });
    addCleanup(gateway.close);
    instances.push({
      address,
      ready,
      directory,
      gateway,
      links: [...links.values()],
      storeLink,
      lines,
    });
  }
  for (let i = 0; i < (opts.instances ?? 1); i++) await startInstance();
  if (opts.config !== null) {
    for (const { ready } of instances) await waitReady(ready);
  }
  const front = instances[0]!.address;
  return { kv, targets, instances, front, startInstance };
}

/** Waits until the instance reports that it is ready; `ready` is the address that reports it. */
export async function waitReady(ready: string): Promise<void> {
  await until("the instance is ready", async () => {
    const response = await send(ready, "/anvilroute/ready");
    return response.status === 200;
  });
}

/** Returns the number of requests that the targets ran. */
export const countRuns = (targets: readonly KvTarget.KvTarget[]) =>
  targets.reduce((sum, target) => sum + target.ran.length, 0);
