/**
 * One exchange with a target on one connection. The response is buffered until it
 * is complete, so that a truncated one never looks complete to the caller.
 */
import type * as Undici from "undici";
import * as BodyBuffer from "../body_buffer.ts";
import * as ResponseGuard from "../response_guard.ts";
import type * as Cancellation from "./cancellation.ts";
import * as Connections from "./connections.ts";
import type * as MemoryBudget from "../memory_budget.ts";
import type * as GatewayTypes from "./types.ts";

/** Status that a server sends when it closes a connection on which no request arrived before a timeout. */
const STATUS_REQUEST_TIMEOUT = 408;

/** A request as it is sent to a target. */
export interface TargetRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Header names and values, alternating. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** A complete response of a target. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: GatewayTypes.HeaderPairs;
  readonly body: Buffer;
}

/** Outcome of an exchange. */
export type ExchangeResult =
  | { readonly kind: "response"; readonly response: TargetResponse }
  /** The exchange failed and the request may have run. `isConnectionLost`: the target closed or reset the connection. */
  | {
    readonly kind: "broke";
    readonly reason: string;
    readonly isConnectionLost: boolean;
    /** True when bytes arrived that are no valid response. */
    readonly isInvalid?: boolean;
  }
  /** The exchange was cancelled. The caller of `exchange` destroys the connection, which cancels the request at the target. */
  | { readonly kind: "aborted" };

function toHeaderPairs(
  rawHeaders: readonly Buffer[],
): GatewayTypes.HeaderPairs {
  const pairs: [string, string][] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    pairs.push([
      rawHeaders[i]!.toString("latin1"),
      rawHeaders[i + 1]!.toString("latin1"),
    ]);
  }
  return pairs;
}

/** True if only the end of the connection marks the end of the response. */
function isCloseDelimited(headers: GatewayTypes.HeaderPairs): boolean {
  return !headers.some(([name]) => {
    const lower = name.toLowerCase();
    return lower === "content-length" || lower === "transfer-encoding";
  });
}

/**
 * Sends the request and waits until its response is complete, the exchange fails or
 * it is cancelled; never rejects. The handler implements undici's older interface,
 * which its clients call directly. The newer one costs a wrapper and an object of
 * headers that this module does not read.
 */
export function exchange(
  conn: Connections.TargetConnection,
  req: TargetRequest,
  cancellation: Cancellation.Cancellation,
  buffer: MemoryBudget.MemoryBudget,
): Promise<ExchangeResult> {
  conn.exchangeCount++;
  conn.isBusy = true;
  conn.overhead.start();
  conn.startResponse();
  return new Promise((resolve) => {
    let status = 0;
    let headers: GatewayTypes.HeaderPairs = [];
    let body = BodyBuffer.createBodyBuffer();
    let isSettled = false;
    let abort: (err?: Error) => void = () => {};
    const buffered = buffer.open((reason) => abort(new Error(reason)));

    function settle(result: ExchangeResult): void {
      if (isSettled) return;
      isSettled = true;
      conn.isBusy = false;
      buffered.close();
      cancellation.removeListener(onCancel);
      resolve(result);
    }
    function onCancel(): void {
      settle({ kind: "aborted" });
    }
    if (cancellation.isCancelled()) return onCancel();
    cancellation.addListener(onCancel);

    conn.client.dispatch({
      method: req.method as Undici.Dispatcher.HttpMethod,
      path: req.path,
      headers: req.headers,
      body: req.body ?? null,
      // A response may arrive before the target has read the body; the connection is not reused in that case.
      blocking: false,
    }, {
      onConnect(abortExchange) {
        abort = abortExchange;
      },
      onHeaders(statusCode, rawHeaders) {
        if (statusCode >= 200) {
          status = statusCode;
          headers = toHeaderPairs(rawHeaders);
        }
        return true;
      },
      onData(chunk) {
        conn.overhead.addBody(chunk.length);
        buffered.add(chunk.length);
        if (!isSettled) body.append(chunk);
        return true;
      },
      onComplete() {
        const isIdleTimeout = status === STATUS_REQUEST_TIMEOUT &&
          conn.exchangeCount > 1;
        if (isIdleTimeout) {
          const reason = "target closed the connection as idle";
          return settle({ kind: "broke", reason, isConnectionLost: true });
        }
        // undici reports a reset as the end of a response that has no length.
        if (conn.hasFailed && isCloseDelimited(headers)) {
          const reason = "reset before the answer was whole";
          return settle({ kind: "broke", reason, isConnectionLost: true });
        }
        const response = { status, headers, body: body.take() };
        settle({ kind: "response", response });
      },
      onError(err) {
        body = BodyBuffer.createBodyBuffer();
        if (ResponseGuard.tryGetFirstBytes(err) !== undefined) {
          const reason = err.message;
          const isConnectionLost = false;
          const isInvalid = true;
          settle({ kind: "broke", reason, isConnectionLost, isInvalid });
          return;
        }
        const code = (err as NodeJS.ErrnoException).code ?? err.message;
        const isConnectionLost = code === "ECONNRESET" || code === "EPIPE" ||
          code === "UND_ERR_SOCKET";
        settle({ kind: "broke", reason: code, isConnectionLost });
      },
    });
  });
}
