/**
 * One exchange with a target on one connection. The answer is held back until it
 * is whole, so that a broken one never looks complete to the caller.
 */
import type * as Undici from "undici";
import type * as Cancellation from "./cancellation.ts";
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
export interface TargetResponse {
  readonly status: number;
  readonly headers: GatewayTypes.HeaderPairs;
  readonly body: Buffer;
}

/** How the exchange ended. */
export type ExchangeResult =
  | { readonly kind: "answer"; readonly answer: TargetResponse }
  /** The request may have run. `wasReset`: the target's side ended the connection. */
  | {
    readonly kind: "broke";
    readonly reason: string;
    readonly wasReset: boolean;
  }
  /** It was cancelled; the connection is closed, which cancels the request at the target. */
  | { readonly kind: "aborted" };

function toPairs(raw: readonly Buffer[]): GatewayTypes.HeaderPairs {
  const pairs: [string, string][] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    pairs.push([raw[i]!.toString("latin1"), raw[i + 1]!.toString("latin1")]);
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

/**
 * Sends the request and waits for its whole answer, or until it is cancelled. The
 * handler has undici's older form, which its clients call directly; the newer one
 * is wrapped and gets its headers as an object that nobody here reads.
 */
export function exchange(
  conn: Connections.TargetConnection,
  req: TargetRequest,
  cancellation: Cancellation.Cancellation,
): Promise<ExchangeResult> {
  conn.exchanges++;
  conn.isBusy = true;
  return new Promise((resolve) => {
    let status = 0;
    let headers: GatewayTypes.HeaderPairs = [];
    const chunks: Buffer[] = [];
    let size = 0;
    let isSettled = false;
    let abort: (err?: Error) => void = () => {};

    function settle(result: ExchangeResult): void {
      if (isSettled) return;
      isSettled = true;
      conn.isBusy = false;
      cancellation.remove(onCancel);
      resolve(result);
    }
    function onCancel(): void {
      settle({ kind: "aborted" });
    }
    if (cancellation.isCancelled()) return onCancel();
    cancellation.add(onCancel);

    conn.client.dispatch({
      method: req.method as Undici.Dispatcher.HttpMethod,
      path: req.path,
      headers: req.headers,
      body: req.body ?? null,
      // An answer may come before the body was read; the connection is not kept then.
      blocking: false,
    }, {
      onConnect(abortExchange) {
        abort = abortExchange;
      },
      onHeaders(statusCode, rawHeaders) {
        if (statusCode >= 200) {
          status = statusCode;
          headers = toPairs(rawHeaders);
        }
        return true;
      },
      onData(chunk) {
        size += chunk.length;
        // The buffer belongs to the parser's read.
        if (size <= MAX_ANSWER_BYTES) chunks.push(Buffer.from(chunk));
        else abort(new Error("the answer is too long"));
        return true;
      },
      onComplete() {
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
        const [first] = chunks;
        const body = chunks.length === 1 && first !== undefined
          ? first
          : Buffer.concat(chunks, size);
        settle({ kind: "answer", answer: { status, headers, body } });
      },
      onError(err) {
        const code = (err as NodeJS.ErrnoException).code ?? err.message;
        const wasReset = code === "ECONNRESET" || code === "EPIPE" ||
          code === "UND_ERR_SOCKET";
        settle({ kind: "broke", reason: code, wasReset });
      },
    });
  });
}
