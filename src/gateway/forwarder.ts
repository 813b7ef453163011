/**
 * The request path: finds the route, checks the key and the account's limit,
 * chooses a target, sends the request and returns the response. A request that
 * must not run twice is sent again only after the target reported that it did not
 * run it. A rejection reports "not run" only if that holds for every send.
 */
import * as Crypto from "node:crypto";
import type * as Http from "node:http";
import * as CallerEnd from "../caller_end.ts";
import * as Debug from "../debug.ts";
import type * as Types from "../types.ts";
import type * as Attempt from "./attempt.ts";
import * as Body from "./body.ts";
import * as Cancellation from "./cancellation.ts";
import * as Choice from "./choice.ts";
import * as EligibleTargets from "./eligible_targets.ts";
import type * as Exchange from "./exchange.ts";
import * as PendingRequest from "./pending_request.ts";
import * as Placement from "./placement.ts";
import * as Rejection from "./rejection.ts";
import * as Routes from "./routes.ts";
import * as Sender from "./sender.ts";
import type * as GatewayTypes from "./types.ts";

/** Network latency of the response from this instance to the caller. */
const RESPONSE_LATENCY_MS = 15;
/** Connection attempts to this many targets may fail; they put no load on targets, but each uses up time before the deadline. */
const MAX_UNREACHABLE_TARGETS = 4;
/** The caller of a request that was shed is advised to retry after the estimated wait in the target's queue, within these bounds. */
const MIN_SHED_RETRY_MS = 20;
const MAX_SHED_RETRY_MS = 500;
/** Share of the budget of second sends that is reserved for each priority above that of the request. */
const RETRY_SHARE_STEP = 0.25;
/** Share of the budget that requests of every priority may use. */
const MIN_RETRY_SHARE = 0.3;

/**
 * Retry advice while this instance has no configuration. Another instance is likely
 * to have it, and one that just started receives it in about this time.
 */
const CONFIG_RETRY_MS = 300;

/** Retry advice while no instance that can be reached reaches targets; a partition lasts for seconds. */
const NO_INSTANCE_RETRY_MS = 300;

/** Retry advice of an instance that stops; other instances can take the request at once. */
const LEAVING_RETRY_MS = 50;

/** The request path. */
export interface Forwarder {
  /** Handles one caller request and completes or destroys its response. */
  handle(req: Http.IncomingMessage, res: Http.ServerResponse): Promise<void>;
  /**
   * Prepares a planned stop. From `acceptUntilMs` on, only requests are accepted whose
   * deadline is before `endMs` (both monotonic ms); requests that run at `endMs` get
   * their response then.
   */
  prepareStop(stop: PlannedStop): void;
}

/** When an instance that stops handles its last requests, monotonic ms. */
export interface PlannedStop {
  readonly acceptUntilMs: number;
  readonly endMs: number;
}

/** Creates the request path. */
export function createForwarder(deps: PendingRequest.ForwarderDeps): Forwarder {
  const { clock, state } = deps;
  /** Requests that were accepted and have no response yet. */
  const running = new Set<Cancellation.CancellationSource>();
  let plannedStop: PlannedStop | undefined;
  const sender = Sender.createSender(deps);

  /** Sends a rejection, logs it with `details` and counts it. */
  function reject(
    request: {
      readonly res: Http.ServerResponse;
      readonly callerFields: GatewayTypes.CallerFields;
      readonly startedAtMs: number;
    },
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

  /** Returns true if the request may go to another target after this result; acquires a second send unless the connection failed. */
  function tryApproveResend(
    pending: PendingRequest.PendingRequest,
    result: Attempt.AttemptResult,
  ): boolean {
    const { maxTargets, isRepeatable } = pending.route;
    if (result.kind === "unreachable") {
      return pending.triedTargets.size <= MAX_UNREACHABLE_TARGETS;
    }
    if (pending.sendCount >= maxTargets) return false;
    const isSafe = result.kind === "not-run" ||
      (result.kind === "broke" && isRepeatable);
    return isSafe && tryAcquireRetry(pending);
  }

  /** Acquires a second send. Requests of the highest priority may use the whole budget. */
  function tryAcquireRetry(pending: PendingRequest.PendingRequest): boolean {
    const priority = PendingRequest.getPriority(pending);
    const share = Math.max(1 - priority * RETRY_SHARE_STEP, MIN_RETRY_SHARE);
    return deps.retryBudget.tryAcquireRetry(pending.service, share);
  }

  /** Returns the token of a request that did not run to its account. */
  function refund(pending: PendingRequest.PendingRequest): void {
    if (!pending.isAdmitted || pending.mayHaveRun) return;
    pending.isAdmitted = false;
    if (pending.account !== undefined) deps.accounts.refund(pending.account);
  }

  /** Rejects a request and refunds its account if the request did not run. */
  function rejectPending(
    pending: PendingRequest.PendingRequest,
    rejection: Rejection.Rejection,
    reason: string,
    target?: Types.TargetId,
  ): void {
    // These statuses guarantee that the request did not run, which a send may have made untrue.
    const claimsNotRun = rejection.status === 503 || rejection.status === 429;
    const accurateRejection = claimsNotRun && pending.mayHaveRun
      ? Rejection.createRejection("targetBroke", "unknown")
      : rejection;
    refund(pending);
    reject(pending, accurateRejection, {
      route: pending.route.name,
      account: pending.account?.name,
      object: pending.callerFields.affinityKey,
      config: pending.configVersion,
      target,
      sends: pending.sendCount,
      reason,
    });
  }

  /** Records in the working set of the primary target whether it admitted a new request. */
  function recordAdmission(
    primary: Choice.Candidate | undefined,
    choice: Choice.Choice,
  ) {
    if (primary === undefined || primary.rank > 0) return;
    const { id } = primary.target.entry;
    switch (choice.kind) {
      case "reject":
        if (choice.reason !== "full" || primary.isExcluded) return;
        return deps.workingSets.recordAdmission(id, false);
      case "send":
        if (choice.candidate !== primary) return;
        return deps.workingSets.recordAdmission(id, true);
      case "wait":
        return;
      default:
        Debug.assertNever(choice);
    }
  }

  /** True if another instance may serve the request, as this one reaches no target, or can't open the connection that it needs. */
  function isRelayUseful({ callerFields }: PendingRequest.PendingRequest) {
    if (callerFields.isRelayed) return false;
    return deps.reach.isStranded() || deps.reach.isLimited();
  }

  /** Passes the request on to another instance, which counts it for its account. */
  async function relay(pending: PendingRequest.PendingRequest): Promise<void> {
    const { account, body, callerFields, req, res, route } = pending;
    const result = await deps.relay.send({
      method: req.method ?? "GET",
      path: req.url ?? "/",
      rawHeaders: req.rawHeaders,
      body,
      isRepeatable: route.isRepeatable,
      homeRegions: EligibleTargets.getHomeRegions(route, account),
      affinityKey: pending.affinityKey,
      deadlineAtMs: pending.deadlineAtMs,
      cancellation: pending.cancellation,
    });
    switch (result.kind) {
      case "unavailable": {
        const rejection = Rejection.createRejection(
          "noTarget",
          "not-run",
          NO_INSTANCE_RETRY_MS,
        );
        return rejectPending(pending, rejection, "no instance reaches targets");
      }
      case "broke": {
        pending.mayHaveRun = true;
        const rejection = Rejection.createRejection("targetBroke", "unknown");
        return rejectPending(pending, rejection, result.reason);
      }
      case "aborted":
        if (result.isSent) pending.mayHaveRun = true;
        return endCancelled(pending, undefined);
      case "response": {
        const { instance, response } = result;
        writeResponse(res, response);
        deps.log.write("relayed", {
          id: callerFields.requestId,
          route: route.name,
          instance,
          status: response.status,
          ms: Math.round(clock.nowMs() - pending.startedAtMs),
        });
        deps.metrics.count("relayed");
        return;
      }
      default:
        Debug.assertNever(result);
    }
  }

  /** Returns the request's token to its account, unless it may have run, and passes it on. */
  function relayAdmitted(pending: PendingRequest.PendingRequest) {
    refund(pending);
    return relay(pending);
  }

  /** Sends the request to targets until a response or a rejection goes to the caller. */
  async function forward(
    pending: PendingRequest.PendingRequest,
  ): Promise<void> {
    for (;;) {
      if (pending.cancellation.isCancelled()) {
        return endCancelled(pending, undefined);
      }
      const canRelay = isRelayUseful(pending);
      if (canRelay && deps.reach.isStranded()) return relayAdmitted(pending);
      const profile = sender.getProfile(pending);
      const candidates = sender.getCandidates(pending);
      const choice = Choice.chooseCandidate(candidates, profile);
      if (pending.sendCount === 0) recordAdmission(candidates[0], choice);
      if (choice.kind === "reject") {
        if (canRelay && choice.reason === "no-target") {
          return relayAdmitted(pending);
        }
        const code = choice.reason === "full" ? "queueFull" : "noTarget";
        const rejection = Rejection.createRejection(
          code,
          "not-run",
          choice.retryAfterMs,
        );
        return rejectPending(pending, rejection, choice.reason);
      }
      const { candidate } = choice;
      const { id } = candidate.target.entry;
      if (choice.kind === "wait") {
        const { affinityKey, cancellation } = pending;
        await deps.warmups.wait(affinityKey, id, choice.maxMs, cancellation);
        continue;
      }
      const result = await sender.send(pending, candidate, profile);
      if (result.kind === "aborted") return endCancelled(pending, id);
      if (result.kind === "response") {
        const isResent = result.response.status >= 500 &&
          pending.route.isRepeatable &&
          pending.sendCount < pending.route.maxTargets &&
          tryAcquireRetry(pending);
        if (!isResent) return sendResponse(pending, candidate, result);
        // A failure status of the target counts as a run.
        pending.mayHaveRun = true;
        continue;
      }
      if (tryApproveResend(pending, result)) continue;
      if (result.kind === "unreachable" && isRelayUseful(pending)) {
        return relayAdmitted(pending);
      }
      if (result.kind === "broke") {
        const rejection = Rejection.createRejection("targetBroke", "unknown");
        return rejectPending(pending, rejection, result.reason, id);
      }
      const waitMs = Choice.getQueueWaitMs(candidate, profile);
      const rejection = Rejection.createRejection(
        "shedByTarget",
        "not-run",
        Math.min(Math.max(waitMs, MIN_SHED_RETRY_MS), MAX_SHED_RETRY_MS),
      );
      return rejectPending(pending, rejection, result.kind, id);
    }
  }

  /** Logs that the caller disconnected before a response; `sends` counts the targets that got the request. */
  function logDisconnect(
    { callerFields, startedAtMs }: Pick<
      PendingRequest.PendingRequest,
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

  /** Ends a request whose caller disconnected or whose deadline expired. */
  function endCancelled(
    pending: PendingRequest.PendingRequest,
    targetId: Types.TargetId | undefined,
  ): void {
    if (pending.cancellation.getReason() === "caller-left") {
      refund(pending);
      return logDisconnect(pending, pending.sendCount, targetId);
    }
    const rejection = pending.mayHaveRun
      ? Rejection.createRejection("deadlinePassed", "unknown")
      : Rejection.createRejection("queueFull", "not-run");
    rejectPending(pending, rejection, "time is over", targetId);
  }

  /** Identifies equal requests of an account, for the detection of poison requests. */
  function computeFingerprint(
    req: Http.IncomingMessage,
    account: GatewayTypes.AccountSpec | undefined,
    callerFields: GatewayTypes.CallerFields,
    body: Buffer | undefined,
  ): string {
    const identity =
      `${account?.name} ${req.method} ${req.url} ${callerFields.affinityKey}`;
    if (body === undefined) return identity;
    const digest = Crypto.createHash("sha1").update(body).digest("base64");
    return `${identity} ${digest}`;
  }

  /** Acquires a token of the account's limit; rejects the request and returns false if there is none. */
  async function tryAdmit(
    request: Parameters<typeof reject>[0],
    account: GatewayTypes.AccountSpec | undefined,
    configVersion: number,
  ): Promise<boolean> {
    if (account === undefined) return true;
    const acquired = await deps.accounts.acquire(account);
    if (acquired === "acquired") return true;
    const rejection = Rejection.createRejection(
      "accountLimit",
      "not-run",
      acquired.retryAfterMs,
    );
    const details = { config: configVersion, account: account.name };
    reject(request, rejection, details);
    return false;
  }

  /** True if the request may still run when this instance has stopped. */
  function isTooLate(deadlineAtMs: number): boolean {
    if (plannedStop === undefined) return false;
    return clock.nowMs() > plannedStop.acceptUntilMs &&
      deadlineAtMs > plannedStop.endMs;
  }

  async function handle(
    req: Http.IncomingMessage,
    res: Http.ServerResponse,
  ): Promise<void> {
    const startedAtMs = clock.nowMs();
    const callerFields = deps.dialect.readCaller(req.headers);
    const request = { res, callerFields, startedAtMs };
    const config = state.getConfig();
    if (config === undefined) {
      const rejection = Rejection.createRejection(
        "configUnknown",
        "not-run",
        CONFIG_RETRY_MS,
      );
      return reject(request, rejection, {});
    }
    const route = Routes.tryFindRoute(config, req.headers.host, req.url ?? "/");
    const details = { config: config.version };
    if (route === undefined) {
      const rejection = Rejection.createRejection("noSuchRoute", "not-run");
      return reject(request, rejection, { ...details, path: req.url });
    }
    const account = callerFields.key === undefined
      ? undefined
      : config.keys.get(callerFields.key);
    if (account === undefined && !route.isKeyOptional) {
      const code = callerFields.key === undefined ? "keyMissing" : "keyUnknown";
      const rejection = Rejection.createRejection(code, "not-run");
      return reject(request, rejection, { ...details, route: route.name });
    }
    const cancellation = Cancellation.createCancellation();
    CallerEnd.onCallerEnd(req, res, () => cancellation.cancel("caller-left"));
    const bodyResult = await Body.readBody(req, config.limits.maxBodyBytes);
    if (bodyResult.kind === "disconnected") return;
    await deps.readBarrier.wait();
    if (cancellation.isCancelled()) return logDisconnect(request, 0);
    if (bodyResult.kind === "too-large") {
      const rejection = Rejection.createRejection("bodyTooLarge", "not-run");
      return reject(request, rejection, { ...details, route: route.name });
    }
    const fingerprint = computeFingerprint(
      req,
      account,
      callerFields,
      bodyResult.data,
    );
    if (deps.poison.isBlocked(fingerprint)) {
      const rejection = {
        ...Rejection.createRejection("poisoned", "not-run"),
        status: 503,
      };
      return reject(request, rejection, { ...details, route: route.name });
    }
    const timeoutMs = Math.min(
      route.timeoutMs,
      (callerFields.deadlineMs ?? Infinity) - RESPONSE_LATENCY_MS,
    );
    const deadlineAtMs = startedAtMs + timeoutMs;
    if (isTooLate(deadlineAtMs)) {
      const rejection = Rejection.createRejection(
        "leaving",
        "not-run",
        LEAVING_RETRY_MS,
      );
      return reject(request, rejection, { ...details, route: route.name });
    }
    const timer = setTimeout(
      () => cancellation.cancel("deadline"),
      deadlineAtMs - clock.nowMs(),
    );
    const isStranded = deps.reach.isStranded() && !callerFields.isRelayed;
    if (!isStranded && !await tryAdmit(request, account, config.version)) {
      return clearTimeout(timer);
    }
    const pending: PendingRequest.PendingRequest = {
      req,
      res,
      callerFields,
      route,
      account,
      configVersion: config.version,
      startedAtMs,
      deadlineAtMs,
      body: bodyResult.data,
      service: deps.splits.chooseService(route),
      affinityKey: callerFields.affinityKey ??
        Placement.createSpreadKey(callerFields.requestId ?? ""),
      fingerprint,
      cancellation,
      triedTargets: new Set(),
      isAdmitted: !isStranded,
      mayHaveRun: false,
      sendCount: 0,
    };
    running.add(cancellation);
    if (isStranded) {
      await relay(pending);
    } else {
      deps.retryBudget.recordRequest(pending.service);
      await forward(pending);
    }
    running.delete(cancellation);
    clearTimeout(timer);
  }

  return {
    handle,
    prepareStop(stop) {
      plannedStop = stop;
      setTimeout(
        () => running.forEach((request) => request.cancel("deadline")),
        stop.endMs - clock.nowMs(),
      ).unref();
    },
  };
}
