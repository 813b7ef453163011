/**
 * Lists the candidate targets of a pending request, sends the request to one of
 * them, and records the outcome for the target.
 */
import * as Clock from "../clock.ts";
import type * as Attempt from "./attempt.ts";
import * as EligibleTargets from "./eligible_targets.ts";
import * as Choice from "./choice.ts";
import * as PendingRequest from "./pending_request.ts";
import * as Rejection from "./rejection.ts";
import type * as GatewayTypes from "./types.ts";

/**
 * A response that arrives at this instance less than this before the deadline
 * would reach the caller after the deadline, ms.
 */
const DEADLINE_MARGIN_MS = 20;

/**
 * Time in which the ends of all connections of a process arrive, ms. They are sent
 * together, so that only delayed packets take longer than the first.
 */
const CLOSE_WAIT_MS = 100;
const CLOSE_POLL_MS = 20;

/** Sends requests to their candidates. */
export interface Sender {
  /** Candidates of the request that were not tried yet, ordered by rank. */
  getCandidates(
    pending: PendingRequest.RequestFacts,
  ): readonly Choice.Candidate[];
  /** The rejection of a request for which no candidate was chosen. */
  createRejection(
    choice: Extract<Choice.Choice, { readonly kind: "reject" }>,
    candidates: readonly Choice.Candidate[],
  ): Rejection.Rejection;
  /** Properties of the request that the choice of a candidate depends on. */
  getProfile(pending: PendingRequest.RequestFacts): Choice.RequestProfile;
  /** Sends the request to the candidate; resolves when the exchange has ended. */
  send(
    pending: PendingRequest.PendingRequest,
    candidate: Choice.Candidate,
    profile: Choice.RequestProfile,
  ): Promise<Attempt.AttemptResult>;
}

/** Names a process of a target: a target that ended may start again under its id. */
function formatProcess({ id, startedAtMs }: GatewayTypes.TargetEntry): string {
  return `${id}/${startedAtMs}`;
}

/** Creates the sender. */
export function createSender(deps: PendingRequest.ForwarderDeps): Sender {
  const { clock, state } = deps;

  function getCandidates(
    pending: PendingRequest.RequestFacts,
  ): readonly Choice.Candidate[] {
    const { route } = pending;
    const eligible = EligibleTargets.getEligibleTargets(
      state,
      pending.service,
      route,
      pending.account,
    );
    const ranked = deps.placement.rank(
      eligible.scope,
      pending.affinityKey,
      state.getMembershipEpoch(),
      eligible.targets,
    );
    const nowMs = clock.nowMs();
    const coldRate = deps.getColdRatePerS(pending.service);
    const candidates: Choice.Candidate[] = [];
    ranked.forEach((target, rank) => {
      const { id } = target.entry;
      if (pending.triedTargets.has(id)) return;
      const statement = deps.statements.tryGet(target.entry);
      if (statement?.kind === "leaving") return;
      const isCold = target.coldUntilMs > nowMs;
      candidates.push({
        target,
        rank,
        isPaused: statement !== undefined || deps.loads.isPaused(id),
        isCold,
        isRateLimitReached: !deps.targetLimits.canSend(id) ||
          isCold && !deps.coldStarts.canSend(id, coldRate),
        isExcluded: rank === 0
          ? !deps.workingSets.has(pending.affinityKey, id)
          : deps.workingSets.isLimited(id),
        outstanding: deps.loads.getOutstanding(id),
        shedShare: deps.loads.getShedShare(id),
        roundTripMs: deps.timings.getRoundTripMs(target.region),
        cacheHitChance: deps.cacheState.isCached(pending.affinityKey, id)
          ? 1
          : deps.cacheState.getHitChance(rank),
        warmupRemainingMs: deps.warmups.tryGetRemainingMs(
          pending.affinityKey,
          id,
        ),
      });
    });
    return candidates;
  }

  function getProfile(
    pending: PendingRequest.RequestFacts,
  ): Choice.RequestProfile {
    const { deadlineAtMs, route } = pending;
    const nowMs = clock.nowMs();
    const { name, targetLatencyMs } = route;
    const fallbackMs = targetLatencyMs / 3;
    return {
      deadlineMs: deadlineAtMs - nowMs - DEADLINE_MARGIN_MS,
      targetLatencyMs,
      priority: PendingRequest.getPriority(pending),
      cacheHitMs: deps.timings.getServiceMs(name, true, fallbackMs),
      // Has the fallback of a cache hit, so that an unmeasured miss causes no rejection.
      cacheMissMs: deps.timings.getServiceMs(name, false, fallbackMs),
      missCostMs: deps.timings.getMissCostMs(name, fallbackMs),
    };
  }

  /** Sends the request to the candidate and records the outcome at its target. */
  async function sendAndRecord(
    pending: PendingRequest.PendingRequest,
    candidate: Choice.Candidate,
  ): Promise<Attempt.AttemptResult> {
    const { target } = candidate;
    const { id } = target.entry;
    const sentAtMs = clock.nowMs();
    const remainingMs = pending.deadlineAtMs - sentAtMs -
      candidate.roundTripMs / 2;
    pending.triedTargets.add(id);
    deps.loads.start(id);
    deps.targetLimits.recordSend(id);
    if (target.coldUntilMs > sentAtMs) deps.coldStarts.recordSend(id);
    const result = await deps.attempts.send({
      targetId: id,
      address: target.entry.address,
      region: target.region,
      request: {
        method: pending.req.method ?? "GET",
        path: pending.req.url ?? "/",
        headers: deps.dialect.formatForTarget(pending.req.rawHeaders, {
          targetId: id,
          account: pending.account?.name,
          deadlineMs: Math.max(1, Math.floor(remainingMs)),
        }),
        body: pending.body,
      },
      requestId: pending.callerFields.requestId,
      isRepeatable: pending.route.isRepeatable,
      roundTripMs: candidate.roundTripMs,
      cancellation: pending.cancellation,
    });
    recordResult(pending, candidate, sentAtMs, result);
    return result;
  }

  /** Records what the target reports about itself. A rejection need not repeat its rate limit. */
  function recordFields(
    pending: PendingRequest.PendingRequest,
    entry: GatewayTypes.TargetEntry,
    fields: GatewayTypes.ResponseFields,
  ): void {
    const { isNotRun, load, rateLimitPerS } = fields;
    const { id } = entry;
    deps.statements.recordResponse(entry, fields);
    if (load !== undefined) {
      deps.loads.recordReport(id, load);
      deps.loadExchange.recordReport(id, load);
      const profile = getProfile(pending);
      deps.overload.recordReport(pending.service, id, load, profile);
    }
    if (isNotRun && rateLimitPerS === undefined) return;
    deps.targetLimits.recordResponse(id, rateLimitPerS);
  }

  /** Reports the loss of a connection, unless the target's other connections show that its process goes on. */
  async function reportLoss(
    fingerprint: string,
    targetProcess: string,
    sentAtMs: number,
    { hasOtherOpen }: Attempt.ConnectionLoss,
  ): Promise<void> {
    const untilMs = clock.nowMs() + CLOSE_WAIT_MS;
    while (hasOtherOpen() && clock.nowMs() < untilMs) {
      await Clock.sleep(CLOSE_POLL_MS);
    }
    if (hasOtherOpen()) return deps.metrics.count("connection-losses-survived");
    deps.poison.reportConnectionLoss(fingerprint, targetProcess, sentAtMs);
  }

  function recordResult(
    pending: PendingRequest.PendingRequest,
    candidate: Choice.Candidate,
    sentAtMs: number,
    result: Attempt.AttemptResult,
  ): void {
    const { id } = candidate.target.entry;
    switch (result.kind) {
      case "response": {
        // Read after the exchange: before the first connection the round trip was an assumed value.
        const roundTripMs = deps.timings.getRoundTripMs(
          candidate.target.region,
        );
        const serviceMs = Math.max(1, clock.nowMs() - sentAtMs - roundTripMs);
        const isFailure = result.response.status >= 500;
        deps.loads.end(id, "answered");
        recordFields(pending, candidate.target.entry, result.fields);
        if (!isFailure) {
          // A target that is overloaded with affinity keys evicts them early, so an
          // earlier response proves nothing there.
          const isCached = deps.cacheState.isCached(pending.affinityKey, id) &&
            !deps.workingSets.isLimited(id);
          // With all slots in use, the time would include a wait in the target's queue.
          if (candidate.outstanding < candidate.target.entry.slots) {
            const wasHit = deps.timings.recordResponse(
              pending.route.name,
              isCached,
              serviceMs,
            );
            if (!isCached && wasHit !== undefined) {
              deps.cacheState.recordOutcome(candidate.rank, wasHit);
            }
          }
          deps.cacheState.recordCached(pending.affinityKey, id);
          deps.poison.reportResponse(pending.fingerprint);
        }
        return;
      }
      case "not-run":
        deps.loads.end(id, result.isMisdirected ? "unreachable" : "shed");
        if (!result.isMisdirected) {
          recordFields(pending, candidate.target.entry, result.fields);
        }
        return;
      case "unreachable":
        return deps.loads.end(id, "unreachable");
      case "broke":
        pending.mayHaveRun = true;
        deps.loads.end(id, "broke");
        if (result.connectionLoss !== undefined) {
          void reportLoss(
            pending.fingerprint,
            formatProcess(candidate.target.entry),
            sentAtMs,
            result.connectionLoss,
          );
        }
        return;
      case "aborted": {
        if (result.isSent) pending.mayHaveRun = true;
        const isDeadlinePassed = clock.nowMs() >= pending.deadlineAtMs - 1;
        return deps.loads.end(id, isDeadlinePassed ? "broke" : "cancelled");
      }
    }
  }

  /** Time until the first candidate that wants nothing for a while takes requests again, ms; undefined if there is none. */
  function tryGetRefusalMs(
    candidates: readonly Choice.Candidate[],
  ): number | undefined {
    const untilMs = candidates.flatMap(({ target }) => {
      const statement = deps.statements.tryGet(target.entry);
      return statement?.kind === "wants-nothing" ? [statement.untilMs] : [];
    });
    if (untilMs.length === 0) return undefined;
    return Math.max(0, Math.min(...untilMs) - clock.nowMs());
  }

  return {
    getCandidates,
    createRejection(choice, candidates) {
      const isFull = choice.reason === "full";
      const refusalMs = isFull ? undefined : tryGetRefusalMs(candidates);
      return Rejection.createRejection(
        isFull ? "queueFull" : "noTarget",
        "not-run",
        refusalMs ?? choice.retryAfterMs,
      );
    },
    getProfile,
    async send(pending, candidate, profile) {
      const { id } = candidate.target.entry;
      const expectedMs = Choice.getExpectedResponseMs(candidate, profile);
      const endWarmup = Choice.isLikelyCached(candidate)
        ? undefined
        : deps.warmups.start(pending.affinityKey, id, expectedMs);
      try {
        const result = await sendAndRecord(pending, candidate);
        if (result.kind !== "unreachable") pending.sendCount++;
        return result;
      } finally {
        endWarmup?.();
      }
    },
  };
}
