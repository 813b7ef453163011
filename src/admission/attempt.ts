/**
 * One attempt at a target. Promise: "not run" is said only when no byte left
 * or the target said so, and the slot is released with what became of it.
 */
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import type * as Exchange from "../forward/exchange.ts";
import * as Headers from "../forward/headers.ts";
import * as Respond from "../forward/respond.ts";
import * as Context from "./context.ts";
import * as Place from "./place.ts";

/** How a request ended. */
export type RunResult =
  | { readonly kind: "answer"; readonly answer: Contracts.StoredResponse }
  | { readonly kind: "streamed"; readonly status: number }
  | { readonly kind: "refused"; readonly refusal: Respond.Rejection }
  /** A part of the answer went out; the caller's connection must be cut. */
  | { readonly kind: "cut" };

/** One attempt's end; `not-run` and `broke` may be retried. */
export type Attempt =
  | RunResult
  | { readonly kind: "not-run"; readonly refusal: Respond.Rejection }
  | { readonly kind: "broke" };

/** An attempt's end after which another one may follow. */
export type Retriable = Extract<Attempt, { kind: "not-run" | "broke" }>;

const STATUS_SHED = 503;
/** An answer from this status on is no proof that the request does no harm. */
const STATUS_SERVER_ERROR = 500;

/** True for reads that another attempt may follow when the target breaks. */
function isRepeatableRead(ctx: Context.Context): boolean {
  return Context.isRead(ctx.method) && !ctx.isOnce &&
    ctx.body.kind !== "stream";
}

function getTargetHeaders(
  deps: Context.Deps,
  ctx: Context.Context,
  address: string,
): Headers.HeaderPairs {
  const remainingMs = Math.floor(Context.getRemainingMs(ctx, deps.clock));
  return [
    ["host", address],
    ...ctx.headers,
    ["anvilroute-account", ctx.caller.account],
    ["anvilroute-request-id", ctx.id],
    ["anvilroute-deadline-ms", String(remainingMs)],
    // With the target's own time it tells how long the request was on its way.
    ["anvilroute-sent-at-ms", String(deps.clock.wallMs())],
  ];
}

/** Sends the request to the placed target; gives the cap back when it did not run. */
export async function runOnce(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Place.Placement,
  sink: Exchange.ResponseSink,
  signal: AbortSignal,
): Promise<Attempt> {
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
  const ended = finishExchange(deps, ctx, placement, result, latencyMs, signal);
  // The caller may repeat it at another instance as soon as it has the answer.
  if (result.kind === "broke") {
    await deps.poison.confirmBlock(ctx.fingerprint);
  }
  if (ended.kind === "not-run") {
    const capKey = Place.getCapKey(ctx.route.service, placement.region);
    deps.budgets.refund(capKey, 1, placement.capTakenAtMs);
  }
  return ended;
}

function finishExchange(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Place.Placement,
  result: Exchange.ExchangeResult,
  latencyMs: number,
  signal: AbortSignal,
): Attempt {
  const { slot } = placement;
  switch (result.kind) {
    case "answer":
      noteAnswered(deps, ctx, result.answer.status);
      return finishAnswer(placement, result, latencyMs);
    case "streamed":
      noteAnswered(deps, ctx, result.status);
      slot.release({ kind: "answered", status: result.status, latencyMs });
      return { kind: "streamed", status: result.status };
    case "not-sent":
      slot.release(
        signal.aborted ? { kind: "cancelled" } : { kind: "connect-failed" },
      );
      return {
        kind: "not-run",
        refusal: Respond.createRejection("noTarget", "not-run"),
      };
    case "broke":
      return finishBroken(deps, ctx, placement, result, latencyMs, signal);
    default:
      return Debug.assertNever(result);
  }
}

/** Popular requests are in flight on every target that fails; an answer shows that they do no harm. */
function noteAnswered(
  deps: Context.Deps,
  ctx: Context.Context,
  status: number,
): void {
  if (status >= STATUS_SERVER_ERROR) return;
  deps.poison.reportResponse(ctx.fingerprint);
}

function finishAnswer(
  placement: Place.Placement,
  result: Extract<Exchange.ExchangeResult, { kind: "answer" }>,
  latencyMs: number,
): Attempt {
  const { slot } = placement;
  const { answer, rawHeaders } = result;
  if (Headers.tryGetHeader(rawHeaders, "target-state") === "leaving") {
    slot.markLeaving();
  }
  const isShed = answer.status === STATUS_SHED &&
    Headers.tryGetHeader(rawHeaders, "target-outcome") === "not-run";
  if (isShed) {
    slot.release({ kind: "shed" });
    return {
      kind: "not-run",
      refusal: Respond.createRejection("shedByTarget", "not-run"),
    };
  }
  slot.release({ kind: "answered", status: answer.status, latencyMs });
  return { kind: "answer", answer };
}

function finishBroken(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Place.Placement,
  result: Extract<Exchange.ExchangeResult, { kind: "broke" }>,
  latencyMs: number,
  signal: AbortSignal,
): Attempt {
  const { slot } = placement;
  if (signal.aborted) {
    const isLate = Context.getRemainingMs(ctx, deps.clock) === 0;
    slot.release({ kind: isLate ? "timed-out" : "cancelled" });
    if (result.isStarted) return { kind: "cut" };
    const name = isLate ? "deadlinePassed" : "runUnknown";
    return {
      kind: "refused",
      refusal: Respond.createRejection(name, "unknown"),
    };
  }
  if (result.isBodyBroken) {
    slot.release({ kind: "cancelled" });
    if (result.isStarted) return { kind: "cut" };
    return {
      kind: "refused",
      refusal: Respond.createRejection("bodyTooLarge", "unknown"),
    };
  }
  slot.release({ kind: "broke" });
  const sentAtMs = deps.clock.nowMs() - latencyMs;
  deps.poison.reportConnectionLoss(ctx.fingerprint, slot.target.id, sentAtMs);
  deps.log.warn("target-broke", {
    requestId: ctx.id,
    target: slot.target.id,
    reason: result.reason,
  });
  return result.isStarted ? { kind: "cut" } : { kind: "broke" };
}
