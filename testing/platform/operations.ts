/** The operations of the stand-in's protocol: checks a request and carries it out. */
import type * as Types from "../../src/types.ts";
import * as HttpJson from "../http_json.ts";
import type * as Instances from "./instances.ts";
import * as Store from "./store.ts";

const MAX_KEY_CHARS = 512;
const MAX_WRITE_ID_CHARS = 128;
const MAX_WATCH_MS = 60_000;
const MIN_TTL_MS = 50;
const MAX_TTL_MS = 600_000;

/** One checked call. */
export interface Operation {
  readonly name: string;
  /** Key that a write goes to; empty for others. */
  readonly key: string;
  /** Carries it out; `signal` aborts when the caller has gone. */
  run(signal: AbortSignal): HttpJson.JsonAnswer | Promise<HttpJson.JsonAnswer>;
}

/** What the operations work on. */
export interface Services {
  readonly store: Store.Store;
  readonly instances: Instances.InstanceList;
}

/** A call as it came in. */
export interface Call {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: HttpJson.JsonObject;
}

/** A checked call, or the answer that refuses it. */
export type Parsed = Operation | HttpJson.JsonAnswer;

/** True when the call was refused. */
export function isRefused(parsed: Parsed): parsed is HttpJson.JsonAnswer {
  return "status" in parsed;
}

function ok(body: HttpJson.JsonObject): HttpJson.JsonAnswer {
  return { status: 200, body };
}

function isText(value: unknown, maxChars: number): value is string {
  return typeof value === "string" && value.length > 0 &&
    value.length <= maxChars;
}

function isInteger(value: unknown, min: number, max: number): value is number {
  return Number.isInteger(value) && Number(value) >= min &&
    Number(value) <= max;
}

function tryInteger(
  text: string | null,
  min: number,
  max: number,
): number | undefined {
  if (text === null || !/^\d{1,16}$/.test(text)) return undefined;
  const value = Number(text);
  return isInteger(value, min, max) ? value : undefined;
}

const isVersion = (value: unknown): value is number =>
  isInteger(value, 0, Number.MAX_SAFE_INTEGER);

function parseCas(
  { store }: Services,
  key: string,
  body: HttpJson.JsonObject,
): Parsed {
  const { expectedVersion, value, writeId, leaseId } = body;
  if (!isVersion(expectedVersion)) return HttpJson.malformed("expectedVersion");
  if (typeof value !== "string") return HttpJson.malformed("value");
  if (!isText(writeId, MAX_WRITE_ID_CHARS)) {
    return HttpJson.malformed("writeId");
  }
  const hasLease = leaseId !== undefined;
  if (hasLease && typeof leaseId !== "string") {
    return HttpJson.malformed("leaseId");
  }
  if (Buffer.byteLength(value) > Store.MAX_VALUE_BYTES) {
    return HttpJson.refuse(413, "value-too-large", "over 1000000 bytes");
  }
  const write = { key, expectedVersion, value, writeId };
  return {
    name: "cas",
    key,
    run() {
      const done = store.cas(hasLease ? { ...write, leaseId } : write);
      switch (done.kind) {
        case "written":
          return ok({ version: done.version });
        case "lease-lapsed":
          return HttpJson.refuse(410, "lease-lapsed", "no such lease");
        case "conflict": {
          const { version, writeId } = done.current ?? {};
          const current = { version: version ?? 0, writeId };
          return HttpJson.refuse(409, "conflict", "other version", { current });
        }
      }
    },
  };
}

function parseRemove(
  { store }: Services,
  key: string,
  query: URLSearchParams,
): Parsed {
  const expected = tryInteger(
    query.get("expectedVersion"),
    1,
    Number.MAX_SAFE_INTEGER,
  );
  if (expected === undefined) return HttpJson.malformed("expectedVersion");
  return {
    name: "remove",
    key,
    run() {
      const outcome = store.remove(key, expected);
      if (outcome === "removed") return ok({});
      return outcome === "absent"
        ? HttpJson.refuse(404, "absent", "no such key")
        : HttpJson.refuse(409, "conflict", "other version");
    },
  };
}

function parseEntry(services: Services, call: Call): Parsed {
  const key = call.query.get("key");
  if (!isText(key, MAX_KEY_CHARS)) return HttpJson.malformed("key");
  switch (call.method) {
    case "GET":
      return {
        name: "get",
        key: "",
        run() {
          const entry = services.store.tryGet(key);
          return entry === undefined
            ? HttpJson.refuse(404, "absent", "no such key")
            : ok({ entry });
        },
      };
    case "PUT":
      return parseCas(services, key, call.body);
    case "DELETE":
      return parseRemove(services, key, call.query);
    default:
      return wrongMethod();
  }
}

function wrongMethod(): HttpJson.JsonAnswer {
  return HttpJson.refuse(405, "malformed", "method");
}

/** Resolves when a record below the prefix changes, the time is over or the caller has gone. */
function waitForChange(
  store: Store.Store,
  prefix: string,
  waitMs: number,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      clearTimeout(timer);
      stop();
      signal.removeEventListener("abort", done);
      resolve();
    };
    const timer = setTimeout(done, waitMs);
    const stop = store.onChange((key) => {
      if (key.startsWith(prefix)) done();
    });
    signal.addEventListener("abort", done);
  });
}

function parseWatch({ store }: Services, query: URLSearchParams): Parsed {
  const prefix = query.get("prefix") ?? "";
  const after = tryInteger(query.get("after"), 0, Number.MAX_SAFE_INTEGER);
  const waitMs = tryInteger(query.get("waitMs"), 0, MAX_WATCH_MS);
  if (after === undefined) return HttpJson.malformed("after");
  if (waitMs === undefined) return HttpJson.malformed("waitMs");
  const isChanged = () => after === 0 || store.isChangedAfter(prefix, after);
  return {
    name: "watch",
    key: "",
    async run(signal) {
      store.expireLeases();
      if (!isChanged()) await waitForChange(store, prefix, waitMs, signal);
      const revision = store.getRevision();
      return isChanged()
        ? ok({ revision, isChanged: true, entries: store.list(prefix) })
        : ok({ revision, isChanged: false, entries: [] });
    },
  };
}

function parseGrant({ store }: Services, body: HttpJson.JsonObject): Parsed {
  const { ttlMs, writeId } = body;
  if (!isInteger(ttlMs, MIN_TTL_MS, MAX_TTL_MS)) {
    return HttpJson.malformed("ttlMs");
  }
  if (!isText(writeId, MAX_WRITE_ID_CHARS)) {
    return HttpJson.malformed("writeId");
  }
  return {
    name: "grant",
    key: "",
    run: () => ok({ leaseId: store.grantLease(ttlMs, writeId) }),
  };
}

function parseLease({ store }: Services, call: Call, id: string): Parsed {
  if (call.method !== "PUT" && call.method !== "DELETE") return wrongMethod();
  const isRenewal = call.method === "PUT";
  return {
    name: isRenewal ? "renew" : "release",
    key: "",
    run() {
      const isDone = isRenewal ? store.renewLease(id) : store.releaseLease(id);
      return isDone
        ? ok({})
        : HttpJson.refuse(410, "lease-lapsed", "no such lease");
    },
  };
}

const STATES = ["live", "leaving"];
const INSTANCE_TEXTS = ["service", "domain", "region", "address"] as const;

function parseRegistration(
  { instances }: Services,
  id: string,
  body: HttpJson.JsonObject,
): Parsed {
  const { service, domain, region, address, slots, state, ttlMs } = body;
  for (const name of INSTANCE_TEXTS) {
    if (!isText(body[name], MAX_KEY_CHARS)) return HttpJson.malformed(name);
  }
  if (!isInteger(slots, 0, 1e6)) return HttpJson.malformed("slots");
  if (!STATES.includes(String(state))) return HttpJson.malformed("state");
  if (!isInteger(ttlMs, MIN_TTL_MS, MAX_TTL_MS)) {
    return HttpJson.malformed("ttlMs");
  }
  const instance = { id, service, domain, region, address, slots, state };
  return {
    name: "register",
    key: "",
    run() {
      instances.register(instance as Types.PlatformInstance, ttlMs);
      return ok({});
    },
  };
}

function parseHeartbeat(
  { instances }: Services,
  id: string,
  body: HttpJson.JsonObject,
): Parsed {
  const { state } = body;
  const isGood = state === undefined || STATES.includes(String(state));
  if (!isGood) return HttpJson.malformed("state");
  return {
    name: "heartbeat",
    key: "",
    run() {
      const next = state as Types.PlatformInstance["state"] | undefined;
      return instances.heartbeat(id, next)
        ? ok({})
        : HttpJson.refuse(404, "absent", "not registered");
    },
  };
}

function parseInstance(services: Services, call: Call, id: string): Parsed {
  switch (call.method) {
    case "PUT":
      return parseRegistration(services, id, call.body);
    case "POST":
      return parseHeartbeat(services, id, call.body);
    case "DELETE":
      return {
        name: "unregister",
        key: "",
        run() {
          services.instances.unregister(id);
          return ok({});
        },
      };
    default:
      return wrongMethod();
  }
}

function parseList({ store }: Services, query: URLSearchParams): Parsed {
  const prefix = query.get("prefix") ?? "";
  return {
    name: "list",
    key: "",
    run: () => ok({ entries: store.list(prefix) }),
  };
}

/** Checks a call against the protocol. */
export function parseCall(services: Services, call: Call): Parsed {
  const [, version, kind, id, ...more] = call.path.split("/");
  const isKnown = version === "v1" && more.length === 0;
  if (!isKnown) return HttpJson.refuse(404, "malformed", "path");
  if (kind === "entry" && id === undefined) return parseEntry(services, call);
  if (kind === "leases" && id !== undefined) {
    return parseLease(services, call, id);
  }
  if (kind === "instances" && isText(id, MAX_KEY_CHARS)) {
    return parseInstance(services, call, id);
  }
  switch (`${call.method} ${kind}`) {
    case "GET entries":
      return parseList(services, call.query);
    case "GET watch":
      return parseWatch(services, call.query);
    case "POST leases":
      return parseGrant(services, call.body);
    case "GET instances":
      return {
        name: "instances",
        key: "",
        run: () => ok({ instances: services.instances.read() }),
      };
    default:
      return HttpJson.refuse(404, "malformed", "path");
  }
}
