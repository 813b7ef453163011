/**
 * Runs a request at a target, with bounded retries. Promise: a request is sent
 * again only when it is a read or when the target before did not run it, and
 * "not run" is said only when no byte left or the target said so.
 */
import * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import type * as Exchange from "../forward/exchange.ts";
import * as Headers from "../forward/headers.ts";
import * as Respond from "../forward/respond.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Account from "./account.ts";
import * as Context from "./context.ts";
import * as Place from "./place.ts";

/** How a request ended. */
export type RunResult =
  | { readonly kind: "answer"; readonly answer: Contracts.StoredAnswer }
  | { readonly kind: "streamed"; readonly status: number }
  | { readonly kind: "refused"; readonly refusal: Respond.Refusal }
  /** A part of the answer went out; the caller's connection must be cut. */
  | { readonly kind: "cut" };

/** One attempt's end; `not-run` and `broke` may be retried. */
type Attempt =
  | RunResult
  | { readonly kind: "not-run"; readonly refusal: Respond.Refusal }
  | { readonly kind: "broke" };

/** An attempt's end after which another one may follow. */
type Retriable = Extract<Attempt, { kind: "not-run" | "broke" }>;

/** A read whose target broke is repeated once. */
const MAX_BROKEN = 1;
/**
 * Targets that refused without running are no risk to repeat: with one further
 * target only, requests inside their account's rate were refused when two
 * targets in a row shed load.
 */
const MAX_ATTEMPTS = 5;
/**
 * Pause after the second target that shed, doubled with each further one.
 * Without it all attempts fell within a few milliseconds, in which no slot
 * became free anywhere.
 */
const SHED_BACKOFF_MS = 25;
const FIRST_PAUSED_ATTEMPT = 2;
/** Part of the remaining time that a pause may take. */
const MAX_BACKOFF_FRACTION = 0.1;
const STATUS_SHED = 503;
/** An answer from this status on is no proof that the request does no harm. */
const STATUS_SERVER_ERROR = 500;

/** Runs the request; budgets of what did not run are given back. */
export async function run(
  deps: Context.Deps,
  ctx: Context.Context,
  sink: Exchange.AnswerSink,
  signal: AbortSignal,
): Promise<RunResult> {
  const exclude = new Set<string>();
  let broken = 0;
  deps.retries.countRequest(ctx.route.service);
  for (let attempt = 1;; attempt++) {
    const placed = await Place.place(deps, ctx, exclude);
    if (placed.isErr()) return getPlaceFailure(placed.error, broken > 0);
    const placement = placed.value;
    const blocked = recheck(deps, ctx);
    if (blocked !== undefined) {
      Place.abandon(deps, ctx, placement);
      return getPlaceFailure(blocked, broken > 0);
    }
    const ended = await runOnce(deps, ctx, placement, sink, signal);
    if (ended.kind !== "not-run" && ended.kind !== "broke") return ended;
    exclude.add(placement.slot.target.id);
    if (ended.kind === "broke") {
      broken++;
      Account.markSpent(ctx);
    }
    const mayRetry = attempt < MAX_ATTEMPTS && !signal.aborted &&
      isRepeatable(ctx, ended, broken) &&
      hasOther(deps, ctx, broken, exclude) &&
      deps.retries.tryRetry(ctx.route.service);
    if (!mayRetry) return getFinalResult(ended, broken > 0);
    deps.metrics.count("retries_total");
    if (isShed(ended) && attempt >= FIRST_PAUSED_ATTEMPT) {
      await pauseAfterShed(deps, ctx, attempt, signal);
    }
  }
}

/** Jitter keeps requests that were shed together from coming back together. */
async function pauseAfterShed(
  deps: Context.Deps,
  ctx: Context.Context,
  attempt: number,
  signal: AbortSignal,
): Promise<void> {
  const remainingMs = Context.getRemainingMs(ctx, deps.clock);
  const longestMs = Math.min(
    SHED_BACKOFF_MS * 2 ** (attempt - FIRST_PAUSED_ATTEMPT),
    remainingMs * MAX_BACKOFF_FRACTION,
  );
  await Clock.sleep(longestMs * (0.5 + Math.random() / 2), signal);
}

function isShed(ended: Retriable): boolean {
  return ended.kind === "not-run" &&
    ended.refusal.failure.code === ResultCodes.codes.shedByTarget;
}

/** True for reads that another attempt may follow when the target breaks. */
function isRepeatableRead(ctx: Context.Context): boolean {
  return Context.isRead(ctx.method) && !ctx.isOnce &&
    ctx.body.kind !== "stream";
}

function isRepeatable(
  ctx: Context.Context,
  ended: Retriable,
  broken: number,
): boolean {
  if (ctx.body.kind === "stream") return false;
  if (ended.kind === "not-run") return true;
  return Context.isRead(ctx.method) && broken <= MAX_BROKEN;
}

/**
 * True when a further attempt has a target. Targets that refused may be asked
 * again once all of them have; one that broke is not.
 */
function hasOther(
  deps: Context.Deps,
  ctx: Context.Context,
  broken: number,
  exclude: Set<string>,
): boolean {
  const isOther = deps.targets.list().some((one) =>
    one.service === ctx.route.service && !exclude.has(one.id) &&
    (one.state === "usable" || one.state === "cold")
  );
  if (isOther) return true;
  if (broken > 0) return false;
  exclude.clear();
  return true;
}

/** After a broken first attempt, a second one that finds no place is not proof that nothing ran. */
function getPlaceFailure(
  refusal: Respond.Refusal,
  mayHaveRun: boolean,
): RunResult {
  const outcome = mayHaveRun ? "unknown" : refusal.outcome;
  return { kind: "refused", refusal: { ...refusal, outcome } };
}

function getFinalResult(
  ended: Retriable,
  mayHaveRun: boolean,
): RunResult {
  return ended.kind === "not-run"
    ? getPlaceFailure(ended.refusal, mayHaveRun)
    : { kind: "refused", refusal: Respond.refuse("targetBroke", "unknown") };
}

/** The key may have been withdrawn and the right to spend lost while the request waited. */
function recheck(
  deps: Context.Deps,
  ctx: Context.Context,
): Respond.Refusal | undefined {
  if (!deps.budgets.isValid()) return Respond.refuse("notHolding", "not-run");
  const { digest } = ctx.caller;
  if (digest === undefined) return undefined;
  const checked = deps.keys.check(digest);
  if (checked.isErr()) return { failure: checked.error, outcome: "not-run" };
  if (!deps.freshness.isCurrent()) {
    return Respond.refuse("keysNotCurrent", "not-run");
  }
  return undefined;
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
  ];
}

async function runOnce(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Place.Placement,
  sink: Exchange.AnswerSink,
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
      getPreconnectLimit: isRepeatableRead(ctx) ? slot.getOwnSlots : undefined,
    },
    sink,
    signal,
    link && ((bytes) => link.payAnswer(bytes)),
  );
  link?.settle();
  const latencyMs = deps.clock.nowMs() - sentAtMs;
  const ended = finishExchange(deps, ctx, placement, result, latencyMs, signal);
  if (ended.kind === "not-run") {
    const capKey = Place.getCapKey(ctx.route.service, placement.region);
    deps.budgets.giveBack(capKey, 1, placement.capTakenAtMs);
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
        refusal: Respond.refuse("noTarget", "not-run"),
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
  deps.poison.reportAnswered(ctx.fingerprint);
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
      refusal: Respond.refuse("shedByTarget", "not-run"),
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
    return { kind: "refused", refusal: Respond.refuse(name, "unknown") };
  }
  if (result.isBodyBroken) {
    slot.release({ kind: "cancelled" });
    if (result.isStarted) return { kind: "cut" };
    return {
      kind: "refused",
      refusal: Respond.refuse("bodyTooLarge", "unknown"),
    };
  }
  slot.release({ kind: "broke" });
  const sentAtMs = deps.clock.nowMs() - latencyMs;
  deps.poison.reportBreak(ctx.fingerprint, slot.target.id, sentAtMs);
  deps.log.warn("target-broke", {
    requestId: ctx.id,
    target: slot.target.id,
    reason: result.reason,
  });
  return result.isStarted ? { kind: "cut" } : { kind: "broke" };
}
