/**
 * The path of a request through an instance, in this order: URL path, key,
 * route, body, poison check, ticket, account limit, placement at a target, and
 * the exchange. Guarantee: a request runs only for the account whose key it
 * carries and within that account's limit, and every rejection states correctly
 * whether the request ran.
 */
import type * as Http from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import * as CallerEnd from "../caller_end.ts";
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
/** Shared abort reasons; without a reason, each abort creates an error with a stack trace. */
const CALLER_DISCONNECTED = new Error("caller disconnected");
const DEADLINE_EXPIRED = new Error("deadline expired");

/** Handles callers' requests to services. */
export type RequestHandler = (
  req: Http.IncomingMessage,
  res: Http.ServerResponse,
) => Promise<void>;

type RejectionResult = Err<Respond.Rejection>;

/** Rejects a request that did not run; on `once` routes an earlier transmission with the same ticket may have run. */
function rejectNotRun(failure: Respond.Rejection["failure"]): RejectionResult {
  return Err({ failure, outcome: "not-run" });
}

/** Creates the handler of requests to `/s/…`. */
export function createAdmission(deps: Context.Deps): RequestHandler {
  return async (req, res) => {
    const requestId = Context.createRequestId();
    const startedAtMs = deps.clock.nowMs();
    const abort = new AbortController();
    CallerEnd.onCallerEnd(req, res, () => abort.abort(CALLER_DISCONNECTED));
    const prepared = await prepareRequest(deps, req, res, {
      requestId,
      startedAtMs,
      abort,
    });
    if (prepared.isErr()) {
      // This transmission did not run, but the ledger may record an earlier one.
      const outcome = Once.getEarlyOutcome(
        deps,
        Headers.toPairs(req.rawHeaders),
      );
      const rejection = { ...prepared.error, outcome };
      Respond.sendRejection(res, rejection, requestId);
      req.resume();
      recordEarlyRejection(deps, rejection, startedAtMs);
      return;
    }
    const { ctx, dispose } = prepared.value;
    try {
      const result = ctx.isOnce
        ? await Once.serveOnce(deps, ctx)
        : await serveWithoutTicket(deps, ctx);
      recordRequest(deps, ctx, result);
    } finally {
      dispose();
    }
  };
}

/** State of a request before its URL, headers and body are checked. */
interface RequestStart {
  readonly requestId: string;
  readonly startedAtMs: number;
  readonly abort: AbortController;
}

interface PreparedRequest {
  readonly ctx: Context.Context;
  /** Stops the deadline timer and releases the body; call it when the request has ended. */
  dispose(): void;
}

/** Checks path, key, route, body and poison block. On rejection nothing was sent to a target. */
async function prepareRequest(
  deps: Context.Deps,
  req: Http.IncomingMessage,
  res: Http.ServerResponse,
  start: RequestStart,
): Promise<Result<PreparedRequest, Respond.Rejection>> {
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
  if (parsed.isErr()) return rejectNotRun(parsed.error);
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
  if (caller.isErr()) return rejectNotRun(caller.error);
  if (Account.isKeyInUrl(deps, url, key)) {
    return Err(Respond.createRejection("keyInQuery", "not-run"));
  }
  const deadlineMs = getDeadlineMs(req, rules);
  // Time may have passed since the request arrived.
  const remainingMs = start.startedAtMs + deadlineMs - deps.clock.nowMs();
  const timer = setTimeout(
    () => start.abort.abort(DEADLINE_EXPIRED),
    Math.max(1, Math.ceil(remainingMs)),
  );
  const received = await Body.readBody(req, deps.limits, start.abort.signal);
  if (received.isErr()) {
    clearTimeout(timer);
    return rejectNotRun(received.error);
  }
  const { body, keepUntil, release } = received.value;
  const dispose = () => {
    clearTimeout(timer);
    release();
  };
  const { account } = caller.value;
  const fingerprint = Context.getFingerprint(
    account,
    method,
    route,
    body,
    deps.limits,
  );
  // On `once` routes the ledger is consulted before the poison block, see `OnceRun.serveAsOwner`.
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
      (value) => Account.hasKnownKey(deps, value),
    ),
    method,
    route,
    rules,
    caller: caller.value,
    body,
    keepBodyUntil: keepUntil,
    isOnce,
    fingerprint,
    startedAtMs: start.startedAtMs,
    deadlineAtMs: start.startedAtMs + deadlineMs,
    accountToken: { acquiredAtMs: undefined },
    signal: start.abort.signal,
  };
  return Ok({ ctx, dispose });
}

/** Time in ms until the deadline. A caller may shorten the service's deadline but not extend it. */
function getDeadlineMs(
  req: Http.IncomingMessage,
  rules: Types.ServiceRules,
): number {
  const requestedMs = Number(req.headers[DEADLINE_HEADER]);
  const isValid = Number.isFinite(requestedMs) && requestedMs > 0;
  return isValid ? Math.min(requestedMs, rules.deadlineMs) : rules.deadlineMs;
}

async function serveWithoutTicket(
  deps: Context.Deps,
  ctx: Context.Context,
): Promise<Attempt.RunResult> {
  const rejection = await Account.acquireAccountToken(deps, ctx);
  if (rejection !== undefined) {
    return sendResult(ctx, { kind: "rejected", rejection });
  }
  const sink = Respond.createResponseSink(ctx.res, ctx.id);
  const result = await Run.runWithRetries(deps, ctx, sink, ctx.signal);
  Account.refundTokenIfNotRun(deps, ctx, result);
  return sendResult(ctx, result);
}

function sendResult(
  ctx: Context.Context,
  result: Attempt.RunResult,
): Attempt.RunResult {
  switch (result.kind) {
    case "response":
      Respond.sendResponse(ctx.res, result.response, ctx.id, false);
      break;
    case "streamed":
      ctx.res.end();
      break;
    case "rejected":
      Respond.sendRejection(ctx.res, result.rejection, ctx.id);
      break;
    case "truncated":
      // A normal end would make the truncated response look complete.
      ctx.res.destroy();
      break;
    default:
      Debug.assertNever(result);
  }
  return result;
}

function recordRequest(
  deps: Context.Deps,
  ctx: Context.Context,
  result: Attempt.RunResult,
): void {
  const rejection = result.kind === "rejected" ? result.rejection : undefined;
  // A relayed request is counted by the instance that the caller is connected to.
  if (!ctx.caller.isRelayed) recordMetrics(deps, ctx, result, rejection);
  deps.log.debug("request", {
    requestId: ctx.id,
    service: ctx.route.service,
    account: ctx.caller.account,
    method: ctx.method,
    status: getStatus(result),
    code: rejection?.failure.code.number,
    relayed: ctx.caller.isRelayed ? true : undefined,
    ms: Math.round(deps.clock.nowMs() - ctx.startedAtMs),
  });
}

function recordMetrics(
  deps: Context.Deps,
  ctx: Context.Context,
  result: Attempt.RunResult,
  rejection: Respond.Rejection | undefined,
): void {
  const isCallerDisconnected = ctx.signal.aborted &&
    !Context.isDeadlineExpired(ctx, deps.clock) && rejection !== undefined;
  deps.metrics.record({
    service: ctx.route.service,
    account: ctx.caller.account,
    status: getStatus(result),
    codeNumber: rejection?.failure.code.number ?? 0,
    outcome: isCallerDisconnected
      ? "cancelled"
      : rejection?.outcome ?? "answered",
    latencyMs: deps.clock.nowMs() - ctx.startedAtMs,
  });
}

function getStatus(result: Attempt.RunResult): number {
  switch (result.kind) {
    case "response":
      return result.response.status;
    case "streamed":
      return result.status;
    case "rejected":
      return result.rejection.failure.code.status;
    case "truncated":
      return 0;
    default:
      return Debug.assertNever(result);
  }
}

function recordEarlyRejection(
  deps: Context.Deps,
  rejection: Respond.Rejection,
  startedAtMs: number,
): void {
  deps.metrics.count(`early_refusals_${rejection.failure.code.number}`);
  deps.log.debug("request-refused", {
    code: rejection.failure.code.number,
    ms: Math.round(deps.clock.nowMs() - startedAtMs),
  });
}
