/** Registers an instance in the platform's list and keeps it there. */
import { request } from "undici";
import * as Clock from "../../src/clock.ts";
import type * as Types from "../../src/types.ts";

const DEFAULT_TTL_MS = 5_000;
const CALL_LIMIT_MS = 1_000;
/** Heartbeats per period, so that a single lost one does not drop the instance. */
const HEARTBEATS_PER_TTL = 5;

/** A registered instance. */
export interface Registration {
  /** Sets the state and says so at once; resolves whether the platform heard it. */
  setState(state: Types.PlatformInstance["state"]): Promise<boolean>;
  /** Stops heartbeats; with `remove` the instance leaves the list at once. */
  stop(opts: { readonly remove: boolean }): Promise<void>;
}

/** Where and what to register. */
export interface RegistrationOptions {
  readonly platform: Types.Address;
  readonly instance: Types.PlatformInstance;
  readonly ttlMs?: number;
}

/** Registers and sends heartbeats until stopped; goes on through outages of the platform. */
export function createRegistration(opts: RegistrationOptions): Registration {
  const ttlMs = opts.ttlMs ?? DEFAULT_TTL_MS;
  const url = `http://${opts.platform}/v1/instances/` +
    encodeURIComponent(opts.instance.id);
  const abort = new AbortController();
  let instance = opts.instance;

  async function send(method: "PUT" | "DELETE"): Promise<boolean> {
    const body = method === "PUT" ? JSON.stringify({ ...instance, ttlMs }) : "";
    try {
      const signal = AbortSignal.timeout(CALL_LIMIT_MS);
      const res = await request(url, { method, body, signal });
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      return false;
    }
  }

  async function keepRegistered(): Promise<void> {
    while (!abort.signal.aborted) {
      await send("PUT");
      await Clock.sleep(ttlMs / HEARTBEATS_PER_TTL, abort.signal);
    }
  }

  const done = keepRegistered();
  return {
    setState(state) {
      instance = { ...instance, state };
      return send("PUT");
    },
    async stop({ remove }) {
      abort.abort();
      await done;
      if (remove) await send("DELETE");
    },
  };
}
