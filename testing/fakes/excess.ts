/** By how much admitted requests exceed a limit. */

/** One admitted request; `isRefunded` once it turned out not to run. */
export interface Admission {
  readonly atMs: number;
  readonly tokens: number;
  isRefunded: boolean;
}

/** A limit in force from a time on. */
export interface TimedLimit {
  readonly fromMs: number;
  readonly rate: number;
  readonly burst: number;
}

/**
 * The most tokens by which any window exceeds burst + rate x t; at most 0 when
 * the limit holds. A bucket that starts full and may not go below 0 says the
 * same as the bound over every window.
 */
export function findExcess(
  admissions: readonly Admission[],
  limits: readonly TimedLimit[],
): number {
  const ran = admissions.filter((one) => !one.isRefunded)
    .toSorted((a, b) => a.atMs - b.atMs);
  let index = 0;
  let limit = limits[0]!;
  let level = limit.burst;
  let atMs = -Infinity;
  let excess = 0;
  const refillTo = (ms: number) => {
    const more = atMs === -Infinity ? 0 : (limit.rate * (ms - atMs)) / 1000;
    level = Math.min(limit.burst, level + more);
    atMs = ms;
  };
  for (const one of ran) {
    while (
      limits[index + 1] !== undefined && limits[index + 1]!.fromMs <= one.atMs
    ) {
      const old = limit;
      refillTo(limits[index + 1]!.fromMs);
      limit = limits[++index]!;
      level = Math.min(
        limit.burst,
        level + Math.max(0, limit.burst - old.burst),
      );
    }
    refillTo(one.atMs);
    level -= one.tokens;
    excess = Math.max(excess, -level);
  }
  return excess;
}
