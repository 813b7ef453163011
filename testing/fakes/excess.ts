/** Computes by how many tokens admitted requests exceed a limit. */

/** An admitted request. `isRefunded` is set when the request did not run. */
export interface Admission {
  readonly atMs: number;
  readonly tokens: number;
  isRefunded: boolean;
}

/** A limit that applies from `fromMs`; `rate` is in tokens a second. */
export interface TimedLimit {
  readonly fromMs: number;
  readonly rate: number;
  readonly burst: number;
}

/**
 * Returns the highest number of tokens by which any time window of length t exceeds
 * burst + rate x t, or 0 if none does. Refunded admissions do not count. The bound
 * over all windows is equivalent to a token bucket that starts full and never goes
 * below 0.
 */
export function getMaxExcess(
  admissions: readonly Admission[],
  limits: readonly TimedLimit[],
): number {
  const counted = admissions.filter((admission) => !admission.isRefunded)
    .toSorted((a, b) => a.atMs - b.atMs);
  let index = 0;
  let limit = limits[0]!;
  let level = limit.burst;
  let atMs = -Infinity;
  let excess = 0;
  const refillTo = (ms: number) => {
    const refill = atMs === -Infinity ? 0 : (limit.rate * (ms - atMs)) / 1000;
    level = Math.min(limit.burst, level + refill);
    atMs = ms;
  };
  for (const admission of counted) {
    while (
      limits[index + 1] !== undefined &&
      limits[index + 1]!.fromMs <= admission.atMs
    ) {
      const previousLimit = limit;
      refillTo(limits[index + 1]!.fromMs);
      limit = limits[++index]!;
      level = Math.min(
        limit.burst,
        level + Math.max(0, limit.burst - previousLimit.burst),
      );
    }
    refillTo(admission.atMs);
    level -= admission.tokens;
    excess = Math.max(excess, -level);
  }
  return excess;
}
