/**
 * One exchange with a target on one connection. The answer is held back until it
 * is whole, so that a broken one never looks complete to the caller.
 */
import type * as Undici from "undici";
import * as Connections from "./connections.ts";
import type * as GatewayTypes from "./types.ts";

/** Longest answer that is held back; bounds the memory of one request. */
export const MAX_ANSWER_BYTES = 32 * 1024 * 1024;
/** What a server answers on a connection on which no request came in time. */
const STATUS_REQUEST_TIMEOUT = 408;

/** A request for a target. */
export interface TargetRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** A whole answer. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: GatewayTypes.HeaderPairs;
  readonly body: Buffer;
}

/** How the exchange ended. */
export type ExchangeResult =
  | { readonly kind: "answer"; readonly answer: TargetAnswer }
  /** The request may have run. `wasReset`: the target's side ended the connection. */
  | {
    readonly kind: "broke";
    readonly reason: string;
    readonly wasReset: boolean;
  }
  /** `signal` ended it; the connection is closed, which cancels the request at the target. */
  | { readonly kind: "aborted" };

function toPairs(
  controller: Undici.Dispatcher.DispatchController,
): GatewayTypes.HeaderPairs {
  const raw = controller.rawHeaders;
  const pairs: [string, string][] = [];
  if (!Array.isArray(raw)) return pairs;
  for (let i = 0; i + 1 < raw.length; i += 2) {
    pairs.push([String(raw[i]), String(raw[i + 1])]);
  }
  return pairs;
}

/** True when only the end of the connection ends the answer. */
function endsWithConnection(headers: GatewayTypes.HeaderPairs): boolean {
  return !headers.some(([name]) => {
    const lower = name.toLowerCase();
    return lower === "content-length" || lower === "transfer-encoding";
  });
}

/** Sends the request and waits for its whole answer, or until `signal` aborts. */
export function exchange(
  conn: Connections.TargetConnection,
  req: TargetRequest,
  signal: AbortSignal,
): Promise<ExchangeResult> {
  conn.exchanges++;
  conn.isBusy = true;
  return new Promise((resolve) => {
    let status = 0;
    let headers: GatewayTypes.HeaderPairs = [];
    const chunks: Buffer[] = [];
    let size = 0;
    let isSettled = false;

    function settle(result: ExchangeResult): void {
      if (isSettled) return;
      isSettled = true;
      conn.isBusy = false;
      signal.removeEventListener("abort", onAbort);
      resolve(result);
    }
    function onAbort(): void {
      settle({ kind: "aborted" });
    }
    if (signal.aborted) return onAbort();
    signal.addEventListener("abort", onAbort, { once: true });

    conn.client.dispatch({
      method: req.method as Undici.Dispatcher.HttpMethod,
      path: req.path,
      headers: req.headers,
      body: req.body ?? null,
      // An answer may come before the body was read; the connection is not kept then.
      blocking: false,
    }, {
      onRequestStart() {},
      onResponseStart(controller, statusCode) {
        if (statusCode < 200) return;
        status = statusCode;
        headers = toPairs(controller);
      },
      onResponseData(controller, chunk) {
        size += chunk.length;
        // The buffer belongs to the parser's read.
        if (size <= MAX_ANSWER_BYTES) chunks.push(Buffer.from(chunk));
        else controller.abort(new Error("the answer is too long"));
      },
      onResponseEnd() {
        const isUnasked = status === STATUS_REQUEST_TIMEOUT &&
          conn.exchanges > 1;
        if (isUnasked) {
          const reason = "the connection waited too long for the request";
          return settle({ kind: "broke", reason, wasReset: true });
        }
        // undici takes a reset for the end of such an answer.
        if (conn.hasFailed && endsWithConnection(headers)) {
          const reason = "reset before the answer was whole";
          return settle({ kind: "broke", reason, wasReset: true });
        }
        const body = Buffer.concat(chunks, size);
        settle({ kind: "answer", answer: { status, headers, body } });
      },
      onResponseError(_controller, err) {
        const code = (err as NodeJS.ErrnoException).code ?? err.message;
        const wasReset = code === "ECONNRESET" || code === "EPIPE" ||
          code === "UND_ERR_SOCKET";
        settle({ kind: "broke", reason: code, wasReset });
      },
    });
  });
}
