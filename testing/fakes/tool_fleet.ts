/** Fakes of the store, the instances, the files and the terminal for tests of the operators' tool. */
import { Ok } from "ts-results-es";
import type * as Context from "../../src/cli/context.ts";
import * as Run from "../../src/cli/run.ts";
import type * as Contracts from "../../src/contracts.ts";
import * as ResultCodes from "../../src/result_codes.ts";

/** Fault of the next write: whether its response is lost, and when another operator writes. */
export type WriteFault =
  | "lost-after-write"
  | "lost-before-write"
  | "other-write-first"
  | "lost-then-other-write";

/** Creates a store in memory that can become unreachable and can lose responses. */
export function createFakeStore() {
  const entries = new Map<string, Contracts.StoreEntry>();
  const faults: WriteFault[] = [];
  const store = {
    isDown: false,
    /** Each read waits for this promise. */
    readBarrier: Promise.resolve(),
    faults,
    entries,
    put(key: string, value: unknown): number {
      const version = (entries.get(key)?.version ?? 0) + 1;
      const encoded = typeof value === "string" ? value : JSON.stringify(value);
      entries.set(key, { key, value: encoded, version });
      return version;
    },
  };
  const fail = () => ResultCodes.fail("storeUnreachable", "no answer");
  const concurrentFields = { writeId: "other", by: "leena" };

  function putConcurrentWrite(key: string): void {
    const oldRecord = JSON.parse(entries.get(key)?.value ?? "{}");
    const csv = oldRecord.csv?.replace(",100,1200,", ",70,1200,");
    store.put(key, { ...oldRecord, ...concurrentFields, csv });
  }

  const platform = {
    get: (key: string) =>
      store.readBarrier.then(() =>
        store.isDown ? fail() : Ok(entries.get(key))
      ),
    cas(key: string, expectedVersion: number, value: string) {
      if (store.isDown) return Promise.resolve(fail());
      const fault = faults.shift();
      if (fault === "lost-before-write") return Promise.resolve(fail());
      if (fault === "other-write-first") putConcurrentWrite(key);
      if ((entries.get(key)?.version ?? 0) !== expectedVersion) {
        return Promise.resolve(ResultCodes.fail("storeConflict", key));
      }
      const version = store.put(key, value);
      if (fault === "lost-then-other-write") putConcurrentWrite(key);
      const isLost = fault !== undefined && fault.startsWith("lost");
      return Promise.resolve(isLost ? fail() : Ok(version));
    },
  } as unknown as Contracts.PlatformClient;
  return {
    ...store,
    platform,
    setDown: (isDown: boolean) => (store.isDown = isDown),
    blockReads: (barrier: Promise<void>) => (store.readBarrier = barrier),
  };
}

/** State of a fake instance. */
export interface FakeInstance {
  readonly id: string;
  readonly address: string;
  isDown: boolean;
  /** True when the instance rejects the secret of the tool. */
  hasOtherSecret: boolean;
  /** Number of calls of `status` that still return table revision 0. */
  staleStatusCalls: number;
  tableRevision: number;
  keysRevision: number;
  /** Withdrawn digests; a set as in real instances, because the tool may push a digest twice. */
  readonly withdrawn: Set<string>;
  /** Record that `config.get` returns. */
  keysRecord: unknown;
  burn: unknown;
}

/** Creates a reachable instance at 10.0.0.1 and the given port. */
export function createFakeInstance(id: string, port: number): FakeInstance {
  return {
    id,
    address: `10.0.0.1:${port}`,
    isDown: false,
    hasOtherSecret: false,
    staleStatusCalls: 0,
    tableRevision: 1,
    keysRevision: 1,
    withdrawn: new Set(),
    keysRecord: undefined,
    burn: undefined,
  };
}

function respond(
  instance: FakeInstance,
  instances: readonly FakeInstance[],
  method: string,
  params: Record<string, unknown>,
): unknown {
  switch (method) {
    case "members.list":
      return instances.map((listed) => ({
        heartbeat: {
          id: listed.id,
          region: listed.id === "c1" ? "pirkanmaa" : "uusimaa",
          state: "live",
          peerAddress: listed.address,
          isStranded: false,
        },
        ageMs: 10,
        isReachable: !listed.isDown,
      }));
    case "config.push": {
      const field = params["key"] === "table"
        ? "tableRevision"
        : "keysRevision";
      instance[field] = Math.max(instance[field], Number(params["revision"]));
      for (const digest of params["withdrawn"] as string[] ?? []) {
        instance.withdrawn.add(digest);
      }
      return { key: params["key"], revision: instance[field] };
    }
    case "config.get":
      return { revision: instance.keysRevision, record: instance.keysRecord };
    case "report.burn":
      return instance.burn;
    case "explain":
      return {
        ...params,
        regions: [{ region: "uusimaa", weight: 100 }, { region: "pirkanmaa" }],
        names: ["a", "b"],
        none: [],
        tokens: 41.23456,
      };
    case "status": {
      const isStale = instance.staleStatusCalls-- > 0;
      return {
        id: instance.id,
        domain: "uusimaa-1",
        region: "uusimaa",
        state: "live",
        incarnation: "i1",
        tableRevision: isStale ? 0 : instance.tableRevision,
        keysRevision: instance.keysRevision,
        storeSeenMsAgo: 200,
        shards: [1, 2],
        members: [{ isReachable: true }, { isReachable: false }],
        targets: [{ state: "usable" }, { state: "ejected" }],
        budgets: [],
        keysCurrent: instance.id !== "b1",
        budgetsValid: instance.id !== "b1",
      };
    }
    default:
      throw new Error(`the fake has no method ${method}`);
  }
}

/** Creates the dependencies of the tool from fakes; the clock advances only in `sleep`. */
export function createFakeDeps(
  store: ReturnType<typeof createFakeStore>,
  instances: readonly FakeInstance[],
  files: Map<string, string>,
) {
  let nowMs = 0;
  const printed = { out: "", err: "" };
  const deps: Context.Deps = {
    clock: { nowMs: () => nowMs, wallMs: () => 1_800_000_000_000 + nowMs },
    sleep: (ms) => {
      nowMs += ms;
      return Promise.resolve();
    },
    connectPlatform: () => store.platform,
    connectPeer: (address) => ({
      call: <T>(method: string, params: unknown) => {
        const instance = instances.find((candidate) =>
          candidate.address === address
        );
        if (instance === undefined || instance.isDown) {
          return Promise.resolve(ResultCodes.fail("peerUnreachable", address));
        }
        if (instance.hasOtherSecret) {
          return Promise.resolve(ResultCodes.fail("peerAuth"));
        }
        const fields = params as Record<string, unknown>;
        return Promise.resolve(
          Ok(respond(instance, instances, method, fields) as T),
        );
      },
      close: () => {},
    }),
    files: {
      exists: (path) => files.has(path),
      read: (path) => {
        const content = files.get(path);
        return content === undefined
          ? ResultCodes.fail("toolFile", path)
          : Ok(content);
      },
      write: (path, content) => {
        files.set(path, content);
        return Ok(undefined);
      },
    },
    stdout: {
      write: (output) => void (printed.out += output),
      isTerminal: false,
    },
    stderr: {
      write: (output) => void (printed.err += output),
      isTerminal: false,
    },
    operator: "matti",
    randomBytes: (count) => new Uint8Array(count).fill(0xa5),
    defaultConfig: "tool.toml",
  };
  return { deps, printed };
}

/** Settings file of the tool in a fixture. */
export const TOOL_SETTINGS = `
[platform]
address = "10.0.0.9:7000"
[peers]
addresses = ["10.0.0.1:1", "10.0.0.1:2"]
secret = "0123456789abcdef"
`;

/** Creates three instances, a store that holds the table `csv`, and the file t.csv with `editedCsv`. */
export function createToolFixture(csv: string, editedCsv: string) {
  const store = createFakeStore();
  const instances = ["a1", "b1", "c1"]
    .map((id, index) => createFakeInstance(id, index + 1));
  const files = new Map([["tool.toml", TOOL_SETTINGS], ["t.csv", editedCsv]]);
  async function run(line: string) {
    const fakeDeps = createFakeDeps(store, instances, files);
    const exit = await Run.run(line.split(" "), fakeDeps.deps);
    return { exit, ...fakeDeps.printed };
  }
  store.put("table", { writeId: "w1", by: "leena", csv });
  return { store, instances, files, run };
}

/** Return type of `createToolFixture`. */
export type ToolFixture = ReturnType<typeof createToolFixture>;
