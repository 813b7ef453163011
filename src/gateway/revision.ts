/**
 * Revisions of the store. The store counts its changes, but its counter falls back
 * when the store is restored from a copy, and gives out the same counts again. The
 * store's generation rises by one at each restore. A revision holds both, so that
 * every revision of a later generation is higher than all of an earlier one.
 */

/** Counts of one generation; revisions stay safe integers up to generation 8,191. */
const COUNTS_PER_GENERATION = 2 ** 40;

/** Returns the revision of the store's count of changes in one of its generations. */
export function createRevision(generation: number, count: number): number {
  return generation * COUNTS_PER_GENERATION + count;
}

/** Returns the generation of the store that gave out the revision. */
export function getGeneration(revision: number): number {
  return Math.floor(revision / COUNTS_PER_GENERATION);
}

/** Returns the store's own count of changes, which only its generation understands. */
export function getCount(revision: number): number {
  return revision % COUNTS_PER_GENERATION;
}

/** Formats a revision for log lines, as `generation:count`. */
export function formatRevision(revision: number): string {
  return `${getGeneration(revision)}:${getCount(revision)}`;
}
