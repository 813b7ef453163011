/**
 * Limits an overloaded target to a working set: a subset of the affinity keys for
 * which it is the primary target.
 *
 * Load pattern: accounts that are bound to one region send 450 requests a second
 * to its two targets, for 186 affinity keys. A target caches 32 of them. Rejected
 * callers retry, so any of the keys may get the next free slot, and nearly every
 * request is a cache miss that takes three to eight times as long as a hit.
 *
 * With a working set, the target serves fewer keys, which stay cached. A hash of
 * the affinity key decides whether it belongs to the set, so all instances agree
 * without exchanging messages, and a smaller set is contained in a larger one.
 * The set shrinks with each request that is rejected for lack of room and grows
 * with each request that is admitted.
 */
import type * as Clock from "../clock.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";

/**
 * A target is limited when this share of its requests is rejected. Below it,
 * callers are served sooner when they retry (7% of requests are rejected on the
 * users' days of high load, 90% in the load pattern above).
 */
const LIMIT_REJECTED_SHARE = 0.6;
/** Weight of the newest request in that share: about the last 50 requests decide. */
const REJECTED_SHARE_WEIGHT = 0.02;
/**
 * Relative reduction of the set for each rejected request: in the load pattern
 * above, the set shrinks within 4 s to the keys that the target can serve.
 */
const SHRINK_FACTOR = 0.02;
/**
 * Relative growth of the set for each admitted request: the size is stable when
 * one request in eleven is rejected.
 */
const GROWTH_FACTOR = 0.002;
/**
 * The overload has ended when no request was rejected for this long. In the load
 * pattern an instance rejects one or two requests a second. With 2 s, some
 * instances grew their set too early, and the keys that they added evicted those
 * of all other instances from the targets' caches.
 */
const OVERLOAD_END_MS = 5_000;
/**
 * After the overload the set doubles in this time, so that a target with room
 * rejects requests only briefly.
 */
const DOUBLING_MS = 1_000;
/** Lower limit of the set's fraction: a target serves some affinity keys at any load. */
const MIN_FRACTION = 0.05;
/** Rendezvous scores are below this. */
const SCORE_RANGE = 0x1_0000_0000;

/** Working sets of all targets. */
export interface WorkingSets {
  /** Returns true when the target, the key's primary target, serves the affinity key at present. */
  has(affinityKey: string, target: Types.TargetId): boolean;
  /** Returns true when the target serves only a subset of its affinity keys. */
  isLimited(target: Types.TargetId): boolean;
  /**
   * Records whether a request was admitted at its primary target (`hadRoom`) or
   * rejected for lack of room.
   */
  recordAdmission(target: Types.TargetId, hadRoom: boolean): void;
  removeTarget(target: Types.TargetId): void;
}

interface WorkingSet {
  /** Fraction of the target's affinity keys, above 0 to 1. */
  fraction: number;
  /** Moving average of the share of requests that were rejected, 0 to 1. */
  rejectedShare: number;
  /** Monotonic ms of the last rejection of a request whose affinity key is in the set. */
  rejectedAtMs: number;
}

/**
 * Creates the working sets; at first every target serves all of its affinity
 * keys. `onChange` is called when a target becomes limited or unlimited.
 */
export function createWorkingSets(
  clock: Clock.Clock,
  onChange: (target: Types.TargetId, isLimited: boolean) => void = () => {},
): WorkingSets {
  const sets = new Map<Types.TargetId, WorkingSet>();

  /** The set's fraction, including its growth since the overload ended. */
  function getFraction(target: Types.TargetId): number {
    const set = sets.get(target);
    if (set === undefined || set.fraction === 1) return 1;
    const growthMs = clock.nowMs() - set.rejectedAtMs - OVERLOAD_END_MS;
    if (growthMs <= 0) return set.fraction;
    return Math.min(1, set.fraction * 2 ** (growthMs / DOUBLING_MS));
  }

  function removeLimit(target: Types.TargetId, set: WorkingSet): void {
    set.fraction = 1;
    set.rejectedShare = 0;
    onChange(target, false);
  }

  return {
    has(affinityKey, target) {
      const fraction = getFraction(target);
      return fraction === 1 ||
        Rendezvous.score(target, affinityKey) / SCORE_RANGE < fraction;
    },
    isLimited: (target) => getFraction(target) < 1,
    recordAdmission(target, hadRoom) {
      const fraction = getFraction(target);
      const set = sets.get(target) ??
        { fraction, rejectedShare: 0, rejectedAtMs: -Infinity };
      sets.set(target, set);
      if (fraction === 1 && set.fraction < 1) removeLimit(target, set);
      set.rejectedShare += REJECTED_SHARE_WEIGHT *
        ((hadRoom ? 0 : 1) - set.rejectedShare);
      if (!hadRoom) set.rejectedAtMs = clock.nowMs();
      if (fraction === 1 && set.rejectedShare < LIMIT_REJECTED_SHARE) return;
      if (fraction === 1) onChange(target, true);
      // Growth over time is computed from the fraction at the last rejection, so
      // an admitted request must not store it.
      const base = hadRoom ? set.fraction : fraction;
      const next = base * (hadRoom ? 1 + GROWTH_FACTOR : 1 - SHRINK_FACTOR);
      set.fraction = Math.max(MIN_FRACTION, next);
      if (set.fraction >= 1) removeLimit(target, set);
    },
    removeTarget: (target) => void sets.delete(target),
  };
}
