/** Registration, heartbeats and removal of instances. */
import type * as Types from "../../src/types.ts";
import type * as Json from "../../src/json.ts";
import * as HttpJson from "../http_json.ts";
import * as Operation from "./operation.ts";

const STATES = ["live", "leaving"];
const INSTANCE_TEXTS = ["service", "domain", "region", "address"] as const;

function parseRegistration(
  { instances }: Operation.Services,
  id: string,
  body: Json.JsonObject,
): Operation.Parsed {
  const { service, domain, region, address, slots, state, ttlMs } = body;
  for (const name of INSTANCE_TEXTS) {
    if (!Operation.isText(body[name], Operation.MAX_KEY_CHARS)) {
      return HttpJson.malformed(name);
    }
  }
  if (!Operation.isInteger(slots, 0, 1e6)) return HttpJson.malformed("slots");
  if (!STATES.includes(String(state))) return HttpJson.malformed("state");
  if (!Operation.isInteger(ttlMs, Operation.MIN_TTL_MS, Operation.MAX_TTL_MS)) {
    return HttpJson.malformed("ttlMs");
  }
  const instance = { id, service, domain, region, address, slots, state };
  return {
    name: "register",
    key: "",
    run() {
      instances.register(instance as Types.PlatformInstance, ttlMs);
      return Operation.ok({});
    },
  };
}

function parseHeartbeat(
  { instances }: Operation.Services,
  id: string,
  body: Json.JsonObject,
): Operation.Parsed {
  const { state } = body;
  const isGood = state === undefined || STATES.includes(String(state));
  if (!isGood) return HttpJson.malformed("state");
  return {
    name: "heartbeat",
    key: "",
    run() {
      const next = state as Types.PlatformInstance["state"] | undefined;
      return instances.heartbeat(id, next)
        ? Operation.ok({})
        : HttpJson.refuse(404, "absent", "not registered");
    },
  };
}

/** Checks a call about one instance. */
export function parseInstance(
  services: Operation.Services,
  call: Operation.Call,
  id: string,
): Operation.Parsed {
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
          return Operation.ok({});
        },
      };
    default:
      return Operation.wrongMethod();
  }
}
