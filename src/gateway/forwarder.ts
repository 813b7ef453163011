/**
 * Forwards requests: chooses a target, sends the request and returns the response,
 * or passes it on to another instance. A request that must not run twice is sent
 * again only after the target reported that it did not run it. A rejection reports
 * "not run" only if that holds for every send.
 */
import * as Debug from "../debug.ts";
import type * as Types from "../types.ts";
import type * as Attempt from "./attempt.ts";
import * as Choice from "./choice.ts";
import * as EligibleTargets from "./eligible_targets.ts";
import type * as Overload from "./overload.ts";
import * as PendingRequest from "./pending_request.ts";
import * as Rejection from "./rejection.ts";
import type * as Responder from "./responder.ts";
import * as Sender from "./sender.ts";

/** Connection attempts to this many targets may fail; they put no load on targets, but each uses up time before the deadline. */
const MAX_UNREACHABLE_TARGETS = 4;
/** The caller of a request that was shed is advised to retry after the estimated wait in the target's queue, within these bounds. */
const MIN_SHED_RETRY_MS = 20;
const MAX_SHED_RETRY_MS = 500;
/** Share of the budget of second sends that is reserved for each priority above that of the request. */
const RETRY_SHARE_STEP = 0.25;
/** Share of the budget that requests of every priority may use. */
const MIN_RETRY_SHARE = 0.3;

/** Retry advice while no instance that can be reached reaches targets; a partition lasts for seconds. */
const NO_INSTANCE_RETRY_MS = 300;

/** For the primary target, a rejection under overload is one for lack of room. */
const OVERLOAD_CHOICE: Choice.Choice = {
  kind: "reject",
  reason: "full",
  retryAfterMs: 0,
};

/** Forwards requests that were taken in. */
export interface Forwarder {
  /** Sends an admitted request to targets until a response or a rejection goes to the caller. */
  forward(pending: PendingRequest.PendingRequest): Promise<void>;
  /** Passes the request on to another instance, which counts it for its account. */
  relay(pending: PendingRequest.PendingRequest): Promise<void>;
}

/** Creates the forwarder. */
export function createForwarder(
  deps: PendingRequest.ForwarderDeps,
  responder: Responder.Responder,
): Forwarder {
  const sender = Sender.createSender(deps);

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
    // Another target would be as full, and its first run of the key adds load.
    const isWithheld = result.kind === "not-run" && !result.isMisdirected &&
      deps.overload.isOverloaded(pending.service);
    if (isWithheld) {
      deps.metrics.count("overload.second-sends-withheld");
      return false;
    }
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
    responder.reject(pending, accurateRejection, {
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

  /** Asks for admission at the first choice only: a request that a target failed has been admitted. */
  function decideOverload(
    pending: PendingRequest.PendingRequest,
    candidates: readonly Choice.Candidate[],
    profile: Choice.RequestProfile,
  ): Overload.Decision {
    if (pending.triedTargets.size > 0) return { kind: "admit", candidates };
    const request = PendingRequest.getOverloadRequest(deps, pending);
    return deps.overload.decide(request, candidates, profile);
  }

  function getRetryAfterMs(
    pending: PendingRequest.PendingRequest,
    advisedMs: number,
  ): number {
    const request = PendingRequest.getOverloadRequest(deps, pending);
    return deps.overload.getRetryAfterMs(request, advisedMs);
  }

  /** True if another instance may serve the request, as this one reaches no target, or can't open the connection that it needs. */
  function isRelayUseful({ callerFields }: PendingRequest.PendingRequest) {
    if (callerFields.isRelayed) return false;
    return deps.reach.isStranded() || deps.reach.isLimited();
  }

  /** Passes the request on to another instance, which counts it for its account. */
  async function relay(pending: PendingRequest.PendingRequest): Promise<void> {
    const { account, body, req, route } = pending;
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
      case "response":
        return responder.sendRelayed(pending, result);
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
    deps.retryBudget.recordRequest(pending.service);
    let hasWaited = false;
    for (;;) {
      if (pending.cancellation.isCancelled()) {
        return endCancelled(pending, undefined);
      }
      const canRelay = isRelayUseful(pending);
      if (canRelay && deps.reach.isStranded()) return relayAdmitted(pending);
      const profile = sender.getProfile(pending);
      const allCandidates = sender.getCandidates(pending);
      const decision: Overload.Decision = hasWaited
        ? { kind: "admit", candidates: allCandidates }
        : decideOverload(pending, allCandidates, profile);
      if (decision.kind === "reject") {
        recordAdmission(allCandidates[0], OVERLOAD_CHOICE);
        deps.metrics.count("overload.refused");
        const rejection = Rejection.createRejection(
          "queueFull",
          "not-run",
          decision.retryAfterMs,
        );
        return rejectPending(pending, rejection, "overload");
      }
      const { candidates } = decision;
      const choice = Choice.chooseCandidate(candidates, profile);
      if (pending.sendCount === 0) recordAdmission(allCandidates[0], choice);
      if (choice.kind === "reject") {
        if (canRelay && choice.reason === "no-target") {
          return relayAdmitted(pending);
        }
        const rejection = sender.createRejection(choice, candidates);
        if (choice.reason === "full") {
          const retryAfterMs = getRetryAfterMs(pending, choice.retryAfterMs);
          const delayed = { ...rejection, retryAfterMs };
          return rejectPending(pending, delayed, choice.reason);
        }
        return rejectPending(pending, rejection, choice.reason);
      }
      const { candidate } = choice;
      const { id } = candidate.target.entry;
      if (choice.kind === "wait") {
        const { affinityKey, cancellation } = pending;
        await deps.warmups.wait(affinityKey, id, choice.maxMs, cancellation);
        hasWaited = true;
        continue;
      }
      const result = await sender.send(pending, candidate, profile);
      if (result.kind === "aborted") return endCancelled(pending, id);
      if (result.kind === "response") {
        const isResent = result.response.status >= 500 &&
          pending.route.isRepeatable &&
          pending.sendCount < pending.route.maxTargets &&
          tryAcquireRetry(pending);
        if (!isResent) {
          return responder.sendResponse(pending, candidate, result);
        }
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
        getRetryAfterMs(
          pending,
          Math.min(Math.max(waitMs, MIN_SHED_RETRY_MS), MAX_SHED_RETRY_MS),
        ),
      );
      return rejectPending(pending, rejection, result.kind, id);
    }
  }

  /** Ends a request whose caller disconnected or whose deadline expired. */
  function endCancelled(
    pending: PendingRequest.PendingRequest,
    targetId: Types.TargetId | undefined,
  ): void {
    if (pending.cancellation.getReason() === "caller-left") {
      refund(pending);
      return responder.logDisconnect(pending, pending.sendCount, targetId);
    }
    const rejection = pending.mayHaveRun
      ? Rejection.createRejection("deadlinePassed", "unknown")
      : Rejection.createRejection("queueFull", "not-run");
    rejectPending(pending, rejection, "time is over", targetId);
  }

  return { forward, relay };
}
