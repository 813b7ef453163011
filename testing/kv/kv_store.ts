/**
 * Stand-in for the users' key-value store, written from its published protocol:
 * keys, ranges in pages, watches, conditional writes, leases. Tests can make it
 * refuse, fall silent, lose answers, forget its history and return from a copy.
 */
import * as Http from "node:http";
import type * as Net from "node:net";
import * as Json from "../../src/json.ts";

const FIRST_LEASE = 1_000;
const MAX_REQUEST_BYTES = 4 * 1_024 * 1_024;

/** How the store answers. */
export type Mode = "serving" | "busy" | "silent" | "losing-answers";

/** A running stand-in. */
export interface KvStore {
  readonly address: string;
  setMode(mode: Mode): void;
  /** Writes as the operator or a target does. */
  put(key: string, value: string): void;
  remove(key: string): void;
  get(key: string): string | undefined;
  getKeys(): readonly string[];
  /** Drops the history; watches that wait are cut. */
  compact(): void;
  /** Ends a lease and removes its keys. */
  endLeases(): void;
  /** Copies what the store holds now. */
  copy(): StoreCopy;
  /** Returns to a copy: later writes and leases are gone, their revisions are given out again, connections are reset. */
  restore(copy: StoreCopy): void;
  /** Calls by path. */
  getCalls(): ReadonlyMap<string, number>;
  close(): Promise<void>;
}

/** What the store held at some moment. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, Item>;
  readonly leases: ReadonlyMap<number, number>;
  readonly history: readonly Event[];
  readonly revision: number;
  readonly nextLease: number;
}

interface Item {
  readonly key: string;
  readonly value: string;
  readonly rev: number;
  readonly createdRev: number;
  readonly lease: number;
}

type Event = Item | {
  readonly key: string;
  readonly rev: number;
  readonly deleted: true;
};

interface Waiter {
  readonly prefix: string;
  readonly after: number;
  readonly answer: (status: number, body: unknown) => void;
}

/** Starts an empty store on a free port of the loopback interface. */
export async function startKvStore(
  opts: { readonly pageItems?: number } = {},
): Promise<KvStore> {
  const pageItems = opts.pageItems ?? 500;
  let items = new Map<string, Item>();
  let leases = new Map<number, number>();
  /** Rises with each restore. */
  let era = 1;
  const calls = new Map<string, number>();
  const waiters = new Set<Waiter>();
  const sockets = new Set<Net.Socket>();
  let history: Event[] = [];
  let historyStart = 0;
  let revision = 1;
  let nextLease = FIRST_LEASE;
  let mode: Mode = "serving";

  function record(event: Event): void {
    history.push(event);
    for (const waiter of [...waiters]) tryWake(waiter);
  }

  function tryWake(waiter: Waiter): boolean {
    const events = history.filter((event) =>
      event.rev > waiter.after && event.key.startsWith(waiter.prefix)
    );
    if (events.length === 0) return false;
    waiters.delete(waiter);
    waiter.answer(200, { events, asOf: revision });
    return true;
  }

  function write(key: string, base64: string, lease: number): void {
    revision++;
    const createdRev = items.get(key)?.createdRev ?? revision;
    const item = { key, value: base64, rev: revision, createdRev, lease };
    items.set(key, item);
    record(item);
  }

  function erase(key: string): void {
    if (!items.delete(key)) return;
    revision++;
    record({ key, rev: revision, deleted: true });
  }

  function endLease(lease: number): void {
    leases.delete(lease);
    for (const item of [...items.values()]) {
      if (item.lease === lease) erase(item.key);
    }
  }

  function answerRange(
    query: URLSearchParams,
    answer: Waiter["answer"],
  ): void {
    const prefix = query.get("pathPrefix") ?? "";
    const after = query.get("after") ?? "";
    const all = [...items.values()]
      .filter((item) => item.key.startsWith(prefix) && item.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    answer(200, {
      items: all.slice(0, pageItems),
      hasMore: all.length > pageItems,
      asOf: revision,
    });
  }

  function answerWatch(
    query: URLSearchParams,
    answer: Waiter["answer"],
  ): void {
    const after = Number(query.get("after"));
    if (after < historyStart || after > revision) return answer(410, {});
    const prefix = query.get("pathPrefix") ?? "";
    const waiter: Waiter = { prefix, after, answer };
    if (tryWake(waiter)) return;
    waiters.add(waiter);
    setTimeout(() => {
      if (!waiters.delete(waiter)) return;
      answer(200, { events: [], asOf: revision });
    }, Number(query.get("waitMaxMs")));
  }

  function answerTxn(body: Json.JsonObject, answer: Waiter["answer"]): void {
    const expect = (body["expect"] ?? []) as readonly Item[];
    const writes = (body["writes"] ?? []) as readonly Item[];
    const isMet = expect.every(({ key, rev }) =>
      (items.get(key)?.rev ?? 0) === rev
    );
    if (!isMet) {
      const current = expect.map(({ key }) => items.get(key));
      return answer(412, { items: current.filter((one) => one !== undefined) });
    }
    if (writes.some(({ lease }) => lease !== 0 && !leases.has(lease))) {
      return answer(404, {});
    }
    for (const { key, value, lease } of writes) write(key, value, lease);
    answer(200, { rev: revision });
  }

  function handle(
    method: string,
    url: URL,
    body: Json.JsonObject,
    answer: Waiter["answer"],
  ): void {
    const [, , call = "", id = ""] = url.pathname.split("/");
    calls.set(call, (calls.get(call) ?? 0) + 1);
    switch (`${method} ${call}`) {
      case "GET kv-key": {
        const item = items.get(url.searchParams.get("key") ?? "");
        if (item === undefined) return answer(404, { asOf: revision });
        return answer(200, { ...item, asOf: revision });
      }
      case "GET kv-range":
        return answerRange(url.searchParams, answer);
      case "GET kv-watch":
        return answerWatch(url.searchParams, answer);
      case "POST kv-txn":
        return answerTxn(body, answer);
      case "POST kv-lease":
        leases.set(++nextLease, Number(body["ttlMs"]));
        return answer(200, { lease: nextLease, ttlMs: body["ttlMs"] });
      case "POST kv-keep": {
        const ttlMs = leases.get(Number(id));
        return ttlMs === undefined ? answer(404, {}) : answer(200, { ttlMs });
      }
      case "DELETE kv-lease-end":
        endLease(Number(id));
        return answer(200, {});
      default:
        return answer(404, {});
    }
  }

  const server = Http.createServer((req, res) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on("error", () => {});
    res.on("error", () => {});
    req.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_REQUEST_BYTES) req.destroy();
      else chunks.push(chunk);
    });
    req.on("end", () => {
      const answer = (status: number, value: unknown) => {
        if (mode === "losing-answers") return void req.socket.destroy();
        res.writeHead(status, {
          "content-type": "application/json",
          "Store-Era": String(era),
        });
        res.end(JSON.stringify(value));
      };
      if (mode === "silent") return;
      if (mode === "busy") {
        res.writeHead(503);
        return void res.end();
      }
      const text = Buffer.concat(chunks).toString();
      const body = Json.tryParseObject(text) ?? {};
      const url = new URL(req.url ?? "/", "http://store");
      handle(req.method ?? "GET", url, body, answer);
    });
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as Net.AddressInfo;

  return {
    address: `127.0.0.1:${port}`,
    setMode(next) {
      mode = next;
      // Whoever waits learns nothing of the change.
      if (next !== "serving") waiters.clear();
    },
    put: (key, value) => write(key, Buffer.from(value).toString("base64"), 0),
    remove: erase,
    get(key) {
      const value = items.get(key)?.value;
      if (value === undefined) return undefined;
      return Buffer.from(value, "base64").toString();
    },
    getKeys: () => [...items.keys()],
    compact() {
      history = [];
      historyStart = revision;
      for (const waiter of waiters) waiter.answer(410, {});
      waiters.clear();
    },
    endLeases() {
      for (const lease of [...leases.keys()]) endLease(lease);
    },
    copy: () => ({
      items: new Map(items),
      leases: new Map(leases),
      history: [...history],
      revision,
      nextLease,
    }),
    restore(copy) {
      items = new Map(copy.items);
      leases = new Map(copy.leases);
      history = [...copy.history];
      ({ revision, nextLease } = copy);
      era++;
      waiters.clear();
      sockets.forEach((socket) => socket.destroy());
    },
    getCalls: () => calls,
    close() {
      sockets.forEach((socket) => socket.destroy());
      return new Promise((done) => server.close(() => done()));
    },
  };
}
