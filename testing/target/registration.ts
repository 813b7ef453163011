/**
 * Registers a target stand-in with the platform's instance list. Promise: while
 * it runs, the list has the entry again within a second of the platform's
 * recovery; an unreachable platform delays nothing.
 */
import * as Undici from "undici";
import * as Clock from "../../src/clock.ts";
import type * as Types from "../../src/types.ts";

const REFRESH_MS = 1_000;
/** The list drops a target that died after this time. */
const TTL_MS = 3_000;
const CALL_TIMEOUT_MS = 2_000;

/** A repeated registration. */
export interface Registration {
  /** Sends the entry now, for a change of state. */
  refresh(): Promise<void>;
  /** Ends the repetition and deletes the entry. */
  remove(): Promise<void>;
}

/** Starts to register what `getInstance` returns with the platform at `address`. */
export function startRegistration(
  address: Types.Address,
  getInstance: () => Types.PlatformInstance,
): Registration {
  const abort = new AbortController();
  const id = encodeURIComponent(getInstance().id);
  const url = `http://${address}/v1/instances/${id}`;

  async function call(method: "PUT" | "DELETE"): Promise<void> {
    const body = method === "PUT"
      ? JSON.stringify({ ...getInstance(), ttlMs: TTL_MS })
      : null;
    try {
      const res = await Undici.request(url, {
        method,
        body,
        headers: { "content-type": "application/json" },
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      await res.body.dump();
    } catch {
      // The next repetition sends it again.
    }
  }

  async function repeat(): Promise<void> {
    while (!abort.signal.aborted) {
      await call("PUT");
      await Clock.sleep(REFRESH_MS, abort.signal);
    }
  }

  const done = repeat();
  return {
    refresh: () => call("PUT"),
    async remove() {
      abort.abort();
      await done;
      await call("DELETE");
    },
  };
}
