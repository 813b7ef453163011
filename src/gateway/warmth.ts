/** Which targets have served an object lately, as far as this instance has seen. */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";

/** Targets keep a bounded number of objects; one that was not asked for this long may be out. */
const WARM_MS = 10_000;
/** Pairs of object and target; about 150 bytes each. */
const MAX_PAIRS = 20_000;

/** Remembers who served what. */
export interface Warmth {
  note(objectKey: string, target: Types.TargetId): void;
  isWarm(objectKey: string, target: Types.TargetId): boolean;
}

/** Creates an empty memory. */
export function createWarmth(clock: Clock.Clock): Warmth {
  /** Monotonic ms of the last answer, oldest first. */
  const seenAtMs = new Map<string, number>();

  return {
    note(objectKey, target) {
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
