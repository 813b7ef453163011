/**
 * Starts a whole fleet as real processes: platform stand-in, targets, entry
 * instances, with a table and one key per account in the store.
 */
import * as Crypto from "node:crypto";
import * as Json from "../../src/json.ts";
import * as PlatformClient from "../../src/platform/client.ts";
import type * as Types from "../../src/types.ts";
import * as Control from "../harness/control.ts";
import * as Platform from "../harness/platform.ts";
import * as Process from "../harness/process.ts";
import * as Settings from "../harness/settings.ts";
import * as Wait from "../harness/wait.ts";
import type * as Records from "../target/records.ts";
import type * as Layout from "./layout.ts";
import * as Network from "./network.ts";

const START_LIMIT_MS = 20_000;

/** A running entry instance. */
export interface FleetInstance {
  readonly id: string;
  readonly domain: string;
  readonly region: string;
  readonly caller: Types.Address;
  readonly probe: Types.Address;
  readonly peer: Types.Address;
  readonly process: Process.ManagedProcess;
}

/** A running target. */
export interface FleetTarget {
  readonly id: string;
  readonly service: string;
  readonly domain: string;
  readonly region: string;
  readonly listen: Types.Address;
  readonly process: Process.ManagedProcess;
  /** True while records can be had: it runs, or they are streamed. */
  hasRecords(): boolean;
  /** Of a target that has ended, those that it streamed. */
  getRecords(): Promise<readonly Records.ExecutionRecord[]>;
  getStats(): Promise<Readonly<Record<string, number>>>;
  setFaults(faults: unknown): Promise<void>;
}

/** What can be set for a fleet. */
export interface FleetOptions {
  readonly layout: Layout.FleetLayout;
  readonly tableCsv: string;
  readonly listLagMs?: number;
  /** Lets the records of targets outlast them. */
  readonly streamRecords?: boolean;
  /** Changes to each instance's settings. */
  readonly settings?: Partial<Settings.SettingsOptions>;
  /** Puts every listener behind endpoints of this network. */
  readonly network?: Network.TestNetwork;
}

/** A running fleet. */
export interface Fleet {
  readonly platform: Platform.PlatformProcess;
  readonly store: PlatformClient.ClosablePlatformClient;
  readonly instances: readonly FleetInstance[];
  readonly targets: readonly FleetTarget[];
  /** Plaintext key of each account. */
  readonly keys: ReadonlyMap<string, string>;
  /** The newest process of an instance; throws when there was none. */
  getInstance(id: string): FleetInstance;
  /** Stores a table as the tool would; returns its revision. */
  writeTable(csv: string): Promise<number>;
  /** Starts one more instance, or a stopped one again. */
  startInstance(
    id: string,
    domain: string,
    region: string,
    more?: Partial<Settings.SettingsOptions>,
  ): Promise<FleetInstance>;
  startTarget(
    id: string,
    service: Layout.ServiceLayout,
    domain: string,
    region: string,
  ): Promise<FleetTarget>;
  /** Ends every process. */
  stop(): Promise<void>;
}

function createKeys(accounts: readonly string[]): ReadonlyMap<string, string> {
  return new Map(accounts.map((account) => {
    const random = Crypto.randomBytes(24).toString("base64url");
    return [account, `${account}_${random}`];
  }));
}

/** Digest as the keys record holds it. */
export function getDigest(key: string): string {
  return Crypto.createHash("sha256").update(key).digest("hex");
}

/** The keys record with one key per account. */
export function createKeysRecord(
  keys: ReadonlyMap<string, string>,
  withdrawn: readonly string[] = [],
): Types.KeysRecord {
  const entries = [...keys].map(([account, key]) => {
    const digest = getDigest(key);
    return [account, [{ id: digest.slice(0, 8), digest }]] as const;
  });
  return {
    writeId: Crypto.randomUUID(),
    accounts: Object.fromEntries(entries),
    withdrawn,
  };
}

/** Stores a record over whatever is there. */
export async function writeRecord(
  store: PlatformClient.ClosablePlatformClient,
  key: string,
  record: { readonly writeId: string },
): Promise<number> {
  const current = (await store.get(key)).unwrap();
  const written = await store.cas(
    key,
    current?.version ?? 0,
    JSON.stringify(record),
    { writeId: record.writeId },
  );
  return written.unwrap();
}

/** A record that a target printed; undefined for another line and for one that the kill cut. */
function tryReadRecord(line: string): Records.ExecutionRecord | undefined {
  const fields = Json.tryParseObject(line);
  return fields?.["record"] as Records.ExecutionRecord | undefined;
}

interface InstanceEndpoints {
  readonly caller: Network.Endpoint;
  readonly peer: Network.Endpoint;
  readonly settings: Partial<Settings.SettingsOptions>;
}

/** Endpoints of an instance, and the settings that make it use them. */
async function createInstanceEndpoints(
  network: Network.TestNetwork,
  domain: string,
  platformAddress: Types.Address,
): Promise<InstanceEndpoints> {
  const ip = network.getIp(domain);
  const caller = await network.createEndpoint(domain);
  const peer = await network.createEndpoint(domain);
  // The platform's client has no source address of its own, so it gets an endpoint per instance.
  const platform = await network.createEndpoint(Network.PLATFORM, domain);
  platform.setTarget(platformAddress);
  return {
    caller,
    peer,
    settings: {
      listen: { caller: `${ip}:0`, probe: `${ip}:0`, peer: `${ip}:0` },
      advertise: { caller: caller.address, peer: peer.address },
      platform: platform.address,
      extra: { outbound: { address: ip } },
    },
  };
}

/** Starts a fleet and waits until every instance serves. */
export async function startFleet(opts: FleetOptions): Promise<Fleet> {
  const { layout, network } = opts;
  const platform = await Platform.startPlatform({
    listLagMs: opts.listLagMs ?? 0,
  });
  const store = PlatformClient.createPlatformClient({
    address: platform.address,
    timeoutMs: 2_000,
  });
  const keys = createKeys(layout.accounts);
  const instances: FleetInstance[] = [];
  const targets: FleetTarget[] = [];

  function writeTable(csv: string): Promise<number> {
    const record = { writeId: Crypto.randomUUID(), by: "test", csv };
    return writeRecord(store, "table", record);
  }

  async function startTarget(
    id: string,
    service: Layout.ServiceLayout,
    domain: string,
    region: string,
  ): Promise<FleetTarget> {
    const endpoint = await network?.createEndpoint(domain);
    const streamed = new Map<number, Records.ExecutionRecord>();
    const process = await Process.startProcess({
      script: "testing/target/main.js",
      name: id,
      args: [
        ...["--id", id, "--service", service.service],
        ...["--domain", domain, "--region", region],
        ...["--slots", String(service.slots)],
        ...["--service-ms", String(service.serviceMs)],
        ...["--platform", platform.address],
        ...endpoint === undefined ? [] : ["--advertise", endpoint.address],
        ...opts.streamRecords === true ? ["--stream-records"] : [],
      ],
      onOutput(line) {
        const record = tryReadRecord(line);
        if (record !== undefined) streamed.set(record.seq, record);
      },
    });
    endpoint?.setTarget(process.getText("listen"));
    const control = Control.createControlClient(process.getText("control"));
    const target: FleetTarget = {
      id,
      service: service.service,
      domain,
      region,
      listen: process.getText("listen"),
      process,
      hasRecords: () => process.isRunning() || opts.streamRecords === true,
      async getRecords() {
        if (!process.isRunning()) return [...streamed.values()];
        const body = await control("GET", "/records");
        return (body as { records: readonly Records.ExecutionRecord[] })
          .records;
      },
      getStats: async () =>
        await control("GET", "/stats") as Readonly<Record<string, number>>,
      async setFaults(faults) {
        await control("POST", "/faults", faults);
      },
    };
    targets.push(target);
    return target;
  }

  async function startInstance(
    id: string,
    domain: string,
    region: string,
    more: Partial<Settings.SettingsOptions> = {},
  ): Promise<FleetInstance> {
    const behind = network && await createInstanceEndpoints(
      network,
      domain,
      platform.address,
    );
    const path = Settings.writeSettings({
      id,
      domain,
      region,
      platform: platform.address,
      seeds: instances.filter((one) => one.process.isRunning())
        .slice(0, 3).map((one) => one.peer),
      ...opts.settings,
      ...behind?.settings,
      ...more,
    });
    const process = await Process.startProcess({
      script: "src/daemon/main.js",
      name: id,
      args: ["--config", path],
    });
    behind?.caller.setTarget(process.getText("caller"));
    behind?.peer.setTarget(process.getText("peer"));
    const instance = {
      id,
      domain,
      region,
      caller: process.getText("caller"),
      probe: process.getText("probe"),
      peer: behind?.peer.address ?? process.getText("peer"),
      process,
    };
    instances.push(instance);
    return instance;
  }

  async function startTargets(): Promise<void> {
    const { domains } = layout;
    await Promise.all(
      layout.services.flatMap((service) =>
        Array.from({ length: service.workers }, (_, i) => {
          const at = domains[i % domains.length];
          if (at === undefined) throw new Error("a fleet needs domains");
          return startTarget(
            `${service.service}-${i + 1}`,
            service,
            at.domain,
            at.region,
          );
        })
      ),
    );
  }

  await writeTable(opts.tableCsv);
  await writeRecord(store, "keys", createKeysRecord(keys));
  await startTargets();
  // The first one alone: it is the seed of the others.
  const wanted = layout.domains.flatMap((one) =>
    Array.from({ length: one.instances }, (_, i) => ({
      id: `${one.domain}-${String.fromCharCode(97 + i)}`,
      domain: one.domain,
      region: one.region,
    }))
  );
  const [seed, ...rest] = wanted;
  if (seed !== undefined) {
    await startInstance(seed.id, seed.domain, seed.region);
  }
  await Promise.all(
    rest.map((one) => startInstance(one.id, one.domain, one.region)),
  );
  await waitForMesh(instances, layout.orderService);

  return {
    platform,
    store,
    instances,
    targets,
    keys,
    getInstance(id) {
      const found = instances.findLast((one) => one.id === id);
      if (found === undefined) throw new Error(`no instance ${id}`);
      return found;
    },
    writeTable,
    startInstance,
    startTarget,
    async stop() {
      await store.close();
      await Process.killAll();
      await network?.close();
    },
  };
}

/** Waits until every instance is live and names all others; before, a fault finds a fleet that is still forming. */
async function waitForMesh(
  instances: readonly FleetInstance[],
  service: string,
): Promise<void> {
  await Promise.all(instances.map((one) =>
    Wait.waitFor(
      async () => await countNamed(one, service) === instances.length,
      START_LIMIT_MS,
      `${one.id} names all instances`,
    )
  ));
}

async function countNamed(
  instance: FleetInstance,
  service: string,
): Promise<number> {
  const url = `http://${instance.caller}/v1/lookup?service=${service}`;
  const body = await (await fetch(url)).json();
  return (body as { readonly instances: readonly unknown[] }).instances.length;
}
