/**
 * Rendezvous hashing: every process ranks the same ids in the same order for a
 * key, and a change of the id set moves only the keys of the ids that changed.
 * Slots of targets have a faster form of it in `src/targets/rendezvous.ts`.
 */
import * as Hash from "./hash.ts";

const SEPARATOR = 0xff;
const TWO_POW_32 = 0x1_0000_0000;

/** An id with its share of the keys; weights are relative and positive. */
export interface Weighted {
  readonly id: string;
  readonly weight: number;
}

/** Score of an id for a key, 0 to 2^32 - 1; the same in every process. */
export function score(key: string, id: string): number {
  // The separator keeps ("ab", "c") and ("a", "bc") apart.
  const keyHash = Hash.fnvStep(Hash.fnv1a(key), SEPARATOR);
  return Hash.mix(Hash.fnv1a(id, keyHash)) >>> 0;
}

/** All ids, highest score first; equal scores are ordered by id. */
export function rank(key: string, ids: readonly string[]): readonly string[] {
  const scored = ids.map((id) => ({ id, score: score(key, id) }));
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scored.map((one) => one.id);
}

/** The id that owns the key, in proportion to the weights; undefined when none has a positive weight. */
export function weightedPick(
  key: string,
  candidates: readonly Weighted[],
): string | undefined {
  let best: string | undefined;
  let bestScore = -Infinity;
  for (const { id, weight } of candidates) {
    if (!(weight > 0)) continue;
    const u = (score(key, id) + 0.5) / TWO_POW_32;
    const s = -weight / Math.log(u);
    const isTieWon = s === bestScore && best !== undefined && id < best;
    if (s > bestScore || isTieWon) {
      best = id;
      bestScore = s;
    }
  }
  return best;
}
