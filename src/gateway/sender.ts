/** Sends a request to one of its object's places, and settles the accounts of the target. */
import type * as Attempt from "./attempt.ts";
import * as Candidates from "./candidates.ts";
import * as Choice from "./choice.ts";
import * as Flight from "./flight.ts";

/** An answer this close to the deadline is no answer any more, ms. */
const MIN_SEND_MS = 20;

/** The places of a request, and sends to them. */
export interface Sender {
  /** The places that were not tried yet, best first. */
  getPlaces(flight: Flight.Flight): readonly Choice.Place[];
  /** What is known of the request, for the choice of a place. */
  getDemand(flight: Flight.Flight): Choice.Demand;
  send(
    flight: Flight.Flight,
    place: Choice.Place,
    demand: Choice.Demand,
  ): Promise<Attempt.AttemptResult>;
}

/** Creates the sender. */
export function createSender(deps: Flight.ForwarderDeps): Sender {
  const { clock, state } = deps;

  function getPlaces(flight: Flight.Flight): readonly Choice.Place[] {
    const { route } = flight;
    const allowed = Candidates.getAllowed(
      state,
      flight.service,
      route,
      flight.account,
    );
    const ranked = deps.placement.rank(
      allowed.scope,
      flight.objectKey,
      state.getMembershipEpoch(),
      allowed.targets,
    );
    const now = clock.nowMs();
    const coldRate = deps.getColdRate(flight.service);
    const places: Choice.Place[] = [];
    ranked.forEach((target, rank) => {
      const { id } = target.entry;
      if (flight.tried.has(id)) return;
      const isCold = target.coldUntilMs > now;
      places.push({
        target,
        rank,
        isPaused: deps.loads.isPaused(id),
        isColdFull: isCold && !deps.coldStarts.mayStart(id, coldRate),
        busy: deps.loads.getBusy(id),
        shedShare: deps.loads.getShedShare(id),
        roundTripMs: deps.timings.getRoundTripMs(target.region),
        isWarm: deps.warmth.isWarm(flight.objectKey, id),
        warmingMs: deps.warmups.tryGetRemainingMs(flight.objectKey, id),
      });
    });
    return places;
  }

  function getDemand(flight: Flight.Flight): Choice.Demand {
    const { endsAtMs, route, startedAtMs } = flight;
    const now = clock.nowMs();
    const { name, targetLatencyMs } = route;
    const guessMs = targetLatencyMs / 3;
    return {
      inTimeMs: startedAtMs + targetLatencyMs - now,
      deadlineMs: endsAtMs - now - MIN_SEND_MS,
      targetLatencyMs,
      priority: Flight.getPriority(flight),
      warmMs: deps.timings.getServiceMs(name, true, guessMs),
      // What was never measured is no reason to refuse.
      firstRunMs: deps.timings.getServiceMs(name, false, guessMs),
    };
  }

  /** Sends to one place and settles the accounts of its target. */
  async function send(
    flight: Flight.Flight,
    place: Choice.Place,
  ): Promise<Attempt.AttemptResult> {
    const { target } = place;
    const { id } = target.entry;
    const sentAtMs = clock.nowMs();
    const leftMs = flight.endsAtMs - sentAtMs - place.roundTripMs / 2;
    flight.tried.add(id);
    deps.loads.start(id);
    if (target.coldUntilMs > sentAtMs) deps.coldStarts.noteStart(id);
    const result = await deps.attempts.make({
      address: target.entry.address,
      region: target.region,
      request: {
        method: flight.req.method ?? "GET",
        path: flight.req.url ?? "/",
        headers: deps.dialect.formatForTarget(flight.req.rawHeaders, {
          targetId: id,
          account: flight.account?.name,
          deadlineMs: Math.max(1, Math.floor(leftMs)),
        }),
        body: flight.body,
      },
      requestId: flight.fields.requestId,
      isRepeatable: flight.route.isRepeatable,
      roundTripMs: place.roundTripMs,
      signal: flight.signal,
    });
    settle(flight, place, sentAtMs, result);
    return result;
  }

  function settle(
    flight: Flight.Flight,
    place: Choice.Place,
    sentAtMs: number,
    result: Attempt.AttemptResult,
  ): void {
    const { id } = place.target.entry;
    switch (result.kind) {
      case "answer": {
        // Measured anew: before the first connection the way was a guess.
        const wayMs = deps.timings.getRoundTripMs(place.target.region);
        const ms = Math.max(1, clock.nowMs() - sentAtMs - wayMs);
        const isFailure = result.answer.status >= 500;
        deps.loads.end(id, "answered");
        if (result.fields.load !== undefined) {
          deps.loads.noteReport(id, result.fields.load);
        }
        if (!isFailure) {
          const isWarm = deps.warmth.isWarm(flight.objectKey, id);
          // Time in a queue is no time at work.
          const hadSlot = place.busy < place.target.entry.slots;
          if (hadSlot) deps.timings.noteAnswer(flight.route.name, isWarm, ms);
          deps.warmth.note(flight.objectKey, id);
          deps.poison.reportAnswered(flight.fingerprint);
        }
        return;
      }
      case "not-run":
        deps.loads.end(id, result.isOtherTarget ? "unreachable" : "shed");
        if (result.fields.load !== undefined) {
          deps.loads.noteReport(id, result.fields.load);
        }
        return;
      case "unreachable":
        return deps.loads.end(id, "unreachable");
      case "broke":
        flight.mayHaveRun = true;
        deps.loads.end(id, "broke");
        if (result.wasReset) {
          deps.poison.reportBreak(flight.fingerprint, id, sentAtMs);
        }
        return;
      case "aborted": {
        if (result.isSent) flight.mayHaveRun = true;
        const isLate = clock.nowMs() >= flight.endsAtMs - 1;
        return deps.loads.end(id, isLate ? "broke" : "cancelled");
      }
    }
  }

  return {
    getPlaces,
    getDemand,
    async send(flight, place, demand) {
      const { id } = place.target.entry;
      const expectedMs = Choice.getExpectedMs(place, demand);
      const endWarmup = place.isWarm
        ? undefined
        : deps.warmups.start(flight.objectKey, id, expectedMs);
      const result = await send(flight, place);
      endWarmup?.();
      if (result.kind !== "unreachable") flight.sends++;
      return result;
    },
  };
}
