/**
 * Which of an object's places gets a request, or whether it is refused. Load
 * pattern: a target is full, slow, cold or turns requests away, while the
 * object's other places would have to run it for the first time.
 *
 * The object's own place is used while an answer from there is expected in time.
 * A detour costs a slow first run, so it is taken only when it is expected in
 * time and the own place is not. What nobody can answer before its deadline is
 * refused at once.
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
  const own = inTime.find((one) => one.rank === 0);
  if (own !== undefined) return { kind: "send", place: own };
  const pool = inTime.length > 0 ? inTime : open;
  const quickest = pool.reduce((a, b) =>
    getExpectedMs(b) < getExpectedMs(a) ? b : a
  );
  const expectedMs = getExpectedMs(quickest);
  if (expectedMs <= left.deadlineMs) return { kind: "send", place: quickest };
  const excessMs = expectedMs - left.deadlineMs;
  return {
    kind: "refuse",
    reason: "full",
    retryAfterMs: Math.min(Math.max(excessMs, MIN_RETRY_MS), MAX_RETRY_MS),
  };
}
