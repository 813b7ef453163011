/** What the system itself writes to callers: refusals, replays and relayed answers. */
import type * as Http from "node:http";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as Exchange from "./exchange.ts";
import type * as Headers from "./headers.ts";

/** A refusal, or a response whose outcome is unknown. */
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

/** Writes a refusal; does nothing when the answer has begun or the caller is gone. */
export function sendRejection(
  res: Http.ServerResponse,
  refusal: Rejection,
  requestId: string,
): void {
  if (res.headersSent || res.destroyed) return;
  const { failure, outcome } = refusal;
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
    headers["retry-after"] = getRetryAfterS(refusal.retryAfterMs);
  }
  res.writeHead(status, headers);
  res.end(body);
}

/** Makes a refusal of a code. */
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

/** Flat header list for `writeHead`, own headers added. */
function toRawList(
  headers: Headers.HeaderPairs,
  requestId: string,
  own: Headers.HeaderPairs = [],
): string[] {
  const all = [...headers, ...own, ["anvilroute-request-id", requestId]];
  return all.flatMap(([name, value]) => [name ?? "", value ?? ""]);
}

/** Sends a whole answer. A replay of a stored answer is marked as such. */
export function sendResponse(
  res: Http.ServerResponse,
  answer: Contracts.StoredResponse,
  requestId: string,
  isReplay: boolean,
): void {
  if (res.headersSent || res.destroyed) return;
  const own: [string, string][] = isReplay
    ? [["anvilroute-outcome", "ran"], ["anvilroute-replay", "true"]]
    : [];
  res.writeHead(answer.status, toRawList(answer.headers, requestId, own));
  res.end(answer.body);
}

/** A sink that passes a long answer on with backpressure. */
export function createResponseSink(
  res: Http.ServerResponse,
  requestId: string,
): Exchange.ResponseSink {
  return {
    start(status, headers) {
      res.writeHead(status, toRawList(headers, requestId));
    },
    write(chunk) {
      if (res.destroyed) return Promise.reject(new Error("caller is gone"));
      if (res.write(chunk)) return Promise.resolve();
      return new Promise((resolve, reject) => {
        const settle = (act: () => void) => () => {
          res.off("drain", onDrain);
          res.off("close", onClose);
          act();
        };
        const onDrain = settle(resolve);
        const onClose = settle(() => reject(new Error("caller is gone")));
        res.once("drain", onDrain);
        res.once("close", onClose);
      });
    },
  };
}
