/** Instances with the configuration modules and an in-memory store. */
import { Ok } from "ts-results-es";
import * as Clock from "../../src/clock.ts";
import * as ConfigStore from "../../src/config/config_store.ts";
import * as Freshness from "../../src/config/freshness.ts";
import type * as Contracts from "../../src/contracts.ts";
import * as Keys from "../../src/keys/keys.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import type * as Types from "../../src/types.ts";
import * as PeerNet from "./peer_net.ts";

/** An in-memory store; each write increments the version of its key. */
export interface FakeStore {
  readonly entries: ReadonlyMap<string, Contracts.StoreEntry>;
  isDown: boolean;
  /** Number of pending watches of each instance. */
  readonly pendingWatches: ReadonlyMap<string, number>;
  put(key: string, value: unknown): number;
  createClient(id: string, isCut?: () => boolean): Contracts.PlatformClient;
}

const unused = () =>
  Promise.reject(new Error("the fake store does not support this call"));

/** Creates an empty store with compare-and-swap and watches. */
export function createFakeStore(): FakeStore {
  const entries = new Map<string, Contracts.StoreEntry>();
  const pendingWatches = new Map<string, number>();
  const finishWatches = new Set<() => void>();
  let revision = 0;

  function createClient(
    id: string,
    isCut: () => boolean = () => false,
  ): Contracts.PlatformClient {
    let lastResponseAtMs: number | undefined;
    const isUnreachable = () => store.isDown || isCut();
    function respond<T>(value: T, sentAtMs: number) {
      if (isUnreachable()) return ResultCodes.fail("storeUnreachable");
      lastResponseAtMs = Math.max(lastResponseAtMs ?? -Infinity, sentAtMs);
      return Ok(value);
    }
    async function watch(key: string, afterRevision: number, waitMs: number) {
      const sentAtMs = performance.now();
      if (isUnreachable()) return ResultCodes.fail("storeUnreachable");
      const previousVersion = entries.get(key)?.version;
      pendingWatches.set(id, (pendingWatches.get(id) ?? 0) + 1);
      if (afterRevision > 0) {
        await new Promise<void>((resolve) => {
          const finish = () => {
            clearTimeout(timer);
            finishWatches.delete(finish);
            resolve();
          };
          const timer = setTimeout(finish, waitMs);
          finishWatches.add(finish);
        });
      }
      pendingWatches.set(id, (pendingWatches.get(id) ?? 0) - 1);
      const entry = entries.get(key);
      const foundEntries = entry === undefined ? [] : [entry];
      const isChanged = afterRevision === 0 ||
        entry?.version !== previousVersion;
      return respond(
        { revision: revision + 1, isChanged, entries: foundEntries },
        sentAtMs,
      );
    }
    return {
      get: (key) =>
        Promise.resolve(respond(entries.get(key), performance.now())),
      watch,
      getLastResponseAtMs: () => lastResponseAtMs,
      isFailing: isUnreachable,
      list: unused,
      cas: unused,
      remove: unused,
      grantLease: unused,
      renewLease: unused,
      releaseLease: unused,
      listInstances: unused,
    };
  }

  const store: FakeStore = {
    entries,
    isDown: false,
    pendingWatches,
    put(key, value) {
      const version = (entries.get(key)?.version ?? 0) + 1;
      const encoded = typeof value === "string" ? value : JSON.stringify(value);
      entries.set(key, { key, value: encoded, version });
      revision++;
      for (const finish of [...finishWatches]) finish();
      return version;
    },
    createClient,
  };
  return store;
}

/** Parses any text as a table with the text as its only account; "bad" is a syntax error. */
export function parseTable(csv: string, revision: number) {
  if (csv === "bad") return ResultCodes.fail("tableSyntax", "line 1");
  const table: Types.Table = {
    revision,
    services: new Map(),
    accounts: [csv],
    domains: new Map(),
  };
  return Ok(table);
}

/** Creates a table record for `parseTable`. */
export function createTableRecord(csv: string): Types.TableRecord {
  return { writeId: `w-${csv.slice(0, 8)}`, by: "test", csv };
}

/** Creates a keys record of the account `tenda`; the id of a key is the key itself. */
export function createKeysRecord(
  keys: readonly string[],
  withdrawn: readonly string[] = [],
): Types.KeysRecord {
  return {
    writeId: `w-${keys}`,
    accounts: {
      tenda: keys.map((id) => ({ id, digest: Keys.computeDigest(id) })),
    },
    withdrawn: withdrawn.map(Keys.computeDigest),
  };
}

/** An instance with configuration, keys and freshness, without a request path. */
export interface Instance extends PeerNet.TestNet {
  readonly config: ConfigStore.Store;
  readonly keys: Contracts.Keys;
  readonly freshness: Contracts.Freshness;
  /** Table revisions in the order in which the instance applied them. */
  readonly appliedRevisions: readonly number[];
}

/** Starts a peer network with configuration, keys and freshness. */
export async function startInstance(
  id: string,
  seeds: readonly Types.Address[],
  store: FakeStore,
  opts: {
    readonly domain?: string;
    readonly isCut?: () => boolean;
    readonly stalenessLimitMs?: number;
    readonly domains?: readonly Types.Domain[];
  } = {},
): Promise<Instance> {
  const domain = opts.domain ?? "uusimaa-1";
  const keys = Keys.createKeys();
  const platform = store.createClient(id, opts.isCut);
  const appliedRevisions: number[] = [];
  const modules: {
    config?: ConfigStore.Store;
    freshness?: Contracts.Freshness;
  } = {};
  const net = await PeerNet.startNet(id, seeds, {
    domain,
    prepare(peers, supervisor) {
      const sharedDeps = { peers, platform, clock: Clock.systemClock };
      const config = ConfigStore.createConfigStore({
        ...sharedDeps,
        parseTable,
        keys,
        supervisor,
        log: PeerNet.quietLog,
        cfg: { domain, checkIntervalMs: 60_000 },
      });
      config.onTable((table) => void appliedRevisions.push(table.revision));
      modules.config = config;
      modules.freshness = Freshness.createFreshness({
        ...sharedDeps,
        config,
        domains: () => opts.domains ?? [domain],
        cfg: {
          domain,
          stalenessLimitMs: opts.stalenessLimitMs ?? 4_000,
          whenIsolated: "refuse",
        },
      });
    },
  });
  const { config, freshness } = modules;
  if (config === undefined || freshness === undefined) {
    throw new Error("the peer network did not call prepare");
  }
  defineHeartbeat(net.heartbeat, config, platform, freshness);
  return { ...net, config, keys, freshness, appliedRevisions };
}

/** Makes the fields of the heartbeat read the current values of the modules, as in the daemon. */
function defineHeartbeat(
  heartbeat: PeerNet.MutableHeartbeat,
  config: ConfigStore.Store,
  platform: Contracts.PlatformClient,
  freshness: Contracts.Freshness,
): void {
  const define = (name: keyof Types.Heartbeat, get: () => number | boolean) =>
    Object.defineProperty(heartbeat, name, { get, enumerable: true });
  define("tableRevision", () => config.getTable()?.revision ?? 0);
  define("keysRevision", () => config.getKeysRevision());
  define(
    "storeSeenMsAgo",
    () => performance.now() - (platform.getLastResponseAtMs() ?? -Infinity),
  );
  define("isStoreFailing", () => platform.isFailing());
  define("relayedStoreSeenMsAgo", () => freshness.getAgeMs());
}
