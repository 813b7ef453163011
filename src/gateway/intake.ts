/**
 * Takes in the requests of callers: finds the route, checks the key, reads the body,
 * checks the account's limit and passes the request to the forwarder.
 */
import type * as Http from "node:http";
import * as CallerEnd from "../caller_end.ts";
import * as Fingerprint from "../retry/fingerprint.ts";
import * as Body from "./body.ts";
import * as Cancellation from "./cancellation.ts";
import type * as Forwarder from "./forwarder.ts";
import type * as PendingRequest from "./pending_request.ts";
import * as Placement from "./placement.ts";
import * as Rejection from "./rejection.ts";
import type * as Responder from "./responder.ts";
import * as Routes from "./routes.ts";
import type * as GatewayTypes from "./types.ts";

/** Network latency of the response from this instance to the caller. */
const RESPONSE_LATENCY_MS = 15;
/**
 * Retry advice while this instance has no configuration. Another instance is likely
 * to have it, and one that just started receives it in about this time.
 */
const CONFIG_RETRY_MS = 300;
/** Retry advice while the memory for bodies is used up: large bodies arrive and are sent in about this time. */
const MEMORY_RETRY_MS = 500;
/** Retry advice of an instance that stops; other instances can take the request at once. */
const LEAVING_RETRY_MS = 50;

/** Takes in requests. */
export interface Intake {
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

/** A request whose body has been read. */
interface ReadRequest extends Responder.ReadRequest {
  readonly req: Http.IncomingMessage;
  readonly route: GatewayTypes.Route;
  readonly account: GatewayTypes.AccountSpec | undefined;
  /** Configuration under which it was admitted. */
  readonly config: GatewayTypes.RouteConfig;
  readonly cancellation: Cancellation.CancellationSource;
}

/** Creates the intake. */
export function createIntake(
  deps: PendingRequest.ForwarderDeps,
  forwarder: Forwarder.Forwarder,
  responder: Responder.Responder,
): Intake {
  const { clock, state } = deps;
  /** Requests that were accepted and have no response yet. */
  const running = new Set<Cancellation.CancellationSource>();
  let plannedStop: PlannedStop | undefined;

  /** Acquires a token of the account's limit; rejects the request and returns false if there is none. */
  async function tryAdmit(
    request: Responder.ReadRequest,
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
    responder.reject(request, rejection, details);
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
      return responder.reject(request, rejection, {});
    }
    const route = Routes.tryFindRoute(config, req.headers.host, req.url ?? "/");
    const details = { config: config.version };
    if (route === undefined) {
      const rejection = Rejection.createRejection("noSuchRoute", "not-run");
      return responder.reject(request, rejection, {
        ...details,
        path: req.url,
      });
    }
    const account = callerFields.key === undefined
      ? undefined
      : config.keys.get(callerFields.key);
    if (account === undefined && !route.isKeyOptional) {
      const code = callerFields.key === undefined ? "keyMissing" : "keyUnknown";
      const rejection = Rejection.createRejection(code, "not-run");
      return responder.reject(request, rejection, {
        ...details,
        route: route.name,
      });
    }
    const cancellation = Cancellation.createCancellation();
    CallerEnd.onCallerEnd(req, res, () => cancellation.cancel("caller-left"));
    const bodyResult = await Body.readBody(
      req,
      config.limits.maxBodyBytes,
      deps.bodyMemory,
    );
    if (bodyResult.kind === "disconnected") return;
    const read: ReadRequest = {
      ...request,
      req,
      route,
      account,
      config,
      cancellation,
    };
    if (bodyResult.kind !== "complete") {
      return rejectBody(read, bodyResult.kind);
    }
    try {
      await serve(read, bodyResult.data);
    } finally {
      bodyResult.release();
    }
  }

  function rejectBody(
    request: ReadRequest,
    reason: "too-large" | "no-memory",
  ): void {
    const rejection = reason === "too-large"
      ? Rejection.createRejection("bodyTooLarge", "not-run")
      : Rejection.createRejection("memoryFull", "not-run", MEMORY_RETRY_MS);
    responder.reject(request, rejection, {
      config: request.config.version,
      route: request.route.name,
    });
  }

  /** Checks a request whose body is read, and passes it to the forwarder. */
  async function serve(
    request: ReadRequest,
    body: Buffer | undefined,
  ): Promise<void> {
    const { account, callerFields, cancellation, config, req, res, route } =
      request;
    const { startedAtMs } = request;
    const details = { config: config.version };
    await deps.readBarrier.wait();
    if (cancellation.isCancelled()) return responder.logDisconnect(request, 0);
    const fingerprint = Fingerprint.createFingerprint(
      [account?.name, req.method, req.url, callerFields.affinityKey],
      body,
    );
    if (deps.poison.isBlocked(fingerprint)) {
      const rejection = {
        ...Rejection.createRejection("poisoned", "not-run"),
        status: 503,
      };
      return responder.reject(request, rejection, {
        ...details,
        route: route.name,
      });
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
      return responder.reject(request, rejection, {
        ...details,
        route: route.name,
      });
    }
    const timer = setTimeout(
      () => cancellation.cancel("deadline"),
      deadlineAtMs - clock.nowMs(),
    );
    const isStranded = deps.reach.isStranded();
    if (isStranded && callerFields.isRelayed) {
      clearTimeout(timer);
      const rejection = Rejection.createRejection("noTarget", "not-run");
      return responder.reject(request, rejection, details);
    }
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
      body,
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
    try {
      if (isStranded) await forwarder.relay(pending);
      else await forwarder.forward(pending);
    } finally {
      running.delete(cancellation);
      clearTimeout(timer);
    }
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
