/** Fakes of the store, the instances and the terminal for tests of the tool. */
import { Ok } from "ts-results-es";
import type * as Context from "../../src/cli/context.ts";
import * as Run from "../../src/cli/run.ts";
import type * as Contracts from "../../src/contracts.ts";
import * as ResultCodes from "../../src/result_codes.ts";

/** What the fake store does with the next write. */
export type WriteFault =
  | "lost-after-write"
  | "lost-before-write"
  | "other-write-first"
  | "lost-then-other-write";

/** A store in memory that can be down and can lose answers. */
export function createFakeStore() {
  const entries = new Map<string, Contracts.StoreEntry>();
  const faults: WriteFault[] = [];
  const store = {
    isDown: false,
    /** What each read waits for. */
    readBarrier: Promise.resolve(),
    faults,
    entries,
    put(key: string, value: unknown): number {
      const version = (entries.get(key)?.version ?? 0) + 1;
      const text = typeof value === "string" ? value : JSON.stringify(value);
      entries.set(key, { key, value: text, version });
      return version;
    },
  };
  const down = () => ResultCodes.fail("storeUnreachable", "no answer");
  const other = { writeId: "other", by: "leena" };

  function putConcurrentWrite(key: string): void {
    const old = JSON.parse(entries.get(key)?.value ?? "{}");
    const csv = old.csv?.replace(",100,1200,", ",70,1200,");
    store.put(key, { ...old, ...other, csv });
  }

  const platform = {
    get: (key: string) =>
      store.readBarrier.then(() => store.isDown ? down() : Ok(entries.get(key))),
    cas(key: string, expected: number, value: string) {
      if (store.isDown) return Promise.resolve(down());
      const fault = faults.shift();
      if (fault === "lost-before-write") return Promise.resolve(down());
      if (fault === "other-write-first") putConcurrentWrite(key);
      if ((entries.get(key)?.version ?? 0) !== expected) {
        return Promise.resolve(ResultCodes.fail("storeConflict", key));
      }
      const version = store.put(key, value);
      if (fault === "lost-then-other-write") putConcurrentWrite(key);
      const isLost = fault !== undefined && fault.startsWith("lost");
      return Promise.resolve(isLost ? down() : Ok(version));
    },
  } as unknown as Contracts.PlatformClient;
  return {
    ...store,
    platform,
    setDown: (to: boolean) => (store.isDown = to),
    blockReads: (until: Promise<void>) => (store.readBarrier = until),
  };
}

/** One instance as the tool sees it. */
export interface FakeInstance {
  readonly id: string;
  readonly address: string;
  isDown: boolean;
  /** Refuses the tool's secret. */
  hasDifferentSecret: boolean;
  /** Calls of `status` until a pushed record is in force. */
  staleStatusCalls: number;
  tableRevision: number;
  keysRevision: number;
  /** A set, as in the instances: the tool may push a digest twice. */
  readonly withdrawn: Set<string>;
  /** Record for `config.get`. */
  keysRecord: unknown;
  burn: unknown;
}

/** Creates an instance of the domain `<region>-<n>`. */
export function createFakeInstance(id: string, port: number): FakeInstance {
  return {
    id,
    address: `10.0.0.1:${port}`,
    isDown: false,
    hasDifferentSecret: false,
    staleStatusCalls: 0,
    tableRevision: 1,
    keysRevision: 1,
    withdrawn: new Set(),
    keysRecord: undefined,
    burn: undefined,
  };
}

function respond(
  one: FakeInstance,
  all: readonly FakeInstance[],
  method: string,
  params: Record<string, unknown>,
): unknown {
  switch (method) {
    case "members.list":
      return all.map((it) => ({
        heartbeat: {
          id: it.id,
          region: it.id === "c1" ? "pirkanmaa" : "uusimaa",
          state: "live",
          peerAddress: it.address,
        },
        ageMs: 10,
        isReachable: !it.isDown,
      }));
    case "config.push": {
      const field = params["key"] === "table"
        ? "tableRevision"
        : "keysRevision";
      one[field] = Math.max(one[field], Number(params["revision"]));
      for (const digest of params["withdrawn"] as string[] ?? []) {
        one.withdrawn.add(digest);
      }
      return { key: params["key"], revision: one[field] };
    }
    case "config.get":
      return { revision: one.keysRevision, record: one.keysRecord };
    case "report.burn":
      return one.burn;
    case "explain":
      return {
        ...params,
        regions: [{ region: "uusimaa", weight: 100 }, { region: "pirkanmaa" }],
        names: ["a", "b"],
        none: [],
        tokens: 41.23456,
      };
    case "status": {
      const isLate = one.staleStatusCalls-- > 0;
      return {
        id: one.id,
        domain: "uusimaa-1",
        region: "uusimaa",
        state: "live",
        incarnation: "i1",
        tableRevision: isLate ? 0 : one.tableRevision,
        keysRevision: one.keysRevision,
        storeSeenMsAgo: 200,
        shards: [1, 2],
        members: [{ isReachable: true }, { isReachable: false }],
        targets: [{ state: "usable" }, { state: "ejected" }],
        budgets: [],
        keysCurrent: one.id !== "b1",
        budgetsValid: one.id !== "b1",
      };
    }
    default:
      throw new Error(`the fake has no method ${method}`);
  }
}

/** The tool's dependencies over fakes; time moves only in `sleep`. */
export function createFakeDeps(
  store: ReturnType<typeof createFakeStore>,
  instances: readonly FakeInstance[],
  files: Map<string, string>,
) {
  let now = 0;
  const printed = { out: "", err: "" };
  const deps: Context.Deps = {
    clock: { nowMs: () => now, wallMs: () => 1_800_000_000_000 + now },
    sleep: (ms) => {
      now += ms;
      return Promise.resolve();
    },
    connectPlatform: () => store.platform,
    connectPeer: (address) => ({
      call: <T>(method: string, params: unknown) => {
        const one = instances.find((it) => it.address === address);
        if (one === undefined || one.isDown) {
          return Promise.resolve(ResultCodes.fail("peerUnreachable", address));
        }
        if (one.hasDifferentSecret) {
          return Promise.resolve(ResultCodes.fail("peerAuth"));
        }
        const given = params as Record<string, unknown>;
        return Promise.resolve(Ok(respond(one, instances, method, given) as T));
      },
      close: () => {},
    }),
    files: {
      exists: (path) => files.has(path),
      read: (path) => {
        const text = files.get(path);
        return text === undefined
          ? ResultCodes.fail("toolFile", path)
          : Ok(text);
      },
      write: (path, text) => {
        files.set(path, text);
        return Ok(undefined);
      },
    },
    stdout: { write: (text) => void (printed.out += text), isTerminal: false },
    stderr: { write: (text) => void (printed.err += text), isTerminal: false },
    operator: "matti",
    randomBytes: (count) => new Uint8Array(count).fill(0xa5),
    defaultConfig: "tool.toml",
  };
  return { deps, printed };
}

/** Settings of the tool in a world. */
export const TOOL_SETTINGS = `
[platform]
address = "10.0.0.9:7000"
[peers]
addresses = ["10.0.0.1:1", "10.0.0.1:2"]
secret = "0123456789abcdef"
`;

/** Three instances, a store that has the table `csv`, and the file t.csv with `edited`. */
export function createToolFixture(csv: string, edited: string) {
  const store = createFakeStore();
  const instances = ["a1", "b1", "c1"]
    .map((id, index) => createFakeInstance(id, index + 1));
  const files = new Map([["tool.toml", TOOL_SETTINGS], ["t.csv", edited]]);
  async function run(line: string) {
    const fake = createFakeDeps(store, instances, files);
    const exit = await Run.run(line.split(" "), fake.deps);
    return { exit, ...fake.printed };
  }
  store.put("table", { writeId: "w1", by: "leena", csv });
  return { store, instances, files, run };
}

/** What `createWorld` returns. */
export type ToolFixture = ReturnType<typeof createToolFixture>;
