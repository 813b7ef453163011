/**
 * The request path, in this order: path, key, route, body, poison check,
 * ticket, account bucket, then a place and the exchange. Promise: a request
 * runs only for the account whose key came with it, within that account's
 * limit, and every refusal says truthfully whether it ran.
 */
import type * as Http from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import * as Debug from "../debug.ts";
import * as Body from "../forward/body.ts";
import * as Headers from "../forward/headers.ts";
import * as Path from "../forward/path.ts";
import * as Respond from "../forward/respond.ts";
import type * as Types from "../types.ts";
import type * as Attempt from "./attempt.ts";
import * as Account from "./account.ts";
import * as Context from "./context.ts";
import * as Once from "./once.ts";
import * as Run from "./run.ts";

const DEADLINE_HEADER = "anvilroute-deadline-ms";
const MAX_URL_CHARS = 8_192;
/** Reasons for aborts; without one, each abort makes an error with a stack trace. */
const CALLER_GONE = new Error("the caller is gone");
const DEADLINE = new Error("the deadline has passed");

/** Handles callers' requests for services. */
export type RequestHandler = (
  req: Http.IncomingMessage,
  res: Http.ServerResponse,
) => Promise<void>;

type Refused = Err<Respond.Rejection>;

/** This request did not run; on `once` routes an earlier one with its ticket may have. */
function refuseNotRun(failure: Respond.Rejection["failure"]): Refused {
  return Err({ failure, outcome: "not-run" });
}

/** Creates the handler of `/s/…`. */
export function createAdmission(deps: Context.Deps): RequestHandler {
  return async (req, res) => {
    const requestId = Context.createRequestId();
    const startedAtMs = deps.clock.nowMs();
    const abort = new AbortController();
    // After a whole answer nothing is left to abort.
    res.once("close", () => {
      if (!res.writableFinished) abort.abort(CALLER_GONE);
    });
    const prepared = await prepare(deps, req, res, {
      requestId,
      startedAtMs,
      abort,
    });
    if (prepared.isErr()) {
      // `prepare` knows of this transmission only; the ledger knows of earlier ones.
      const outcome = Once.getEarlyOutcome(
        deps,
        Headers.toPairs(req.rawHeaders),
      );
      const refusal = { ...prepared.error, outcome };
      Respond.sendRejection(res, refusal, requestId);
      req.resume();
      recordEarly(deps, refusal, startedAtMs);
      return;
    }
    const { ctx, dispose } = prepared.value;
    try {
      const ended = ctx.isOnce
        ? await Once.serveOnce(deps, ctx)
        : await servePlain(deps, ctx);
      record(deps, ctx, ended);
    } finally {
      dispose();
    }
  };
}

/** What is known of a request before anything of it was read. */
interface Start {
  readonly requestId: string;
  readonly startedAtMs: number;
  readonly abort: AbortController;
}

interface Prepared {
  readonly ctx: Context.Context;
  /** Ends the deadline's timer; call it when the request has ended. */
  dispose(): void;
}

/** Path, key, route, body and poison check; a refusal means that nothing left for a target. */
async function prepare(
  deps: Context.Deps,
  req: Http.IncomingMessage,
  res: Http.ServerResponse,
  start: Start,
): Promise<Result<Prepared, Respond.Rejection>> {
  const url = req.url ?? "";
  if (url.length > MAX_URL_CHARS) {
    return Err(
      Respond.createRejection(
        "badRequest",
        "not-run",
        undefined,
        "URL too long",
      ),
    );
  }
  const parsed = Path.parsePath(url);
  if (parsed.isErr()) return refuseNotRun(parsed.error);
  const route = parsed.value;
  const rules = deps.config.getTable()?.services.get(route.service);
  if (rules === undefined) {
    return Err(Respond.createRejection("noSuchService", "not-run"));
  }
  const method = req.method ?? "GET";
  const { isOnce, isOpen } = deps.findRoute(rules, method, route.path);
  const pairs = Headers.toPairs(req.rawHeaders);
  const key = Account.tryGetKey(pairs);
  const caller = Account.authenticateCaller(
    deps,
    req,
    pairs,
    key,
    isOpen && !isOnce,
  );
  if (caller.isErr()) return refuseNotRun(caller.error);
  if (Account.isKeyInUrl(deps, url, key)) {
    return Err(Respond.createRejection("keyInQuery", "not-run"));
  }
  const deadlineMs = getDeadlineMs(req, rules);
  const timer = setTimeout(() => start.abort.abort(DEADLINE), deadlineMs);
  const dispose = () => clearTimeout(timer);
  const body = await Body.readBody(req, deps.limits, start.abort.signal);
  if (body.isErr()) {
    dispose();
    return refuseNotRun(body.error);
  }
  const { account } = caller.value;
  const fingerprint = Context.getFingerprint(
    account,
    method,
    route,
    body.value,
  );
  // The ledger decides first on `once` routes, see `serveOnce`.
  if (!isOnce && deps.poison.isBlocked(fingerprint)) {
    dispose();
    return Err(Respond.createRejection("poisoned", "not-run"));
  }
  const ctx: Context.Context = {
    id: start.requestId,
    req,
    res,
    headers: Headers.filterRequestHeaders(
      pairs,
      key,
      (text) => Account.hasKnownKey(deps, text),
    ),
    method,
    route,
    rules,
    caller: caller.value,
    body: body.value,
    isOnce,
    fingerprint,
    startedAtMs: start.startedAtMs,
    deadlineAtMs: start.startedAtMs + deadlineMs,
    payment: { takenAtMs: undefined },
    signal: start.abort.signal,
  };
  return Ok({ ctx, dispose });
}

/** A caller may shorten the service's deadline, not extend it. */
function getDeadlineMs(
  req: Http.IncomingMessage,
  rules: Types.ServiceRules,
): number {
  const asked = Number(req.headers[DEADLINE_HEADER]);
  const isGood = Number.isFinite(asked) && asked > 0;
  return isGood ? Math.min(asked, rules.deadlineMs) : rules.deadlineMs;
}

async function servePlain(
  deps: Context.Deps,
  ctx: Context.Context,
): Promise<Attempt.RunResult> {
  const unpaid = await Account.pay(deps, ctx);
  if (unpaid !== undefined) {
    return finish(ctx, { kind: "refused", refusal: unpaid });
  }
  const sink = Respond.createResponseSink(ctx.res, ctx.id);
  const result = await Run.run(deps, ctx, sink, ctx.signal);
  Account.refundIfNotRun(deps, ctx, result);
  return finish(ctx, result);
}

function finish(
  ctx: Context.Context,
  result: Attempt.RunResult,
): Attempt.RunResult {
  switch (result.kind) {
    case "answer":
      Respond.sendResponse(ctx.res, result.answer, ctx.id, false);
      break;
    case "streamed":
      ctx.res.end();
      break;
    case "refused":
      Respond.sendRejection(ctx.res, result.refusal, ctx.id);
      break;
    case "cut":
      // Ending normally would make a part look like the whole answer.
      ctx.res.destroy();
      break;
    default:
      Debug.assertNever(result);
  }
  return result;
}

function record(
  deps: Context.Deps,
  ctx: Context.Context,
  result: Attempt.RunResult,
): void {
  const refusal = result.kind === "refused" ? result.refusal : undefined;
  // The instance that the caller talks to counts a relayed request.
  if (!ctx.caller.isRelayed) recordMetrics(deps, ctx, result, refusal);
  deps.log.debug("request", {
    requestId: ctx.id,
    service: ctx.route.service,
    account: ctx.caller.account,
    method: ctx.method,
    status: getStatus(result),
    code: refusal?.failure.code.number,
    relayed: ctx.caller.isRelayed ? true : undefined,
    ms: Math.round(deps.clock.nowMs() - ctx.startedAtMs),
  });
}

function recordMetrics(
  deps: Context.Deps,
  ctx: Context.Context,
  result: Attempt.RunResult,
  refusal: Respond.Rejection | undefined,
): void {
  const isCallerGone = ctx.signal.aborted &&
    Context.getRemainingMs(ctx, deps.clock) > 0 && refusal !== undefined;
  deps.metrics.record({
    service: ctx.route.service,
    account: ctx.caller.account,
    status: getStatus(result),
    codeNumber: refusal?.failure.code.number ?? 0,
    outcome: isCallerGone ? "cancelled" : refusal?.outcome ?? "answered",
    latencyMs: deps.clock.nowMs() - ctx.startedAtMs,
  });
}

function getStatus(result: Attempt.RunResult): number {
  switch (result.kind) {
    case "answer":
      return result.answer.status;
    case "streamed":
      return result.status;
    case "refused":
      return result.refusal.failure.code.status;
    case "cut":
      return 0;
    default:
      return Debug.assertNever(result);
  }
}

function recordEarly(
  deps: Context.Deps,
  refusal: Respond.Rejection,
  startedAtMs: number,
): void {
  deps.metrics.count(`early_refusals_${refusal.failure.code.number}`);
  deps.log.debug("request-refused", {
    code: refusal.failure.code.number,
    ms: Math.round(deps.clock.nowMs() - startedAtMs),
  });
}
