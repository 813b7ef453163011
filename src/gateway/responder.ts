/** What the request path writes to callers, logs and counts when a request ends. */
import type * as Http from "node:http";
import type * as Attempt from "./attempt.ts";
import type * as Choice from "./choice.ts";
import type * as Exchange from "./exchange.ts";
import type * as PendingRequest from "./pending_request.ts";
import type * as Relay from "./relay.ts";
import * as Rejection from "./rejection.ts";
import type * as GatewayTypes from "./types.ts";
import type * as Types from "../types.ts";

/** A request of which only the headers are known. */
export interface ReadRequest {
  readonly res: Http.ServerResponse;
  readonly callerFields: GatewayTypes.CallerFields;
  /** Monotonic ms at which the request headers were read. */
  readonly startedAtMs: number;
}

/** Ends requests. */
export interface Responder {
  /** Sends a rejection, logs it with `details` and counts it. */
  reject(
    request: ReadRequest,
    rejection: Rejection.Rejection,
    details: Readonly<Record<string, string | number | undefined>>,
  ): void;
  /** Passes on the response of a target. */
  sendResponse(
    pending: PendingRequest.PendingRequest,
    candidate: Choice.Candidate,
    result: Attempt.AttemptResult & { kind: "response" },
  ): void;
  /** Passes on the response of another instance. */
  sendRelayed(
    pending: PendingRequest.PendingRequest,
    result: Relay.RelayResult & { kind: "response" },
  ): void;
  /** Logs that the caller disconnected before a response; `sends` counts the targets that got the request. */
  logDisconnect(
    request: Pick<ReadRequest, "callerFields" | "startedAtMs">,
    sends: number,
    targetId?: Types.TargetId,
  ): void;
}

/** Creates the responder. */
export function createResponder(
  deps: Pick<
    PendingRequest.ForwarderDeps,
    "clock" | "dialect" | "log" | "metrics" | "responseMemory"
  >,
): Responder {
  const { clock } = deps;

  function reject(
    request: ReadRequest,
    rejection: Rejection.Rejection,
    details: Readonly<Record<string, string | number | undefined>>,
  ): void {
    Rejection.sendRejection(request.res, rejection);
    deps.log.write("refused", {
      id: request.callerFields.requestId,
      code: rejection.code,
      status: rejection.status,
      outcome: rejection.outcome,
      retryAfterMs: rejection.retryAfterMs === undefined
        ? undefined
        : Math.round(rejection.retryAfterMs),
      ms: Math.round(clock.nowMs() - request.startedAtMs),
      ...details,
    });
    deps.metrics.count(`refused.${rejection.code}`);
  }

  function writeResponse(
    res: Http.ServerResponse,
    response: Exchange.TargetResponse,
  ): void {
    if (res.headersSent || res.destroyed) return;
    const headers = deps.dialect.formatForCaller(response.headers);
    headers.push("content-length", String(response.body.length));
    res.writeHead(response.status, headers);
    res.end(response.body);
    holdUntilTaken(res, response.body.length);
  }

  /** Counts the response until its caller has taken it; the caller loses it if the memory is needed. */
  function holdUntilTaken(res: Http.ServerResponse, bytes: number): void {
    // Most responses fit into the buffer of the connection.
    if (res.writableLength === 0) return;
    const held = deps.responseMemory.open((reason) => {
      deps.log.write("response-not-taken", { bytes, reason });
      deps.metrics.count("responses.not-taken");
      res.destroy();
    });
    res.once("close", held.close);
    held.add(bytes);
  }

  function sendResponse(
    pending: PendingRequest.PendingRequest,
    candidate: Choice.Candidate,
    result: Attempt.AttemptResult & { kind: "response" },
  ): void {
    const { response } = result;
    const { res } = pending;
    const latencyMs = clock.nowMs() - pending.startedAtMs;
    writeResponse(res, response);
    deps.log.write("answered", {
      id: pending.callerFields.requestId,
      route: pending.route.name,
      account: pending.account?.name,
      object: pending.callerFields.affinityKey,
      config: pending.configVersion,
      target: candidate.target.entry.id,
      rank: candidate.rank,
      busy: candidate.outstanding,
      rtt: Math.round(candidate.roundTripMs),
      warmChance: Math.round(candidate.cacheHitChance * 100) / 100,
      sends: pending.sendCount,
      status: response.status,
      ms: Math.round(latencyMs),
    });
    deps.metrics.record({
      service: pending.service,
      account: pending.account?.name ?? "public",
      status: response.status,
      codeNumber: 0,
      outcome: "answered",
      latencyMs,
    });
  }

  function sendRelayed(
    pending: PendingRequest.PendingRequest,
    { instance, response }: Relay.RelayResult & { kind: "response" },
  ): void {
    writeResponse(pending.res, response);
    deps.log.write("relayed", {
      id: pending.callerFields.requestId,
      route: pending.route.name,
      instance,
      status: response.status,
      ms: Math.round(clock.nowMs() - pending.startedAtMs),
    });
    deps.metrics.count("relayed");
  }

  function logDisconnect(
    { callerFields, startedAtMs }: Pick<
      ReadRequest,
      "callerFields" | "startedAtMs"
    >,
    sends: number,
    targetId?: Types.TargetId,
  ): void {
    deps.log.write("caller-left", {
      id: callerFields.requestId,
      target: targetId,
      sends,
      ms: Math.round(clock.nowMs() - startedAtMs),
    });
  }

  return { reject, sendResponse, sendRelayed, logDisconnect };
}
