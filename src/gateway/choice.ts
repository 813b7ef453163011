/**
 * Which of an object's places gets a request, or whether it is refused. Load
 * pattern: a target is full, slow, cold or turns requests away while the object's
 * other places are free, some of which have served it before.
 *
 * The place with the shortest expected time is used. A target that has not served
 * the object lately is expected to take about three times as long, so an object
 * leaves its place only for a queue that is longer than that; once it has a second
 * warm place, both share its requests by their queues. What nobody can answer
 * before its deadline is refused at once.
 */
import type * as StateModule from "./state.ts";

/** One place of an object, as this instance sees it. */
export interface Place {
  readonly target: StateModule.KnownTarget;
  /** 0 is the object's own place. */
  readonly rank: number;
  /** Left alone after failures. */
  readonly isPaused: boolean;
  /** Cold, and this instance has sent its part already. */
  readonly isColdFull: boolean;
  /** Requests that run or wait there, as far as known. */
  readonly busy: number;
  /** Share of recent requests that it turned away. */
  readonly shedShare: number;
  readonly roundTripMs: number;
  /** Expected time there once the request runs. */
  readonly serviceMs: number;
}

/** What a request has left. */
export interface TimeLeft {
  /** Until the answer is worth less. */
  readonly inTimeMs: number;
  /** Until it is worth nothing. */
  readonly deadlineMs: number;
}

/** What to do with a request. */
export type Choice =
  | { readonly kind: "send"; readonly place: Place }
  | {
    readonly kind: "refuse";
    readonly reason: "no-target" | "full";
    /** After this time there may be room. */
    readonly retryAfterMs: number;
  };

/** Targets keep about three times their slots waiting and turn the rest away. */
const QUEUE_PER_SLOT = 3;
/** Places that turn away more than this share are asked only when no other is in time. */
const SHED_LIMIT = 0.3;
/** Keeps objects at few targets, whose memory of objects is bounded. */
const RANK_COST_MS = 25;
/** Advice when nothing at all can be used. */
const NO_TARGET_RETRY_MS = 300;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 800;

/** Time until an answer from the place, as far as known. */
export function getExpectedMs(place: Place): number {
  const { slots } = place.target.entry;
  const ahead = Math.max(0, place.busy + 1 - slots);
  const waitMs = ahead * place.serviceMs / slots;
  return place.roundTripMs + waitMs + place.serviceMs;
}

/** Expected time, and what a place further down the rank costs others. */
function getCostMs(place: Place): number {
  return getExpectedMs(place) + place.rank * RANK_COST_MS;
}

function isFull(place: Place): boolean {
  const { slots } = place.target.entry;
  return place.busy >= slots * (1 + QUEUE_PER_SLOT);
}

/** Chooses among an object's places, best ranked first. */
export function choose(places: readonly Place[], left: TimeLeft): Choice {
  const reachable = places.filter((one) => !one.isPaused);
  const open = reachable.filter((one) => !one.isColdFull && !isFull(one));
  if (open.length === 0) {
    const reason = reachable.length === 0 ? "no-target" : "full";
    return { kind: "refuse", reason, retryAfterMs: NO_TARGET_RETRY_MS };
  }
  const sound = open.filter((one) => one.shedShare < SHED_LIMIT);
  const inTime = (sound.length > 0 ? sound : open)
    .filter((one) => getExpectedMs(one) <= left.inTimeMs);
  const pool = inTime.length > 0 ? inTime : open;
  const quickest = pool.reduce((a, b) => getCostMs(b) < getCostMs(a) ? b : a);
  const expectedMs = getExpectedMs(quickest);
  if (expectedMs <= left.deadlineMs) return { kind: "send", place: quickest };
  const excessMs = expectedMs - left.deadlineMs;
  return {
    kind: "refuse",
    reason: "full",
    retryAfterMs: Math.min(Math.max(excessMs, MIN_RETRY_MS), MAX_RETRY_MS),
  };
}
