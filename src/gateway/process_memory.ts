/** Divides the memory of a machine: what the process takes, and what is left for request bodies. */

/** Resident memory of a process under load, without requests: 54 MB beside the heap, whose young generation grows to 32 MB. */
const PROCESS_BYTES = 108_000_000;
/** Buffers of reads that are not parsed or not collected yet: V8 collects after they have grown by 32 MB. */
const READ_BYTES = 50_000_000;
/** Resident memory that no budget counts, at most. */
export const UNCOUNTED_BYTES = PROCESS_BYTES + READ_BYTES;
/** Share of the rest for request bodies. */
const BODY_SHARE = 0.48;
/** Longest body by default, with what it takes while it arrives; it is to fit wherever the rest has room for it. */
const LONGEST_BODY_BYTES = 65 * 1_024 * 1_024;
/** Memory for request bodies if there is no rest: two bodies of 5 MB fit. */
const MIN_BODY_BYTES = 12_000_000;
/** Share of the whole that this may be. */
const MAX_MIN_BODY_SHARE = 0.3;

/** Returns the memory that request bodies may use on a machine until their requests have ended. */
export function getBodyBytes(memoryBytes: number): number {
  const restBytes = memoryBytes - UNCOUNTED_BYTES;
  return Math.max(
    restBytes * BODY_SHARE,
    Math.min(LONGEST_BODY_BYTES, restBytes),
    Math.min(MIN_BODY_BYTES, memoryBytes * MAX_MIN_BODY_SHARE),
  );
}
