/**
 * One attempt to run a request at a target. Guarantees: "not run" is reported
 * only when no byte was sent or the target reported it, and the slot is always
 * released with the outcome of the attempt.
 */
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import type * as Exchange from "../forward/exchange.ts";
import * as Headers from "../forward/headers.ts";
import * as Respond from "../forward/respond.ts";
import * as Context from "./context.ts";
import * as Placement from "./placement.ts";

/** Final result of a request. */
export type RunResult =
  | { readonly kind: "response"; readonly response: Contracts.StoredResponse }
  | { readonly kind: "streamed"; readonly status: number }
  | { readonly kind: "rejected"; readonly rejection: Respond.Rejection }
  /** Part of the response was sent, so the caller's connection must be closed. */
  | { readonly kind: "truncated" };

/** Result of one attempt; `not-run` and `broke` (connection lost) may be retried. */
export type AttemptResult =
  | RunResult
  | { readonly kind: "not-run"; readonly rejection: Respond.Rejection }
  | { readonly kind: "broke" };

/** Result of an attempt that another attempt may follow. */
export type RetriableResult = Extract<
  AttemptResult,
  { kind: "not-run" | "broke" }
>;

const STATUS_SHED = 503;
/** From this status on, a response does not prove that the request is harmless to targets. */
const STATUS_SERVER_ERROR = 500;

/** True for reads that may be sent again after the connection to the target is lost. */
function isRepeatableRead(ctx: Context.Context): boolean {
  return Context.isReadMethod(ctx.method) && !ctx.isOnce &&
    ctx.body.kind !== "stream";
}

function getTargetHeaders(
  deps: Context.Deps,
  ctx: Context.Context,
  address: string,
): Headers.HeaderPairs {
  const deadlineMs = Context.getTargetDeadlineMs(ctx, deps.clock);
  return [
    ["host", address],
    ...ctx.headers,
    ["anvilroute-account", ctx.caller.account],
    ["anvilroute-request-id", ctx.id],
    ["anvilroute-deadline-ms", String(deadlineMs)],
    // Lets the target compute the one-way latency of the request from its own clock.
    ["anvilroute-sent-at-ms", String(deps.clock.wallMs())],
  ];
}

/** Sends the request to the target of `placement`; refunds the region cap token when it did not run. */
export async function runAttempt(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Placement.Placement,
  sink: Exchange.ResponseSink,
  signal: AbortSignal,
): Promise<AttemptResult> {
  const { slot, link } = placement;
  const { address } = slot.target;
  const sentAtMs = deps.clock.nowMs();
  const result = await deps.exchanger.exchange(
    {
      address,
      method: ctx.method,
      path: ctx.route.path + ctx.route.query,
      headers: getTargetHeaders(deps, ctx, address),
      body: ctx.body,
      getPreconnectLimit: isRepeatableRead(ctx)
        ? slot.getOwnedSlots
        : undefined,
    },
    sink,
    signal,
    link && ((bytes) => link.acquireForResponse(bytes)),
  );
  link?.settle();
  const latencyMs = deps.clock.nowMs() - sentAtMs;
  const attemptResult = finishExchange(
    deps,
    ctx,
    placement,
    result,
    latencyMs,
    signal,
  );
  // The caller may retry at another instance as soon as it has the response.
  if (result.kind === "broke") {
    await deps.poison.confirmBlock(ctx.fingerprint);
  }
  if (attemptResult.kind === "not-run") {
    const capKey = Placement.getCapKey(ctx.route.service, placement.region);
    deps.budgets.refund(capKey, 1, placement.capAcquiredAtMs);
  }
  return attemptResult;
}

function finishExchange(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Placement.Placement,
  result: Exchange.ExchangeResult,
  latencyMs: number,
  signal: AbortSignal,
): AttemptResult {
  const { slot } = placement;
  switch (result.kind) {
    case "response":
      recordResponse(deps, ctx, result.response.status);
      return finishResponse(placement, result, latencyMs);
    case "streamed":
      recordResponse(deps, ctx, result.status);
      slot.release({ kind: "answered", status: result.status, latencyMs });
      return { kind: "streamed", status: result.status };
    case "not-sent":
      slot.release(
        signal.aborted ? { kind: "cancelled" } : { kind: "connect-failed" },
      );
      return {
        kind: "not-run",
        rejection: Respond.createRejection("noTarget", "not-run"),
      };
    case "broke":
      return finishConnectionLoss(
        deps,
        ctx,
        placement,
        result,
        latencyMs,
        signal,
      );
    default:
      return Debug.assertNever(result);
  }
}

/** Reports a response with a status below 500, which shows that the request is harmless: popular requests are in flight on every target that fails. */
function recordResponse(
  deps: Context.Deps,
  ctx: Context.Context,
  status: number,
): void {
  if (status >= STATUS_SERVER_ERROR) return;
  deps.poison.reportResponse(ctx.fingerprint);
}

function finishResponse(
  placement: Placement.Placement,
  result: Extract<Exchange.ExchangeResult, { kind: "response" }>,
  latencyMs: number,
): AttemptResult {
  const { slot } = placement;
  const { response, rawHeaders } = result;
  if (Headers.tryGetHeader(rawHeaders, "target-state") === "leaving") {
    slot.markLeaving();
  }
  const isShed = response.status === STATUS_SHED &&
    Headers.tryGetHeader(rawHeaders, "target-outcome") === "not-run";
  if (isShed) {
    slot.release({ kind: "shed" });
    return {
      kind: "not-run",
      rejection: Respond.createRejection("shedByTarget", "not-run"),
    };
  }
  slot.release({ kind: "answered", status: response.status, latencyMs });
  return { kind: "response", response };
}

function finishConnectionLoss(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Placement.Placement,
  result: Extract<Exchange.ExchangeResult, { kind: "broke" }>,
  latencyMs: number,
  signal: AbortSignal,
): AttemptResult {
  const { slot } = placement;
  if (signal.aborted) {
    const isDeadlineExpired = Context.isDeadlineExpired(ctx, deps.clock);
    slot.release({ kind: isDeadlineExpired ? "timed-out" : "cancelled" });
    if (result.isResponseStarted) return { kind: "truncated" };
    const codeName = isDeadlineExpired ? "deadlinePassed" : "runUnknown";
    return {
      kind: "rejected",
      rejection: Respond.createRejection(codeName, "unknown"),
    };
  }
  if (result.isBodyAborted) {
    slot.release({ kind: "cancelled" });
    if (result.isResponseStarted) return { kind: "truncated" };
    return {
      kind: "rejected",
      rejection: Respond.createRejection("bodyTooLarge", "unknown"),
    };
  }
  slot.release({ kind: "broke" });
  // The process of a target that sends an invalid response goes on.
  if (!result.isInvalid) {
    const sentAtMs = deps.clock.nowMs() - latencyMs;
    deps.poison.reportConnectionLoss(ctx.fingerprint, slot.target.id, sentAtMs);
  }
  deps.log.warn("target-broke", {
    requestId: ctx.id,
    target: slot.target.id,
    reason: result.reason,
  });
  return result.isResponseStarted ? { kind: "truncated" } : { kind: "broke" };
}
