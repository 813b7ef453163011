/** The rates that targets name, at all instances of a fleet, and what the rule on them allows. */
import * as TargetLimits from "../../src/gateway/target_limits.ts";

/** Length of the windows in which the requests to a target are counted, ms. */
export const WINDOW_MS = 4_000;
/** A target may get this many times its rate, and some requests more, in a window. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
const DOMAINS = ["a", "b", "c", "d", "e", "f"];

/** Requests that may reach a target of the rate in a window. */
export function getAllowed(ratePerS: number): number {
  return ALLOWED_FACTOR * ratePerS * WINDOW_MS / 1_000 + ALLOWED_EXTRA;
}

/** Most arrivals in any window that begins at `fromMs` or later. */
export function countBusiestWindow(
  arrivedAtMs: readonly number[],
  fromMs: number,
): number {
  const counted = arrivedAtMs.filter((atMs) => atMs >= fromMs);
  const counts = counted.map((startMs) =>
    counted.filter((atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS)
      .length
  );
  return Math.max(0, ...counts);
}

/** Creates the limits of all instances of a fleet, on a clock that the caller moves by `now`. */
export function createFleet(instanceCount: number) {
  const clock = { now: 0, nowMs: () => clock.now, wallMs: () => clock.now };
  const getDomain = (index: number) => DOMAINS[index % DOMAINS.length]!;
  const names = Array.from({ length: instanceCount }, (_, i) => `i-${i}`);
  const limits = names.map((self, index) => {
    const domain = getDomain(index);
    const members = names.filter((_, i) => getDomain(i) === domain);
    const position = { domain, domains: DOMAINS, self, members };
    const getFleetPosition = () => position;
    return TargetLimits.createTargetLimits({ clock, getFleetPosition });
  });
  return { clock, limits };
}
