/** One HTTP exchange with the platform, and what is known when it fails. */
import { Pool } from "undici";
import type * as Clock from "../clock.ts";
import * as Json from "../json.ts";
import type * as Types from "../types.ts";

/** What came of a call. */
export type Reply =
  /** The platform carried it out or refused it (status below 500). */
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly body: Json.JsonObject;
  }
  /** No connection: the call can't have taken effect. */
  | { readonly kind: "not-sent"; readonly detail: string }
  /** Time-out, reset or unusable answer: it may have taken effect. */
  | { readonly kind: "lost"; readonly detail: string };

/** A call to the platform. */
export interface Call {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly query?: Readonly<Record<string, string | number>>;
  readonly body?: Json.JsonObject;
}

/** Connections to the platform. */
export interface Exchange {
  /** Never rejects; ends at once when `signal` aborts. */
  send(call: Call, signal: AbortSignal): Promise<Reply>;
  getLastAnsweredAtMs(): number | undefined;
  /** True when the call that ended last got no answer. */
  isFailing(): boolean;
  close(): Promise<void>;
}

/** Far above the records of one prefix; bounds memory when the peer is not the platform. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Abort reason of a call whose time is over; any other reason is a cancellation. */
export const TIMED_OUT = new Error("no answer in time");

function isCancelled(signal: AbortSignal): boolean {
  return signal.aborted && signal.reason !== TIMED_OUT;
}

function getErrorCode(err: unknown): string {
  const code = (err as { code?: unknown } | undefined)?.code;
  return typeof code === "string" ? code : String(err);
}

function formatPath({ path, query }: Call): string {
  const pairs = Object.entries(query ?? {});
  const params = new URLSearchParams(
    pairs.map(([name, value]): [string, string] => [name, String(value)]),
  );
  return pairs.length === 0 ? path : `${path}?${params}`;
}

async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.length;
    if (length > MAX_ANSWER_BYTES) throw new Error("answer too long");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Creates a pool of connections; a pending watch has a connection of its own. */
export function createExchange(
  address: Types.Address,
  connectTimeoutMs: number,
  clock: Clock.Clock,
): Exchange {
  const pool = new Pool(`http://${address}`, {
    connect: { timeout: connectTimeoutMs },
    // Calls are bounded by their signal; undici's own limits are coarser.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  let lastAnsweredAtMs: number | undefined;
  let isFailing = false;

  async function exchange(call: Call, signal: AbortSignal): Promise<Reply> {
    const sentAtMs = clock.nowMs();
    const res = await pool.request({
      method: call.method,
      path: formatPath(call),
      headers: { "content-type": "application/json" },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal,
    });
    const body = Json.tryParseObject(await readText(res.body));
    if (res.statusCode >= 500 || body === undefined) {
      isFailing = true;
      return { kind: "lost", detail: `status ${res.statusCode}` };
    }
    lastAnsweredAtMs = Math.max(lastAnsweredAtMs ?? sentAtMs, sentAtMs);
    isFailing = false;
    return { kind: "answered", status: res.statusCode, body };
  }

  return {
    async send(call, signal) {
      if (signal.aborted) return { kind: "not-sent", detail: "cancelled" };
      try {
        return await exchange(call, signal);
      } catch (err) {
        const detail = signal.aborted ? "no answer in time" : getErrorCode(err);
        // A cancelled call says nothing about the store.
        isFailing ||= !isCancelled(signal);
        const isUnsent = CONNECT_ERRORS.has(detail);
        return { kind: isUnsent ? "not-sent" : "lost", detail };
      }
    },
    getLastAnsweredAtMs: () => lastAnsweredAtMs,
    isFailing: () => isFailing,
    close: () => pool.destroy(),
  };
}
