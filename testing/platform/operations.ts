/** The operations of the stand-in's protocol: checks a request and carries it out. */
import type * as Json from "../../src/json.ts";
import * as HttpJson from "../http_json.ts";
import * as InstanceOperations from "./instance_operations.ts";
import * as Operation from "./operation.ts";
import * as Store from "./store.ts";

const MAX_WRITE_ID_CHARS = 128;
const MAX_WATCH_MS = 60_000;

const isVersion = (value: unknown): value is number =>
  Operation.isInteger(value, 0, Number.MAX_SAFE_INTEGER);

function parseCas(
  { store }: Operation.Services,
  key: string,
  body: Json.JsonObject,
): Operation.Parsed {
  const { expectedVersion, value, writeId, leaseId } = body;
  if (!isVersion(expectedVersion)) return HttpJson.malformed("expectedVersion");
  if (typeof value !== "string") return HttpJson.malformed("value");
  if (!Operation.isText(writeId, MAX_WRITE_ID_CHARS)) {
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
          return Operation.ok({ version: done.version });
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
  { store }: Operation.Services,
  key: string,
  query: URLSearchParams,
): Operation.Parsed {
  const expected = Operation.tryInteger(
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
      if (outcome === "removed") return Operation.ok({});
      return outcome === "absent"
        ? HttpJson.refuse(404, "absent", "no such key")
        : HttpJson.refuse(409, "conflict", "other version");
    },
  };
}

function parseEntry(
  services: Operation.Services,
  call: Operation.Call,
): Operation.Parsed {
  const key = call.query.get("key");
  if (!Operation.isText(key, Operation.MAX_KEY_CHARS)) {
    return HttpJson.malformed("key");
  }
  switch (call.method) {
    case "GET":
      return {
        name: "get",
        key: "",
        run() {
          const entry = services.store.tryGet(key);
          return entry === undefined
            ? HttpJson.refuse(404, "absent", "no such key")
            : Operation.ok({ entry });
        },
      };
    case "PUT":
      return parseCas(services, key, call.body);
    case "DELETE":
      return parseRemove(services, key, call.query);
    default:
      return Operation.wrongMethod();
  }
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

function parseWatch(
  { store }: Operation.Services,
  query: URLSearchParams,
): Operation.Parsed {
  const prefix = query.get("prefix") ?? "";
  const after = Operation.tryInteger(
    query.get("after"),
    0,
    Number.MAX_SAFE_INTEGER,
  );
  const waitMs = Operation.tryInteger(query.get("waitMs"), 0, MAX_WATCH_MS);
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
        ? Operation.ok({
          revision,
          isChanged: true,
          entries: store.list(prefix),
        })
        : Operation.ok({ revision, isChanged: false, entries: [] });
    },
  };
}

function parseGrant(
  { store }: Operation.Services,
  body: Json.JsonObject,
): Operation.Parsed {
  const { ttlMs, writeId } = body;
  if (!Operation.isInteger(ttlMs, Operation.MIN_TTL_MS, Operation.MAX_TTL_MS)) {
    return HttpJson.malformed("ttlMs");
  }
  if (!Operation.isText(writeId, MAX_WRITE_ID_CHARS)) {
    return HttpJson.malformed("writeId");
  }
  return {
    name: "grant",
    key: "",
    run: () => Operation.ok({ leaseId: store.grantLease(ttlMs, writeId) }),
  };
}

function parseLease(
  { store }: Operation.Services,
  call: Operation.Call,
  id: string,
): Operation.Parsed {
  if (call.method !== "PUT" && call.method !== "DELETE") {
    return Operation.wrongMethod();
  }
  const isRenewal = call.method === "PUT";
  return {
    name: isRenewal ? "renew" : "release",
    key: "",
    run() {
      const isDone = isRenewal ? store.renewLease(id) : store.releaseLease(id);
      return isDone
        ? Operation.ok({})
        : HttpJson.refuse(410, "lease-lapsed", "no such lease");
    },
  };
}

function parseList(
  { store }: Operation.Services,
  query: URLSearchParams,
): Operation.Parsed {
  const prefix = query.get("prefix") ?? "";
  return {
    name: "list",
    key: "",
    run: () => Operation.ok({ entries: store.list(prefix) }),
  };
}

/** Checks a call against the protocol. */
export function parseCall(
  services: Operation.Services,
  call: Operation.Call,
): Operation.Parsed {
  const [, version, kind, id, ...more] = call.path.split("/");
  const isKnown = version === "v1" && more.length === 0;
  if (!isKnown) return HttpJson.refuse(404, "malformed", "path");
  if (kind === "entry" && id === undefined) return parseEntry(services, call);
  if (kind === "leases" && id !== undefined) {
    return parseLease(services, call, id);
  }
  if (kind === "instances" && Operation.isText(id, Operation.MAX_KEY_CHARS)) {
    return InstanceOperations.parseInstance(services, call, id);
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
        run: () => Operation.ok({ instances: services.instances.read() }),
      };
    default:
      return HttpJson.refuse(404, "malformed", "path");
  }
}
