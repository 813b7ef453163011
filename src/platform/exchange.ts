/** HTTP exchanges with the platform, and whether a failed call may have taken effect. */
import { Pool } from "undici";
import * as BodyBuffer from "../body_buffer.ts";
import * as ResponseGuard from "../response_guard.ts";
import type * as Clock from "../clock.ts";
import * as Json from "../json.ts";
import type * as Types from "../types.ts";

/** Outcome of a call. */
export type CallOutcome =
  /** The platform executed or rejected the call (status below 500). */
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly body: Json.JsonObject;
  }
  /** No connection was established, so the call can't have taken effect. */
  | { readonly kind: "not-sent"; readonly detail: string }
  /** Time-out, connection reset or unusable response: the call may have taken effect. */
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
  /** Sends a call. The promise never rejects and resolves at once when `signal` aborts. */
  send(call: Call, signal: AbortSignal): Promise<CallOutcome>;
  /** Monotonic ms at which the last call with a response was sent. */
  getLastResponseAtMs(): number | undefined;
  /** True when the last completed call got no usable response. */
  isFailing(): boolean;
  close(): Promise<void>;
}

/** Well above the bytes of all records of a prefix; bounds memory if another server listens at the address. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Abort reason of a call that timed out; any other reason is a cancellation. */
export const TIMED_OUT = new Error("the call timed out");

function isCancelled(signal: AbortSignal): boolean {
  return signal.aborted && signal.reason !== TIMED_OUT;
}

function getErrorCode(err: unknown): string {
  if (ResponseGuard.tryGetFirstBytes(err) !== undefined) {
    return (err as Error).message;
  }
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

async function readBody(chunks: AsyncIterable<Buffer>): Promise<string> {
  const body = BodyBuffer.createBodyBuffer();
  for await (const chunk of chunks) {
    body.append(chunk);
    if (body.getBytes() > MAX_RESPONSE_BYTES) {
      throw new Error("response too long");
    }
  }
  return body.take().toString("utf8");
}

/** Creates a connection pool. Each pending watch occupies one connection. */
export function createExchange(
  address: Types.Address,
  connectTimeoutMs: number,
  clock: Clock.Clock,
): Exchange {
  const pool = new Pool(`http://${address}`, {
    connect: ResponseGuard.createConnector({ timeout: connectTimeoutMs }),
    // The signal limits each call; undici's own time-outs are coarser.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  let lastResponseAtMs: number | undefined;
  let isFailing = false;

  async function sendOnce(
    call: Call,
    signal: AbortSignal,
  ): Promise<CallOutcome> {
    const sentAtMs = clock.nowMs();
    const res = await pool.request({
      method: call.method,
      path: formatPath(call),
      headers: { "content-type": "application/json" },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal,
    });
    const body = Json.tryParseObject(await readBody(res.body));
    if (res.statusCode >= 500 || body === undefined) {
      isFailing = true;
      return { kind: "lost", detail: `status ${res.statusCode}` };
    }
    lastResponseAtMs = Math.max(lastResponseAtMs ?? sentAtMs, sentAtMs);
    isFailing = false;
    return { kind: "answered", status: res.statusCode, body };
  }

  return {
    async send(call, signal) {
      if (signal.aborted) return { kind: "not-sent", detail: "cancelled" };
      try {
        return await sendOnce(call, signal);
      } catch (err) {
        const detail = signal.aborted ? "no answer in time" : getErrorCode(err);
        // A cancelled call is no evidence of a store failure.
        isFailing ||= !isCancelled(signal);
        const isUnsent = CONNECT_ERRORS.has(detail);
        return { kind: isUnsent ? "not-sent" : "lost", detail };
      }
    },
    getLastResponseAtMs: () => lastResponseAtMs,
    isFailing: () => isFailing,
    close: () => pool.destroy(),
  };
}
