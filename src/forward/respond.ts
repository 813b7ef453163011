/** Writes responses to callers: rejections, stored and relayed responses, and streamed ones. */
import type * as Http from "node:http";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as Exchange from "./exchange.ts";
import type * as Headers from "./headers.ts";

/** An error response that anvilroute itself sends. `outcome` says whether the request ran. */
export interface Rejection {
  readonly failure: ResultCodes.Failure;
  readonly outcome: Types.Outcome;
  readonly retryAfterMs?: number;
}

const MIN_RETRY_AFTER_S = 1;
const MAX_RETRY_AFTER_S = 60;

function getRetryAfterS(ms: number | undefined): number {
  const seconds = Math.ceil((ms ?? 0) / 1000);
  return Math.min(Math.max(seconds, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S);
}

/** Writes a rejection; does nothing when the response has started or the caller has disconnected. */
export function sendRejection(
  res: Http.ServerResponse,
  rejection: Rejection,
  requestId: string,
): void {
  if (res.headersSent || res.destroyed) return;
  const { failure, outcome } = rejection;
  const body = JSON.stringify({
    code: failure.code.number,
    name: failure.code.name,
    message: failure.code.meaning,
    detail: failure.detail,
    action: failure.code.action,
    outcome,
    requestId,
  });
  const status = failure.code.status === 0 ? 500 : failure.code.status;
  const headers: Record<string, string | number> = {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    "cache-control": "no-store",
    "anvilroute-code": failure.code.number,
    "anvilroute-outcome": outcome,
    "anvilroute-request-id": requestId,
  };
  if (status === 429 || status === 503) {
    headers["retry-after"] = getRetryAfterS(rejection.retryAfterMs);
  }
  res.writeHead(status, headers);
  res.end(body);
}

/** Creates a rejection with the result code `name`. */
export function createRejection(
  name: ResultCodes.CodeName,
  outcome: Types.Outcome,
  retryAfterMs?: number,
  detail = "",
): Rejection {
  const failure = { code: ResultCodes.codes[name], detail };
  return retryAfterMs === undefined
    ? { failure, outcome }
    : { failure, outcome, retryAfterMs };
}

/** Converts headers to the flat list that `writeHead` accepts, and adds `extras` and the request id. */
function toRawList(
  headers: Headers.HeaderPairs,
  requestId: string,
  extras: Headers.HeaderPairs = [],
): string[] {
  const pairs = [...headers, ...extras, ["anvilroute-request-id", requestId]];
  return pairs.flatMap(([name, value]) => [name ?? "", value ?? ""]);
}

/** Sends a complete response. A replay of a stored response is marked with headers. */
export function sendResponse(
  res: Http.ServerResponse,
  response: Contracts.StoredResponse,
  requestId: string,
  isReplay: boolean,
): void {
  if (res.headersSent || res.destroyed) return;
  const extras: [string, string][] = isReplay
    ? [["anvilroute-outcome", "ran"], ["anvilroute-replay", "true"]]
    : [];
  res.writeHead(
    response.status,
    toRawList(response.headers, requestId, extras),
  );
  res.end(response.body);
}

/** Creates a sink that streams a long response to the caller with backpressure. */
export function createResponseSink(
  res: Http.ServerResponse,
  requestId: string,
): Exchange.ResponseSink {
  return {
    start(status, headers) {
      res.writeHead(status, toRawList(headers, requestId));
    },
    write(chunk) {
      if (res.destroyed) {
        return Promise.reject(new Error("caller disconnected"));
      }
      if (res.write(chunk)) return Promise.resolve();
      return new Promise((resolve, reject) => {
        const settle = (complete: () => void) => () => {
          res.off("drain", onDrain);
          res.off("close", onClose);
          complete();
        };
        const onDrain = settle(resolve);
        const onClose = settle(() => reject(new Error("caller disconnected")));
        res.once("drain", onDrain);
        res.once("close", onClose);
      });
    },
  };
}
