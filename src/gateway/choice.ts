/**
 * Which of an object's places gets a request, or whether it is refused. Load
 * pattern: a target is full, slow, cold or turns requests away while the object's
 * other places are free, some of which have served it before.
 *
 * The place with the lowest cost is used: the expected time, and for a place that
 * has not served the object lately, the work that a first run takes from others
 * when the target is busy. A queue is let grow only as long as those who wait in
 * it are answered in time; beyond that everybody would be late, so the rest is
 * refused at once, the less urgent first.
 */
import type * as StateModule from "./state.ts";

/** One place of an object, as this instance sees it. */
export interface Candidate {
  readonly target: StateModule.KnownTarget;
  /** 0 is the object's own place. */
  readonly rank: number;
  /** Left alone after failures. */
  readonly isPaused: boolean;
  /** It has just started, and is slow. */
  readonly isCold: boolean;
  /** Cold, and this instance has sent its part already. */
  readonly isColdLimitReached: boolean;
  /** It is kept to other objects while it is asked for far more than it can run. */
  readonly isExcluded: boolean;
  /** Requests that run or wait there, as far as known. */
  readonly outstanding: number;
  /** Share of recent requests that it turned away. */
  readonly shedShare: number;
  readonly roundTripMs: number;
  /** How likely it has served the object lately, 0 to 1. */
  readonly cacheHitChance: number;
  /** Time until the object's first run there ends, when one is on its way. */
  readonly warmupRemainingMs: number | undefined;
}

/** What is known of the request. */
export interface RequestProfile {
  /** Until the answer is worth less, ms. */
  readonly remainingTargetLatencyMs: number;
  /** Until it is worth nothing, ms. */
  readonly deadlineMs: number;
  /** The whole time within which an answer is worth most, ms. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Expected time at a target that served the object lately, ms. */
  readonly cacheHitMs: number;
  /** Expected time of a first run, ms. */
  readonly cacheMissMs: number;
  /** Work that a first run takes beyond another, ms; expected also when nothing was measured. */
  readonly missCostMs: number;
}

/** What to do with a request. */
export type Choice =
  | { readonly kind: "send"; readonly place: Candidate }
  /** The object's first run there ends soon. */
  | { readonly kind: "wait"; readonly place: Candidate; readonly maxMs: number }
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
/**
 * Keeps objects at two places where that does: a target remembers a bounded number
 * of objects (about 67 on the users' sites, with 17 a target), and each further
 * place of an object pushes another one out.
 */
const RANK_COSTS: readonly number[] = [0, 0.24, 0.48, 0.9];
/** Part of the time in time that the most urgent requests may wait, and what each rank of urgency takes off. */
const WAIT_PART = 1;
const WAIT_PART_STEP = 0.15;
const MIN_WAIT_PART = 0.4;
/** A queue below this is there at any load. */
const MIN_WAIT_MS = 60;
/** Advice when nothing at all can be used. */
const NO_TARGET_RETRY_MS = 300;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 800;

/** A target that has just started takes about this many times as long (2 on the users' sites). */
const COLD_SLOWNESS = 2;
/** A place that is at least as likely warm as not is treated as warm. */
const LIKELY = 0.5;

/** Whether the place is treated as one that has served the object lately. */
export function isLikelyWarm(place: Candidate): boolean {
  return place.cacheHitChance >= LIKELY;
}

/** Time in the target's queue, as far as known. */
export function getWaitMs(place: Candidate, demand: RequestProfile): number {
  const { slots } = place.target.entry;
  const ahead = Math.max(0, place.outstanding + 1 - slots);
  return ahead * demand.cacheHitMs / slots;
}

/** Time until an answer from the place. */
export function getExpectedMs(
  place: Candidate,
  demand: RequestProfile,
): number {
  const chance = place.warmupRemainingMs === undefined
    ? place.cacheHitChance
    : 1;
  const slowness = place.isCold ? COLD_SLOWNESS : 1;
  const serviceMs = slowness *
    (chance * demand.cacheHitMs + (1 - chance) * demand.cacheMissMs);
  const waitMs = Math.max(
    getWaitMs(place, demand),
    place.warmupRemainingMs ?? 0,
  );
  return place.roundTripMs + waitMs + serviceMs;
}

/** Expected time, and what the place costs others. */
function getCostMs(place: Candidate, demand: RequestProfile): number {
  const expectedMs = getExpectedMs(place, demand);
  // The object has to run at its own place for the first time anyway.
  if (place.rank === 0) return expectedMs;
  const { missCostMs: extraMs } = demand;
  const rankMs = (RANK_COSTS[place.rank] ?? Infinity) * extraMs;
  if (place.warmupRemainingMs !== undefined) return expectedMs + rankMs;
  const use = Math.min(1, place.outstanding / place.target.entry.slots);
  return expectedMs + rankMs + use * (1 - place.cacheHitChance) * extraMs;
}

/** Longest queue in which a request of this urgency may wait. */
function getMaxWaitMs(place: Candidate, demand: RequestProfile): number {
  const spareMs = demand.targetLatencyMs - place.roundTripMs -
    demand.cacheHitMs;
  const part = Math.max(
    WAIT_PART - demand.priority * WAIT_PART_STEP,
    MIN_WAIT_PART,
  );
  return Math.max(MIN_WAIT_MS, spareMs * part);
}

/** A first run away from the own place is worth it only on slots that nobody else wants. */
function isShort(place: Candidate, demand: RequestProfile): boolean {
  const isDetour = place.rank > 0 && !isLikelyWarm(place);
  if (isDetour) return place.outstanding < place.target.entry.slots;
  return getWaitMs(place, demand) <= getMaxWaitMs(place, demand);
}

function isFull(place: Candidate): boolean {
  const { slots } = place.target.entry;
  return place.outstanding >= slots * (1 + QUEUE_PER_SLOT);
}

function refuse(reason: "no-target" | "full", afterMs: number): Choice {
  const retryAfterMs = Math.min(Math.max(afterMs, MIN_RETRY_MS), MAX_RETRY_MS);
  return { kind: "refuse", reason, retryAfterMs };
}

/** Chooses among an object's places, best ranked first. */
export function chooseCandidate(
  places: readonly Candidate[],
  demand: RequestProfile,
): Choice {
  const reachable = places.filter((one) => !one.isPaused);
  const allowed = reachable.filter((one) => !one.isExcluded);
  if (reachable.length > 0 && allowed.length === 0) {
    return refuse("full", MAX_RETRY_MS);
  }
  const open = allowed.filter((one) => !one.isColdLimitReached && !isFull(one));
  if (open.length === 0) {
    const reason = reachable.length === 0 ? "no-target" : "full";
    return refuse(reason, NO_TARGET_RETRY_MS);
  }
  const short = open.filter((one) => isShort(one, demand));
  if (short.length === 0) {
    const waits = open.map((one) =>
      getWaitMs(one, demand) - getMaxWaitMs(one, demand)
    );
    return refuse("full", Math.min(...waits));
  }
  const sound = short.filter((one) => one.shedShare < SHED_LIMIT);
  const best = (sound.length > 0 ? sound : short).reduce((a, b) =>
    getCostMs(b, demand) < getCostMs(a, demand) ? b : a
  );
  const warming = tryGetWarming(short, best, demand);
  if (warming?.warmupRemainingMs !== undefined) {
    return { kind: "wait", place: warming, maxMs: warming.warmupRemainingMs };
  }
  const expectedMs = getExpectedMs(best, demand);
  if (expectedMs > demand.deadlineMs) {
    return refuse("full", expectedMs - demand.deadlineMs);
  }
  return { kind: "send", place: best };
}

/** A place to wait for instead of one more first run, if the wait ends before the deadline. */
function tryGetWarming(
  places: readonly Candidate[],
  best: Candidate,
  demand: RequestProfile,
): Candidate | undefined {
  if (isLikelyWarm(best)) return undefined;
  return places.find((one) =>
    !isLikelyWarm(one) && one.warmupRemainingMs !== undefined &&
    getExpectedMs(one, demand) <= demand.deadlineMs
  );
}
