/**
 * Runs a request at a target, with bounded retries. Guarantees: a request is
 * sent again only when it is a read or when the previous target did not run it,
 * and "not run" is reported only when no byte was sent or the target reported it.
 */
import * as Clock from "../clock.ts";
import type * as Exchange from "../forward/exchange.ts";
import * as Respond from "../forward/respond.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Account from "./account.ts";
import * as Attempt from "./attempt.ts";
import * as Context from "./context.ts";
import * as Placement from "./placement.ts";

/** A read whose connection to the target is lost is sent again this many times. */
const MAX_CONNECTION_LOSSES = 1;
/**
 * A request that a target rejected without running it can be sent again safely.
 * With only two attempts, requests within their account's rate were rejected
 * when two targets in a row shed load.
 */
const MAX_ATTEMPTS = 5;
/**
 * Backoff after the second target that shed the request, doubled for each
 * further one. Without it all attempts happened within a few milliseconds, in
 * which no target freed a slot.
 */
const SHED_BACKOFF_MS = 25;
const FIRST_BACKOFF_ATTEMPT = 2;
/** Largest fraction of the remaining time before the deadline that a backoff may take. */
const MAX_BACKOFF_FRACTION = 0.1;

/** Runs the request; the region cap tokens of attempts that did not run are refunded. */
export async function runWithRetries(
  deps: Context.Deps,
  ctx: Context.Context,
  sink: Exchange.ResponseSink,
  signal: AbortSignal,
): Promise<Attempt.RunResult> {
  const excludedTargets = new Set<string>();
  let connectionLosses = 0;
  deps.retryBudget.recordRequest(ctx.route.service);
  for (let attempt = 1;; attempt++) {
    const placementResult = await Placement.acquirePlacement(
      deps,
      ctx,
      excludedTargets,
    );
    if (placementResult.isErr()) {
      return createRejectedResult(placementResult.error, connectionLosses > 0);
    }
    const placement = placementResult.value;
    const rejection = recheckAdmission(deps, ctx);
    if (rejection !== undefined) {
      Placement.releasePlacement(deps, ctx, placement);
      return createRejectedResult(rejection, connectionLosses > 0);
    }
    const attemptResult = await Attempt.runAttempt(
      deps,
      ctx,
      placement,
      sink,
      signal,
    );
    if (attemptResult.kind !== "not-run" && attemptResult.kind !== "broke") {
      return attemptResult;
    }
    excludedTargets.add(placement.slot.target.id);
    if (attemptResult.kind === "broke") {
      connectionLosses++;
      Account.markTokenSpent(ctx);
    }
    const mayRetry = attempt < MAX_ATTEMPTS && !signal.aborted &&
      isRepeatable(ctx, attemptResult, connectionLosses) &&
      tryAllowAnotherTarget(deps, ctx, connectionLosses, excludedTargets) &&
      deps.retryBudget.tryAcquireRetry(ctx.route.service);
    if (!mayRetry) {
      return createFinalResult(attemptResult, connectionLosses > 0);
    }
    deps.metrics.count("retries_total");
    if (isShed(attemptResult) && attempt >= FIRST_BACKOFF_ATTEMPT) {
      await backOffAfterShed(deps, ctx, attempt, signal);
    }
  }
}

/** Waits with jitter, so that requests that were shed together are not retried together. */
async function backOffAfterShed(
  deps: Context.Deps,
  ctx: Context.Context,
  attempt: number,
  signal: AbortSignal,
): Promise<void> {
  const remainingMs = Context.getRemainingMs(ctx, deps.clock);
  const maxBackoffMs = Math.min(
    SHED_BACKOFF_MS * 2 ** (attempt - FIRST_BACKOFF_ATTEMPT),
    remainingMs * MAX_BACKOFF_FRACTION,
  );
  await Clock.sleep(maxBackoffMs * (0.5 + Math.random() / 2), signal);
}

function isShed(attemptResult: Attempt.RetriableResult): boolean {
  return attemptResult.kind === "not-run" &&
    attemptResult.rejection.failure.code === ResultCodes.codes.shedByTarget;
}

function isRepeatable(
  ctx: Context.Context,
  attemptResult: Attempt.RetriableResult,
  connectionLosses: number,
): boolean {
  if (ctx.body.kind === "stream") return false;
  if (attemptResult.kind === "not-run") return true;
  return Context.isReadMethod(ctx.method) &&
    connectionLosses <= MAX_CONNECTION_LOSSES;
}

/**
 * Returns true when another attempt has a target. Once all targets have shed the
 * request, clears `excludedTargets` so that they may be tried again; after a lost
 * connection the excluded targets stay excluded.
 */
function tryAllowAnotherTarget(
  deps: Context.Deps,
  ctx: Context.Context,
  connectionLosses: number,
  excludedTargets: Set<string>,
): boolean {
  const hasUntriedTarget = deps.targets.list().some((target) =>
    target.service === ctx.route.service && !excludedTargets.has(target.id) &&
    (target.state === "usable" || target.state === "cold")
  );
  if (hasUntriedTarget) return true;
  if (connectionLosses > 0) return false;
  excludedTargets.clear();
  return true;
}

/** Creates the result of a rejected attempt. The outcome is `unknown` when an earlier attempt lost its connection and may have run. */
function createRejectedResult(
  rejection: Respond.Rejection,
  mayHaveRun: boolean,
): Attempt.RunResult {
  const outcome = mayHaveRun ? "unknown" : rejection.outcome;
  return { kind: "rejected", rejection: { ...rejection, outcome } };
}

function createFinalResult(
  attemptResult: Attempt.RetriableResult,
  mayHaveRun: boolean,
): Attempt.RunResult {
  return attemptResult.kind === "not-run"
    ? createRejectedResult(attemptResult.rejection, mayHaveRun)
    : {
      kind: "rejected",
      rejection: Respond.createRejection("targetBroke", "unknown"),
    };
}

/** Checks again, after the wait, that the key is not withdrawn and that this instance may still spend budgets. */
function recheckAdmission(
  deps: Context.Deps,
  ctx: Context.Context,
): Respond.Rejection | undefined {
  if (!deps.budgets.isValid()) {
    return Respond.createRejection("notHolding", "not-run");
  }
  const { digest } = ctx.caller;
  if (digest === undefined) return undefined;
  const checked = deps.keys.checkDigest(digest);
  if (checked.isErr()) return { failure: checked.error, outcome: "not-run" };
  if (!deps.freshness.isCurrent()) {
    return Respond.createRejection("keysNotCurrent", "not-run");
  }
  return undefined;
}
