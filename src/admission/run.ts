/**
 * Runs a request at a target, with bounded retries. Promise: a request is sent
 * again only when it is a read or when the target before did not run it, and
 * "not run" is said only when no byte left or the target said so.
 */
import * as Clock from "../clock.ts";
import type * as Exchange from "../forward/exchange.ts";
import * as Respond from "../forward/respond.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Account from "./account.ts";
import * as Attempt from "./attempt.ts";
import * as Context from "./context.ts";
import * as Place from "./place.ts";

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

/** Runs the request; budgets of what did not run are given back. */
export async function run(
  deps: Context.Deps,
  ctx: Context.Context,
  sink: Exchange.ResponseSink,
  signal: AbortSignal,
): Promise<Attempt.RunResult> {
  const exclude = new Set<string>();
  let broken = 0;
  deps.retries.recordRequest(ctx.route.service);
  for (let attempt = 1;; attempt++) {
    const placed = await Place.place(deps, ctx, exclude);
    if (placed.isErr()) return getPlaceFailure(placed.error, broken > 0);
    const placement = placed.value;
    const blocked = recheck(deps, ctx);
    if (blocked !== undefined) {
      Place.abandon(deps, ctx, placement);
      return getPlaceFailure(blocked, broken > 0);
    }
    const ended = await Attempt.runOnce(deps, ctx, placement, sink, signal);
    if (ended.kind !== "not-run" && ended.kind !== "broke") return ended;
    exclude.add(placement.slot.target.id);
    if (ended.kind === "broke") {
      broken++;
      Account.markSpent(ctx);
    }
    const mayRetry = attempt < MAX_ATTEMPTS && !signal.aborted &&
      isRepeatable(ctx, ended, broken) &&
      hasOther(deps, ctx, broken, exclude) &&
      deps.retries.tryAcquireRetry(ctx.route.service);
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

function isShed(ended: Attempt.Retriable): boolean {
  return ended.kind === "not-run" &&
    ended.refusal.failure.code === ResultCodes.codes.shedByTarget;
}

function isRepeatable(
  ctx: Context.Context,
  ended: Attempt.Retriable,
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
  refusal: Respond.Rejection,
  mayHaveRun: boolean,
): Attempt.RunResult {
  const outcome = mayHaveRun ? "unknown" : refusal.outcome;
  return { kind: "refused", refusal: { ...refusal, outcome } };
}

function getFinalResult(
  ended: Attempt.Retriable,
  mayHaveRun: boolean,
): Attempt.RunResult {
  return ended.kind === "not-run"
    ? getPlaceFailure(ended.refusal, mayHaveRun)
    : {
      kind: "refused",
      refusal: Respond.createRejection("targetBroke", "unknown"),
    };
}

/** The key may have been withdrawn and the right to spend lost while the request waited. */
function recheck(
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
