/**
 * Which targets have served an object lately. Load pattern: hundreds of objects a
 * region and dozens of instances, each of which sees an object once in half a
 * minute; an instance that has just started, while all targets are warm.
 *
 * What an instance has not seen itself it takes to be as likely as it turned out
 * to be for other objects at places of the same rank.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";

/** Targets keep a bounded number of objects; one that was not asked for this long may be out. */
const WARM_MS = 10_000;
/** Pairs of object and target; about 150 bytes each. */
const MAX_PAIRS = 20_000;

/** Remembers who served what. */
export interface CacheState {
  record(objectKey: string, target: Types.TargetId): void;
  isWarm(objectKey: string, target: Types.TargetId): boolean;
  /** How likely a place of this rank has served the object lately, without own evidence. */
  getHitChance(rank: number): number;
  /** A place of the rank, without own evidence, turned out to be warm or not. */
  recordOutcome(rank: number, wasWarm: boolean): void;
}

/**
 * Until the first answers: an instance that starts with the fleet finds nothing
 * warm, one that comes back finds the first places warm.
 */
const FIRST_CHANCES: readonly number[] = [0.4, 0.2, 0.1, 0.1];
/** Weight of the newest outcome; the first ones weigh more. */
const CHANCE_WEIGHT = 0.03;

interface Chance {
  share: number;
  outcomes: number;
}

/** Creates an empty memory. */
export function createCacheState(clock: Clock.Clock): CacheState {
  /** Monotonic ms of the last answer, oldest first. */
  const seenAtMs = new Map<string, number>();

  const chances: readonly Chance[] = FIRST_CHANCES.map((share) => ({
    share,
    outcomes: 0,
  }));

  return {
    getHitChance: (rank) => chances[rank]?.share ?? 0,
    recordOutcome(rank, wasWarm) {
      const chance = chances[rank];
      if (chance === undefined) return;
      chance.outcomes++;
      const weight = Math.max(CHANCE_WEIGHT, 1 / (chance.outcomes + 1));
      chance.share += weight * ((wasWarm ? 1 : 0) - chance.share);
    },
    record(objectKey, target) {
      const key = `${objectKey} ${target}`;
      seenAtMs.delete(key);
      seenAtMs.set(key, clock.nowMs());
      if (seenAtMs.size <= MAX_PAIRS) return;
      for (const oldest of seenAtMs.keys()) {
        seenAtMs.delete(oldest);
        return;
      }
    },
    isWarm(objectKey, target) {
      const at = seenAtMs.get(`${objectKey} ${target}`);
      return at !== undefined && clock.nowMs() - at < WARM_MS;
    },
  };
}
