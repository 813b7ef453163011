/**
 * The path of a request: route, key, limit, place, send, answer. A request that
 * may run once only is sent a second time only after a target said that it did
 * not run it; "not run" is said only when that holds for every send.
 */
import * as Crypto from "node:crypto";
import type * as Http from "node:http";
import * as Debug from "../debug.ts";
import type * as Types from "../types.ts";
import type * as Attempt from "./attempt.ts";
import * as Body from "./body.ts";
import * as Cancellation from "./cancellation.ts";
import * as Choice from "./choice.ts";
import * as PendingRequest from "./pending_request.ts";
import * as Placement from "./placement.ts";
import * as Reply from "./reply.ts";
import * as Routes from "./routes.ts";
import * as Sender from "./sender.ts";
import type * as GatewayTypes from "./types.ts";

/** Time that the answer needs from here to the caller. */
const WAY_BACK_MS = 15;
/** Connections that could not be made cost no target anything; still, time runs. */
const MAX_UNREACHABLE = 4;
/** A caller that was turned away comes back after the target's queue, and not sooner than this. */
const MIN_SHED_RETRY_MS = 20;
const MAX_SHED_RETRY_MS = 500;
/** Part of the budget of second sends that is kept for each rank of urgency above the request's. */
const RETRY_PART_STEP = 0.25;
const MIN_RETRY_PART = 0.3;

/** Another instance is likely to know the configuration; one that has just started learns it in about this time. */
const CONFIG_RETRY_MS = 300;

/** Handles callers' requests. */
export type Handler = (
  req: Http.IncomingMessage,
  res: Http.ServerResponse,
) => Promise<void>;

/** Creates the request path. */
export function createForwarder(deps: PendingRequest.ForwarderDeps): Handler {
  const { clock, state } = deps;
  const sender = Sender.createSender(deps);

  function finish(
    pending: {
      readonly res: Http.ServerResponse;
      readonly fields: GatewayTypes.CallerFields;
      readonly startedAtMs: number;
    },
    refusal: Reply.Rejection,
    more: Readonly<Record<string, string | number | undefined>>,
  ): void {
    Reply.sendRejection(pending.res, refusal);
    deps.log.write("refused", {
      id: pending.fields.requestId,
      code: refusal.code,
      status: refusal.status,
      outcome: refusal.outcome,
      retryAfterMs: refusal.retryAfterMs === undefined
        ? undefined
        : Math.round(refusal.retryAfterMs),
      ms: Math.round(clock.nowMs() - pending.startedAtMs),
      ...more,
    });
    deps.metrics.count(`refused.${refusal.code}`);
  }

  function sendAnswer(
    pending: PendingRequest.PendingRequest,
    place: Choice.Candidate,
    result: Attempt.AttemptResult & { kind: "answer" },
  ): void {
    const { answer } = result;
    const { res } = pending;
    const ms = clock.nowMs() - pending.startedAtMs;
    if (!res.headersSent && !res.destroyed) {
      const headers = deps.dialect.formatForCaller(answer.headers);
      headers.push("content-length", String(answer.body.length));
      res.writeHead(answer.status, headers);
      res.end(answer.body);
    }
    deps.log.write("answered", {
      id: pending.fields.requestId,
      route: pending.route.name,
      account: pending.account?.name,
      object: pending.fields.affinityKey,
      config: pending.version,
      target: place.target.entry.id,
      rank: place.rank,
      busy: place.outstanding,
      rtt: Math.round(place.roundTripMs),
      warmChance: Math.round(place.cacheHitChance * 100) / 100,
      sends: pending.sendCount,
      status: answer.status,
      ms: Math.round(ms),
    });
    deps.metrics.record({
      service: pending.service,
      account: pending.account?.name ?? "public",
      status: answer.status,
      codeNumber: 0,
      outcome: "answered",
      latencyMs: ms,
    });
  }

  /** True when the request may be sent to another target after this result. */
  function maySendAgain(
    pending: PendingRequest.PendingRequest,
    result: Attempt.AttemptResult,
  ): boolean {
    const { maxTargets, isRepeatable } = pending.route;
    if (result.kind === "unreachable") {
      return pending.triedTargets.size <= MAX_UNREACHABLE;
    }
    if (pending.sendCount >= maxTargets) return false;
    const isSafe = result.kind === "not-run" ||
      (result.kind === "broke" && isRepeatable);
    return isSafe && tryRetry(pending);
  }

  /** The most urgent requests may use the whole budget of second sends. */
  function tryRetry(pending: PendingRequest.PendingRequest): boolean {
    const priority = PendingRequest.getPriority(pending);
    const part = Math.max(1 - priority * RETRY_PART_STEP, MIN_RETRY_PART);
    return deps.retries.tryAcquireRetry(pending.service, part);
  }

  function end(
    pending: PendingRequest.PendingRequest,
    refusal: Reply.Rejection,
    reason: string,
    target?: Types.TargetId,
  ): void {
    // A refusal must not promise what a send may have broken.
    const isPromise = refusal.status === 503 || refusal.status === 429;
    const truthful = isPromise && pending.mayHaveRun
      ? Reply.createRejection("targetBroke", "unknown")
      : refusal;
    if (pending.account !== undefined && !pending.mayHaveRun) {
      deps.accounts.refund(pending.account);
    }
    finish(pending, truthful, {
      route: pending.route.name,
      account: pending.account?.name,
      object: pending.fields.affinityKey,
      config: pending.version,
      target,
      sends: pending.sendCount,
      reason,
    });
  }

  /** Tells the own place's working set whether a new request found room. */
  function noteRoom(own: Choice.Candidate | undefined, choice: Choice.Choice) {
    if (own === undefined || own.rank > 0) return;
    const { id } = own.target.entry;
    switch (choice.kind) {
      case "refuse":
        if (choice.reason !== "full" || own.isExcluded) return;
        return deps.workingSets.recordAdmission(id, false);
      case "send":
        if (choice.candidate !== own) return;
        return deps.workingSets.recordAdmission(id, true);
      case "wait":
        return;
      default:
        Debug.assertNever(choice);
    }
  }

  async function run(pending: PendingRequest.PendingRequest): Promise<void> {
    for (;;) {
      if (pending.cancellation.isCancelled()) {
        return endAborted(pending, undefined);
      }
      const demand = sender.getProfile(pending);
      const places = sender.getCandidates(pending);
      const choice = Choice.chooseCandidate(places, demand);
      if (pending.sendCount === 0) noteRoom(places[0], choice);
      if (choice.kind === "refuse") {
        const code = choice.reason === "full" ? "queueFull" : "noTarget";
        const refusal = Reply.createRejection(
          code,
          "not-run",
          choice.retryAfterMs,
        );
        return end(pending, refusal, choice.reason);
      }
      const { candidate: place } = choice;
      const { id } = place.target.entry;
      if (choice.kind === "wait") {
        const { affinityKey: objectKey, cancellation } = pending;
        await deps.warmups.wait(objectKey, id, choice.maxMs, cancellation);
        continue;
      }
      const result = await sender.send(pending, place, demand);
      if (result.kind === "aborted") return endAborted(pending, id);
      if (result.kind === "answer") {
        const mayRepeat = result.answer.status >= 500 &&
          pending.route.isRepeatable &&
          pending.sendCount < pending.route.maxTargets &&
          tryRetry(pending);
        if (!mayRepeat) return sendAnswer(pending, place, result);
        // A target's own failure counts as run.
        pending.mayHaveRun = true;
        continue;
      }
      if (maySendAgain(pending, result)) continue;
      if (result.kind === "broke") {
        const refusal = Reply.createRejection("targetBroke", "unknown");
        return end(pending, refusal, result.reason, id);
      }
      const waitMs = Choice.getQueueWaitMs(place, demand);
      const refusal = Reply.createRejection(
        "shedByTarget",
        "not-run",
        Math.min(Math.max(waitMs, MIN_SHED_RETRY_MS), MAX_SHED_RETRY_MS),
      );
      return end(pending, refusal, result.kind, id);
    }
  }

  function noteCallerLeft(
    { fields, startedAtMs }: Pick<
      PendingRequest.PendingRequest,
      "fields" | "startedAtMs"
    >,
    id: Types.TargetId | undefined,
  ): void {
    deps.log.write("caller-left", {
      id: fields.requestId,
      target: id,
      ms: Math.round(clock.nowMs() - startedAtMs),
    });
  }

  function endAborted(
    pending: PendingRequest.PendingRequest,
    id: Types.TargetId | undefined,
  ): void {
    if (pending.res.destroyed) {
      const { account, mayHaveRun } = pending;
      if (account !== undefined && !mayHaveRun) deps.accounts.refund(account);
      return noteCallerLeft(pending, id);
    }
    const refusal = pending.mayHaveRun
      ? Reply.createRejection("deadlinePassed", "unknown")
      : Reply.createRejection("queueFull", "not-run");
    end(pending, refusal, "time is over", id);
  }

  function makeFingerprint(
    req: Http.IncomingMessage,
    account: GatewayTypes.AccountSpec | undefined,
    fields: GatewayTypes.CallerFields,
    body: Buffer | undefined,
  ): string {
    const head =
      `${account?.name} ${req.method} ${req.url} ${fields.affinityKey}`;
    if (body === undefined) return head;
    const digest = Crypto.createHash("sha1").update(body).digest("base64");
    return `${head} ${digest}`;
  }

  return async (req, res) => {
    const startedAtMs = clock.nowMs();
    const fields = deps.dialect.readCaller(req.headers);
    const known = { res, fields, startedAtMs };
    const config = state.getConfig();
    if (config === undefined) {
      const refusal = Reply.createRejection(
        "configUnknown",
        "not-run",
        CONFIG_RETRY_MS,
      );
      return finish(known, refusal, {});
    }
    const route = Routes.tryFindRoute(config, req.headers.host, req.url ?? "/");
    const more = { config: config.version };
    if (route === undefined) {
      const refusal = Reply.createRejection("noSuchRoute", "not-run");
      return finish(known, refusal, { ...more, path: req.url });
    }
    const account = fields.key === undefined
      ? undefined
      : config.keys.get(fields.key);
    if (account === undefined && !route.isOpen) {
      const code = fields.key === undefined ? "keyMissing" : "keyUnknown";
      const refusal = Reply.createRejection(code, "not-run");
      return finish(known, refusal, { ...more, route: route.name });
    }
    const cancellation = Cancellation.createCancellation();
    res.once("close", cancellation.cancel);
    const read = await Body.readBody(req, config.limits.maxBodyBytes);
    if (read.kind === "broken") return;
    if (deps.readDelay.isDelayed()) await deps.readDelay.waitUntilRead();
    if (cancellation.isCancelled()) return noteCallerLeft(known, undefined);
    if (read.kind === "too-large") {
      const refusal = Reply.createRejection("bodyTooLarge", "not-run");
      return finish(known, refusal, { ...more, route: route.name });
    }
    const fingerprint = makeFingerprint(req, account, fields, read.data);
    if (deps.poison.isBlocked(fingerprint)) {
      const refusal = {
        ...Reply.createRejection("poisoned", "not-run"),
        status: 503,
      };
      return finish(known, refusal, { ...more, route: route.name });
    }
    if (account !== undefined) {
      const taken = await deps.accounts.acquire(account);
      if (taken !== "taken") {
        const refusal = Reply.createRejection(
          "accountLimit",
          "not-run",
          taken.retryAfterMs,
        );
        const name = account.name;
        return finish(known, refusal, { ...more, account: name });
      }
    }
    const service = deps.splits.chooseService(route);
    deps.retries.recordRequest(service);
    const waitMs = Math.min(
      route.timeoutMs,
      (fields.deadlineMs ?? Infinity) - WAY_BACK_MS,
    );
    const timer = setTimeout(
      cancellation.cancel,
      startedAtMs + waitMs - clock.nowMs(),
    );
    await run({
      req,
      res,
      fields,
      route,
      account,
      version: config.version,
      startedAtMs,
      deadlineAtMs: startedAtMs + waitMs,
      body: read.data,
      service,
      affinityKey: fields.affinityKey ??
        Placement.createSpreadKey(fields.requestId ?? ""),
      fingerprint,
      cancellation,
      triedTargets: new Set(),
      mayHaveRun: false,
      sendCount: 0,
    });
    clearTimeout(timer);
  };
}
