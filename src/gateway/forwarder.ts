/**
 * The path of a request: route, key, limit, place, send, answer. A request that
 * may run once only is sent a second time only after a target said that it did
 * not run it; "not run" is said only when that holds for every send.
 */
import * as Crypto from "node:crypto";
import type * as Http from "node:http";
import type * as Types from "../types.ts";
import type * as Attempt from "./attempt.ts";
import * as Body from "./body.ts";
import * as Choice from "./choice.ts";
import * as Flight from "./flight.ts";
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

/** Handles callers' requests. */
export type Handler = (
  req: Http.IncomingMessage,
  res: Http.ServerResponse,
) => Promise<void>;

/** Creates the request path. */
export function createForwarder(deps: Flight.ForwarderDeps): Handler {
  const { clock, state } = deps;
  const sender = Sender.createSender(deps);

  function finish(
    flight: {
      readonly res: Http.ServerResponse;
      readonly fields: GatewayTypes.CallerFields;
      readonly startedAtMs: number;
    },
    refusal: Reply.Refusal,
    more: Readonly<Record<string, string | number | undefined>>,
  ): void {
    Reply.sendRefusal(flight.res, refusal);
    deps.log.write("refused", {
      id: flight.fields.requestId,
      code: refusal.code,
      status: refusal.status,
      outcome: refusal.outcome,
      retryAfterMs: refusal.retryAfterMs === undefined
        ? undefined
        : Math.round(refusal.retryAfterMs),
      ms: Math.round(clock.nowMs() - flight.startedAtMs),
      ...more,
    });
    deps.metrics.count(`refused.${refusal.code}`);
  }

  function sendAnswer(
    flight: Flight.Flight,
    place: Choice.Place,
    result: Attempt.AttemptResult & { kind: "answer" },
  ): void {
    const { answer } = result;
    const { res } = flight;
    const ms = clock.nowMs() - flight.startedAtMs;
    if (!res.headersSent && !res.destroyed) {
      const headers = deps.dialect.formatForCaller(answer.headers);
      headers.push("content-length", String(answer.body.length));
      res.writeHead(answer.status, headers);
      res.end(answer.body);
    }
    deps.log.write("answered", {
      id: flight.fields.requestId,
      route: flight.route.name,
      account: flight.account?.name,
      object: flight.fields.objectKey,
      config: flight.version,
      target: place.target.entry.id,
      rank: place.rank,
      busy: place.busy,
      rtt: Math.round(place.roundTripMs),
      isWarm: place.isWarm,
      sends: flight.sends,
      status: answer.status,
      ms: Math.round(ms),
    });
    deps.metrics.record({
      service: flight.service,
      account: flight.account?.name ?? "public",
      status: answer.status,
      codeNumber: 0,
      outcome: "answered",
      latencyMs: ms,
    });
  }

  /** True when the request may be sent to another target after this result. */
  function maySendAgain(
    flight: Flight.Flight,
    result: Attempt.AttemptResult,
  ): boolean {
    const { maxTargets, isRepeatable } = flight.route;
    if (result.kind === "unreachable") {
      return flight.tried.size <= MAX_UNREACHABLE;
    }
    if (flight.sends >= maxTargets) return false;
    const isSafe = result.kind === "not-run" ||
      (result.kind === "broke" && isRepeatable);
    return isSafe && tryRetry(flight);
  }

  /** The most urgent requests may use the whole budget of second sends. */
  function tryRetry(flight: Flight.Flight): boolean {
    const priority = Flight.getPriority(flight);
    const part = Math.max(1 - priority * RETRY_PART_STEP, MIN_RETRY_PART);
    return deps.retries.tryRetry(flight.service, part);
  }

  function end(
    flight: Flight.Flight,
    refusal: Reply.Refusal,
    reason: string,
    target?: Types.TargetId,
  ): void {
    // A refusal must not promise what a send may have broken.
    const isPromise = refusal.status === 503 || refusal.status === 429;
    const truthful = isPromise && flight.mayHaveRun
      ? Reply.refuse("targetBroke", "unknown")
      : refusal;
    if (flight.account !== undefined && !flight.mayHaveRun) {
      deps.quota.giveBack(flight.account.name);
    }
    finish(flight, truthful, {
      route: flight.route.name,
      account: flight.account?.name,
      object: flight.fields.objectKey,
      config: flight.version,
      target,
      sends: flight.sends,
      reason,
    });
  }

  async function run(flight: Flight.Flight): Promise<void> {
    for (;;) {
      if (flight.signal.aborted) return endAborted(flight, undefined);
      const demand = sender.getDemand(flight);
      const choice = Choice.choose(sender.getPlaces(flight), demand);
      if (choice.kind === "refuse") {
        const code = choice.reason === "full" ? "queueFull" : "noTarget";
        const refusal = Reply.refuse(code, "not-run", choice.retryAfterMs);
        return end(flight, refusal, choice.reason);
      }
      const { place } = choice;
      const { id } = place.target.entry;
      if (choice.kind === "wait") {
        const { objectKey, signal } = flight;
        await deps.warmups.wait(objectKey, id, choice.maxMs, signal);
        continue;
      }
      const result = await sender.send(flight, place, demand);
      if (result.kind === "aborted") return endAborted(flight, id);
      if (result.kind === "answer") {
        const mayRepeat = result.answer.status >= 500 &&
          flight.route.isRepeatable && flight.sends < flight.route.maxTargets &&
          tryRetry(flight);
        if (!mayRepeat) return sendAnswer(flight, place, result);
        // A target's own failure counts as run.
        flight.mayHaveRun = true;
        continue;
      }
      if (maySendAgain(flight, result)) continue;
      if (result.kind === "broke") {
        const refusal = Reply.refuse("targetBroke", "unknown");
        return end(flight, refusal, result.reason, id);
      }
      const waitMs = Choice.getWaitMs(place, demand);
      const refusal = Reply.refuse(
        "shedByTarget",
        "not-run",
        Math.min(Math.max(waitMs, MIN_SHED_RETRY_MS), MAX_SHED_RETRY_MS),
      );
      return end(flight, refusal, result.kind, id);
    }
  }

  function endAborted(
    flight: Flight.Flight,
    id: Types.TargetId | undefined,
  ): void {
    if (flight.res.destroyed) {
      deps.log.write("caller-left", {
        id: flight.fields.requestId,
        target: id,
        ms: Math.round(clock.nowMs() - flight.startedAtMs),
      });
      return;
    }
    const refusal = flight.mayHaveRun
      ? Reply.refuse("deadlinePassed", "unknown")
      : Reply.refuse("queueFull", "not-run");
    end(flight, refusal, "time is over", id);
  }

  function makeFingerprint(
    req: Http.IncomingMessage,
    account: GatewayTypes.AccountSpec | undefined,
    fields: GatewayTypes.CallerFields,
    body: Buffer | undefined,
  ): string {
    const head =
      `${account?.name} ${req.method} ${req.url} ${fields.objectKey}`;
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
      const refusal = Reply.refuse("configUnknown", "not-run", 300);
      return finish(known, refusal, {});
    }
    const route = Routes.tryFindRoute(config, req.headers.host, req.url ?? "/");
    const more = { config: config.version };
    if (route === undefined) {
      const refusal = Reply.refuse("noSuchRoute", "not-run");
      return finish(known, refusal, { ...more, path: req.url });
    }
    const account = fields.key === undefined
      ? undefined
      : config.keys.get(fields.key);
    if (account === undefined && !route.isOpen) {
      const code = fields.key === undefined ? "keyMissing" : "keyUnknown";
      const refusal = Reply.refuse(code, "not-run");
      return finish(known, refusal, { ...more, route: route.name });
    }
    const read = await Body.readBody(req, config.limits.maxBodyBytes);
    if (read.kind === "broken") return;
    if (read.kind === "too-large") {
      const refusal = Reply.refuse("bodyTooLarge", "not-run");
      return finish(known, refusal, { ...more, route: route.name });
    }
    const fingerprint = makeFingerprint(req, account, fields, read.data);
    if (deps.poison.isBlocked(fingerprint)) {
      const refusal = { ...Reply.refuse("poisoned", "not-run"), status: 503 };
      return finish(known, refusal, { ...more, route: route.name });
    }
    if (account !== undefined) {
      const taken = deps.quota.take(account);
      if (taken !== "taken") {
        const refusal = Reply.refuse(
          "accountLimit",
          "not-run",
          taken.retryAfterMs,
        );
        const name = account.name;
        return finish(known, refusal, { ...more, account: name });
      }
    }
    const service = deps.splits.choose(route);
    deps.retries.countRequest(service);
    const waitMs = Math.min(
      route.timeoutMs,
      (fields.deadlineMs ?? Infinity) - WAY_BACK_MS,
    );
    const abort = new AbortController();
    const timer = setTimeout(
      () => abort.abort(),
      startedAtMs + waitMs - clock.nowMs(),
    );
    res.once("close", () => abort.abort());
    await run({
      req,
      res,
      fields,
      route,
      account,
      version: config.version,
      startedAtMs,
      endsAtMs: startedAtMs + waitMs,
      body: read.data,
      service,
      objectKey: fields.objectKey ??
        Placement.makeSpreadKey(fields.requestId ?? ""),
      fingerprint,
      signal: abort.signal,
      tried: new Set(),
      mayHaveRun: false,
      sends: 0,
    });
    clearTimeout(timer);
  };
}
