/** What the gateway itself writes to callers. */
import type * as Http from "node:http";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";

/** An answer of the gateway's own. */
export interface Rejection {
  readonly code: ResultCodes.CodeName;
  readonly status: number;
  readonly outcome: Types.Outcome;
  readonly retryAfterMs?: number;
}

/** Makes a refusal with the status of its code. */
export function createRejection(
  code: ResultCodes.CodeName,
  outcome: Types.Outcome,
  retryAfterMs?: number,
): Rejection {
  const { status } = ResultCodes.codes[code];
  if (retryAfterMs === undefined) return { code, status, outcome };
  return { code, status, outcome, retryAfterMs };
}

/** Writes a refusal; nothing when the caller is gone. */
export function sendRejection(
  res: Http.ServerResponse,
  refusal: Rejection,
): void {
  if (res.headersSent || res.destroyed) return;
  const { name, number } = ResultCodes.codes[refusal.code];
  const body = JSON.stringify({ code: number, name, outcome: refusal.outcome });
  const headers: Record<string, string | number> = {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    "anvilroute-code": number,
    "anvilroute-outcome": refusal.outcome,
  };
  if (refusal.retryAfterMs !== undefined) {
    headers["retry-after"] = (refusal.retryAfterMs / 1_000).toFixed(3);
  }
  res.writeHead(refusal.status, headers);
  res.end(body);
}
