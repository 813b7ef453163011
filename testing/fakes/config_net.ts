/** Instances with the configuration modules over a store in memory. */
import { Ok } from "ts-results-es";
import * as Clock from "../../src/clock.ts";
import * as ConfigStore from "../../src/config/config_store.ts";
import * as Freshness from "../../src/config/freshness.ts";
import type * as Contracts from "../../src/contracts.ts";
import * as Keys from "../../src/keys/keys.ts";
import * as ResultCodes from "../../src/result_codes.ts";
import type * as Types from "../../src/types.ts";
import * as Helpers from "./peer_net.ts";

/** The store's records; versions count up per key. */
export interface FakeStore {
  readonly entries: ReadonlyMap<string, Contracts.StoreEntry>;
  isDown: boolean;
  /** Watches that are pending, by instance. */
  readonly watching: ReadonlyMap<string, number>;
  put(key: string, value: unknown): number;
  createClient(id: string, isCut?: () => boolean): Contracts.PlatformClient;
}

const unused = () => Promise.reject(new Error("not used here"));

/** Creates an empty store with compare-and-swap and watches. */
export function createFakeStore(): FakeStore {
  const entries = new Map<string, Contracts.StoreEntry>();
  const watching = new Map<string, number>();
  const waiting = new Set<() => void>();
  let revision = 0;

  function createClient(
    id: string,
    isCut: () => boolean = () => false,
  ): Contracts.PlatformClient {
    let answeredAtMs: number | undefined;
    const isLost = () => store.isDown || isCut();
    function answer<T>(value: T, sentAtMs: number) {
      if (isLost()) return ResultCodes.fail("storeUnreachable");
      answeredAtMs = Math.max(answeredAtMs ?? -Infinity, sentAtMs);
      return Ok(value);
    }
    async function watch(key: string, after: number, waitMs: number) {
      const sentAtMs = performance.now();
      if (isLost()) return ResultCodes.fail("storeUnreachable");
      const before = entries.get(key)?.version;
      watching.set(id, (watching.get(id) ?? 0) + 1);
      if (after > 0) {
        await new Promise<void>((resolve) => {
          const done = () => {
            clearTimeout(timer);
            waiting.delete(done);
            resolve();
          };
          const timer = setTimeout(done, waitMs);
          waiting.add(done);
        });
      }
      watching.set(id, (watching.get(id) ?? 0) - 1);
      const entry = entries.get(key);
      const found = entry === undefined ? [] : [entry];
      const isChanged = after === 0 || entry?.version !== before;
      return answer(
        { revision: revision + 1, isChanged, entries: found },
        sentAtMs,
      );
    }
    return {
      get: (key) =>
        Promise.resolve(answer(entries.get(key), performance.now())),
      watch,
      getLastResponseAtMs: () => answeredAtMs,
      isFailing: isLost,
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
    watching,
    put(key, value) {
      const version = (entries.get(key)?.version ?? 0) + 1;
      const text = typeof value === "string" ? value : JSON.stringify(value);
      entries.set(key, { key, value: text, version });
      revision++;
      for (const wake of [...waiting]) wake();
      return version;
    },
    createClient,
  };
  return store;
}

/** A table whose CSV is any text but "bad". */
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

/** A table record whose text stands for its content; "bad" does not parse. */
export function createTableRecord(csv: string): Types.TableRecord {
  return { writeId: `w-${csv.slice(0, 8)}`, by: "test", csv };
}

/** A keys record of one account; each key is its own id. */
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

/** An instance with its configuration, and nothing of the request path. */
export interface Instance extends Helpers.TestNet {
  readonly config: ConfigStore.Store;
  readonly keys: Contracts.Keys;
  readonly freshness: Contracts.Freshness;
  /** Revisions in the order in which they came into force. */
  readonly applied: readonly number[];
}

/** Starts a peer net with configuration, keys and freshness. */
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
  const applied: number[] = [];
  const made: {
    config?: ConfigStore.Store;
    freshness?: Contracts.Freshness;
  } = {};
  const net = await Helpers.startNet(id, seeds, {
    domain,
    prepare(peers, supervisor) {
      const shared = { peers, platform, clock: Clock.systemClock };
      const config = ConfigStore.createConfigStore({
        ...shared,
        parseTable,
        keys,
        supervisor,
        log: Helpers.quietLog,
        cfg: { domain, checkIntervalMs: 60_000 },
      });
      config.onTable((table) => void applied.push(table.revision));
      made.config = config;
      made.freshness = Freshness.createFreshness({
        ...shared,
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
  const { config, freshness } = made;
  if (config === undefined || freshness === undefined) throw new Error("order");
  defineHeartbeat(net.heartbeat, config, platform, freshness);
  return { ...net, config, keys, freshness, applied };
}

/** Makes the heartbeat's fields follow the modules, as the daemon does. */
function defineHeartbeat(
  heartbeat: Helpers.MutableHeartbeat,
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
