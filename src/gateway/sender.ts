/** Sends a request to one of its object's places, and settles the accounts of the target. */
import type * as Attempt from "./attempt.ts";
import * as EligibleTargets from "./eligible_targets.ts";
import * as Choice from "./choice.ts";
import * as PendingRequest from "./pending_request.ts";

/** An answer this close to the deadline is no answer any more, ms. */
const MIN_SEND_MS = 20;

/** The places of a request, and sends to them. */
export interface Sender {
  /** The places that were not tried yet, best first. */
  getCandidates(
    pending: PendingRequest.PendingRequest,
  ): readonly Choice.Candidate[];
  /** What is known of the request, for the choice of a place. */
  getProfile(pending: PendingRequest.PendingRequest): Choice.RequestProfile;
  send(
    pending: PendingRequest.PendingRequest,
    place: Choice.Candidate,
    demand: Choice.RequestProfile,
  ): Promise<Attempt.AttemptResult>;
}

/** Creates the sender. */
export function createSender(deps: PendingRequest.ForwarderDeps): Sender {
  const { clock, state } = deps;

  function getPlaces(
    pending: PendingRequest.PendingRequest,
  ): readonly Choice.Candidate[] {
    const { route } = pending;
    const allowed = EligibleTargets.getEligibleTargets(
      state,
      pending.service,
      route,
      pending.account,
    );
    const ranked = deps.placement.rank(
      allowed.scope,
      pending.affinityKey,
      state.getMembershipEpoch(),
      allowed.targets,
    );
    const now = clock.nowMs();
    const coldRate = deps.getColdRatePerS(pending.service);
    const places: Choice.Candidate[] = [];
    ranked.forEach((target, rank) => {
      const { id } = target.entry;
      if (pending.triedTargets.has(id)) return;
      const isCold = target.coldUntilMs > now;
      places.push({
        target,
        rank,
        isPaused: deps.loads.isPaused(id),
        isCold,
        isColdLimitReached: isCold && !deps.coldStarts.canStart(id, coldRate),
        isExcluded: rank === 0
          ? !deps.workingSets.has(pending.affinityKey, id)
          : deps.workingSets.isLimited(id),
        outstanding: deps.loads.getOutstanding(id),
        shedShare: deps.loads.getShedShare(id),
        roundTripMs: deps.timings.getRoundTripMs(target.region),
        cacheHitChance: deps.cacheState.isWarm(pending.affinityKey, id)
          ? 1
          : deps.cacheState.getHitChance(rank),
        warmupRemainingMs: deps.warmups.tryGetRemainingMs(
          pending.affinityKey,
          id,
        ),
      });
    });
    return places;
  }

  function getDemand(
    pending: PendingRequest.PendingRequest,
  ): Choice.RequestProfile {
    const { deadlineAtMs: endsAtMs, route, startedAtMs } = pending;
    const now = clock.nowMs();
    const { name, targetLatencyMs } = route;
    const guessMs = targetLatencyMs / 3;
    return {
      remainingTargetLatencyMs: startedAtMs + targetLatencyMs - now,
      deadlineMs: endsAtMs - now - MIN_SEND_MS,
      targetLatencyMs,
      priority: PendingRequest.getPriority(pending),
      cacheHitMs: deps.timings.getServiceMs(name, true, guessMs),
      // What was never measured is no reason to refuse.
      cacheMissMs: deps.timings.getServiceMs(name, false, guessMs),
      missCostMs: deps.timings.getMissCostMs(name, guessMs),
    };
  }

  /** Sends to one place and settles the accounts of its target. */
  async function send(
    pending: PendingRequest.PendingRequest,
    place: Choice.Candidate,
  ): Promise<Attempt.AttemptResult> {
    const { target } = place;
    const { id } = target.entry;
    const sentAtMs = clock.nowMs();
    const leftMs = pending.deadlineAtMs - sentAtMs - place.roundTripMs / 2;
    pending.triedTargets.add(id);
    deps.loads.start(id);
    if (target.coldUntilMs > sentAtMs) deps.coldStarts.recordStart(id);
    const result = await deps.attempts.send({
      address: target.entry.address,
      region: target.region,
      request: {
        method: pending.req.method ?? "GET",
        path: pending.req.url ?? "/",
        headers: deps.dialect.formatForTarget(pending.req.rawHeaders, {
          targetId: id,
          account: pending.account?.name,
          deadlineMs: Math.max(1, Math.floor(leftMs)),
        }),
        body: pending.body,
      },
      requestId: pending.callerFields.requestId,
      isRepeatable: pending.route.isRepeatable,
      roundTripMs: place.roundTripMs,
      cancellation: pending.cancellation,
    });
    settle(pending, place, sentAtMs, result);
    return result;
  }

  function settle(
    pending: PendingRequest.PendingRequest,
    place: Choice.Candidate,
    sentAtMs: number,
    result: Attempt.AttemptResult,
  ): void {
    const { id } = place.target.entry;
    switch (result.kind) {
      case "answer": {
        // Measured anew: before the first connection the way was a guess.
        const wayMs = deps.timings.getRoundTripMs(place.target.region);
        const ms = Math.max(1, clock.nowMs() - sentAtMs - wayMs);
        const isFailure = result.response.status >= 500;
        deps.loads.end(id, "answered");
        if (result.fields.load !== undefined) {
          deps.loads.recordReport(id, result.fields.load);
        }
        if (!isFailure) {
          // A target that is asked for too many objects forgets them early.
          const isWarm = deps.cacheState.isWarm(pending.affinityKey, id) &&
            !deps.workingSets.isLimited(id);
          // Time in a queue is no time at work.
          if (place.outstanding < place.target.entry.slots) {
            const wasFast = deps.timings.recordResponse(
              pending.route.name,
              isWarm,
              ms,
            );
            if (!isWarm && wasFast !== undefined) {
              deps.cacheState.recordOutcome(place.rank, wasFast);
            }
          }
          deps.cacheState.record(pending.affinityKey, id);
          deps.poison.reportResponse(pending.fingerprint);
        }
        return;
      }
      case "not-run":
        deps.loads.end(id, result.isMisdirected ? "unreachable" : "shed");
        if (result.fields.load !== undefined) {
          deps.loads.recordReport(id, result.fields.load);
        }
        return;
      case "unreachable":
        return deps.loads.end(id, "unreachable");
      case "broke":
        pending.mayHaveRun = true;
        deps.loads.end(id, "broke");
        if (result.isConnectionLost) {
          deps.poison.reportConnectionLoss(pending.fingerprint, id, sentAtMs);
        }
        return;
      case "aborted": {
        if (result.isSent) pending.mayHaveRun = true;
        const isLate = clock.nowMs() >= pending.deadlineAtMs - 1;
        return deps.loads.end(id, isLate ? "broke" : "cancelled");
      }
    }
  }

  return {
    getCandidates: getPlaces,
    getProfile: getDemand,
    async send(pending, place, demand) {
      const { id } = place.target.entry;
      const expectedMs = Choice.getExpectedMs(place, demand);
      const endWarmup = Choice.isLikelyWarm(place)
        ? undefined
        : deps.warmups.start(pending.affinityKey, id, expectedMs);
      const result = await send(pending, place);
      endWarmup?.();
      if (result.kind !== "unreachable") pending.sendCount++;
      return result;
    },
  };
}
