/**
 * Rendezvous hashing: every process ranks the same ids in the same order for a
 * key, and a change of the set of ids moves only the keys of the changed ids.
 * `src/targets/rendezvous.ts` has a faster variant for slots of targets.
 */
import * as Hash from "./hash.ts";

const SEPARATOR = 0xff;
const TWO_POW_32 = 0x1_0000_0000;

/** An id with its relative weight, which is positive. */
export interface WeightedId {
  readonly id: string;
  readonly weight: number;
}

/** Returns the score of an id for a key, 0 to 2^32 - 1; the same in every process. */
export function score(key: string, id: string): number {
  // The separator gives ("ab", "c") and ("a", "bc") different hashes.
  const keyHash = Hash.updateFnv1a(Hash.fnv1a(key), SEPARATOR);
  return Hash.mixBits(Hash.fnv1a(id, keyHash)) >>> 0;
}

/** Returns all ids, highest score first; equal scores are ordered by id. */
export function rank(key: string, ids: readonly string[]): readonly string[] {
  const scored = ids.map((id) => ({ id, score: score(key, id) }));
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scored.map((entry) => entry.id);
}

/** Returns the id that owns the key; each id owns keys in proportion to its weight. Undefined when no weight is positive. */
export function pickWeighted(
  key: string,
  candidates: readonly WeightedId[],
): string | undefined {
  let bestId: string | undefined;
  let bestScore = -Infinity;
  for (const { id, weight } of candidates) {
    if (!(weight > 0)) continue;
    const uniform = (score(key, id) + 0.5) / TWO_POW_32;
    const weightedScore = -weight / Math.log(uniform);
    const winsTie = weightedScore === bestScore && bestId !== undefined &&
      id < bestId;
    if (weightedScore > bestScore || winsTie) {
      bestId = id;
      bestScore = weightedScore;
    }
  }
  return bestId;
}
