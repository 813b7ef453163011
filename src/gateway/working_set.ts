/**
 * Which objects a target serves while it is asked for far more than it can run.
 * Load pattern: accounts that may not leave a region send 450 requests a second
 * to its two targets, for 186 objects of which a target remembers 32. Whoever is
 * refused comes back, so any of the objects takes the next free slot, and nearly
 * every run is a first run that takes three to eight times as long.
 *
 * Such a target is kept to a part of the objects whose own place it is. The part
 * is chosen by a hash of the object, so instances agree on it without messages,
 * and a smaller part lies within a larger one. It shrinks with each request that
 * finds no room and grows with each that does.
 */
import type * as Clock from "../clock.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";

/**
 * A target is limited when this share of its requests finds no room: below, the
 * refused are better served by coming back (7% on the users' days of high load,
 * 90% in the pattern above).
 */
const START_SHARE = 0.6;
/** Weight of the newest request in that share: about 50 requests decide. */
const SHARE_WEIGHT = 0.02;
/** What a request that finds no room takes off the part: in the pattern it is found in 4 s. */
const SHRINK = 0.02;
/** What one that finds room adds: the part stays where one in eleven finds none. */
const GROW = 0.002;
/**
 * Without a refusal this long the load has ended. An instance refuses once or
 * twice a second in the pattern; after 2 s some grew too soon, and what they sent
 * pushed the objects of all others out.
 */
const CALM_MS = 5_000;
/** Then the part doubles in each such time: a target with room is refused to nobody for long. */
const DOUBLING_MS = 1_000;
/** A target serves some objects at any load. */
const MIN_PART = 0.05;
const SCORES = 0x1_0000_0000;

/** Parts of the objects that targets are kept to. */
export interface WorkingSets {
  /** True when the target, the object's own place, serves the object for now. */
  has(objectKey: string, target: Types.TargetId): boolean;
  /** True when the target serves only a part of its objects. */
  isLimited(target: Types.TargetId): boolean;
  /** A request whose own place is the target found room there, or was refused for want of it. */
  recordAdmission(target: Types.TargetId, hadRoom: boolean): void;
  removeTarget(target: Types.TargetId): void;
}

interface WorkingSet {
  /** Part of the objects, above 0 to 1. */
  part: number;
  refusedShare: number;
  /** Of an object of the part. */
  refusedAtMs: number;
}

/**
 * Creates the sets; every target serves all of its objects at first. `onChange`
 * hears when a target is limited, and when it no longer is.
 */
export function createWorkingSets(
  clock: Clock.Clock,
  onChange: (target: Types.TargetId, isLimited: boolean) => void = () => {},
): WorkingSets {
  const sets = new Map<Types.TargetId, WorkingSet>();

  function getPart(target: Types.TargetId): number {
    const set = sets.get(target);
    if (set === undefined || set.part === 1) return 1;
    const calmMs = clock.nowMs() - set.refusedAtMs - CALM_MS;
    if (calmMs <= 0) return set.part;
    return Math.min(1, set.part * 2 ** (calmMs / DOUBLING_MS));
  }

  function end(target: Types.TargetId, set: WorkingSet): void {
    set.part = 1;
    set.refusedShare = 0;
    onChange(target, false);
  }

  return {
    has(objectKey, target) {
      const part = getPart(target);
      return part === 1 ||
        Rendezvous.score(target, objectKey) / SCORES < part;
    },
    isLimited: (target) => getPart(target) < 1,
    recordAdmission(target, hadRoom) {
      const part = getPart(target);
      const set = sets.get(target) ??
        { part, refusedShare: 0, refusedAtMs: -Infinity };
      sets.set(target, set);
      if (part === 1 && set.part < 1) end(target, set);
      set.refusedShare += SHARE_WEIGHT *
        ((hadRoom ? 0 : 1) - set.refusedShare);
      if (!hadRoom) set.refusedAtMs = clock.nowMs();
      if (part === 1 && set.refusedShare < START_SHARE) return;
      if (part === 1) onChange(target, true);
      // With time alone the part grows from what it was at the last refusal.
      const base = hadRoom ? set.part : part;
      const next = base * (hadRoom ? 1 + GROW : 1 - SHRINK);
      set.part = Math.max(MIN_PART, next);
      if (set.part >= 1) end(target, set);
    },
    removeTarget: (target) => void sets.delete(target),
  };
}
