/** Responses that the gateway itself writes to callers when it rejects a request. */
import type * as Http from "node:http";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

const CODE_HEADER = "anvilroute-code";
const OUTCOME_HEADER = "anvilroute-outcome";

/** A rejection of a request: its result code, HTTP status and outcome. */
export interface Rejection {
  readonly code: ResultCodes.CodeName;
  readonly status: number;
  readonly outcome: Types.Outcome;
  /** Retry delay that is advised to the caller, ms. */
  readonly retryAfterMs?: number;
}

/** Creates a rejection with the HTTP status of its result code. */
export function createRejection(
  code: ResultCodes.CodeName,
  outcome: Types.Outcome,
  retryAfterMs?: number,
): Rejection {
  const { status } = ResultCodes.codes[code];
  if (retryAfterMs === undefined) return { code, status, outcome };
  return { code, status, outcome, retryAfterMs };
}

/** Writes a rejection; does nothing if a response has begun or the caller disconnected. */
export function sendRejection(
  res: Http.ServerResponse,
  rejection: Rejection,
): void {
  if (res.headersSent || res.destroyed) return;
  const { name, number } = ResultCodes.codes[rejection.code];
  const body = JSON.stringify({
    code: number,
    name,
    outcome: rejection.outcome,
  });
  const headers: Record<string, string | number> = {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    [CODE_HEADER]: number,
    [OUTCOME_HEADER]: rejection.outcome,
  };
  if (rejection.retryAfterMs !== undefined) {
    headers["retry-after"] = (rejection.retryAfterMs / 1_000).toFixed(3);
  }
  res.writeHead(rejection.status, headers);
  res.end(body);
}

/** True if the response of another instance says that it reaches no target, and did not run the request. */
export function isNoTarget(
  status: number,
  headers: GatewayTypes.HeaderPairs,
): boolean {
  if (status !== ResultCodes.codes.noTarget.status) return false;
  const values = new Map(
    headers.map(([name, value]) => [name.toLowerCase(), value]),
  );
  return values.get(CODE_HEADER) ===
      String(ResultCodes.codes.noTarget.number) &&
    values.get(OUTCOME_HEADER) === "not-run";
}
