/**
 * Rendezvous hashing: every process ranks the same ids in the same order for a
 * key, and a change of the id set moves only the keys of the ids that changed.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const TWO_POW_32 = 0x1_0000_0000;

/** An id with its share of the keys; weights are relative and positive. */
export interface Weighted {
  readonly id: string;
  readonly weight: number;
}

function fnv1a(text: string, seed: number): number {
  let h = seed;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), FNV_PRIME);
  }
  return h;
}

/** Final mix of MurmurHash3: FNV alone leaves similar ids with similar scores. */
function mix(hash: number): number {
  let h = hash ^ (hash >>> 16);
  h = Math.imul(h, 0x85ebca6b);
  h ^= h >>> 13;
  h = Math.imul(h, 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

/** Score of an id for a key, 0 to 2^32 - 1; the same in every process. */
export function score(key: string, id: string): number {
  // The separator keeps ("ab", "c") and ("a", "bc") apart.
  const keyHash = Math.imul(fnv1a(key, FNV_OFFSET) ^ 0xff, FNV_PRIME);
  return mix(fnv1a(id, keyHash));
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
