/**
 * Requests to cold targets. Load pattern: a target joins or comes back cold while
 * every instance sends it its objects; beyond a rate over all instances together
 * it crashes. The rate is divided into whole requests a second, first over the
 * failure domains, then over a domain's instances: each gets an equal part, and
 * those that rank highest for the target one more.
 */
import type * as Clock from "../clock.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";

const WINDOW_MS = 1_000;
/** Sends are counted when they leave; they arrive this much closer together at worst. */
const JITTER_MS = 150;

/** Counts what this instance sends to cold targets. */
export interface ColdStarts {
  /** True when this instance may send the cold target one more request now. */
  canStart(target: Types.TargetId, allPerS: number): boolean;
  recordStart(target: Types.TargetId): void;
  removeTarget(target: Types.TargetId): void;
}

/** Part of `whole` requests a second that belongs to `self`; the parts of all add up to it. */
export function getPart(
  target: Types.TargetId,
  whole: number,
  self: string,
  all: readonly string[],
): number {
  const even = Math.floor(whole / all.length);
  const rest = whole - even * all.length;
  const rank = Rendezvous.rank(target, all).indexOf(self);
  return even + (rank < rest ? 1 : 0);
}

/** Where an instance stands among those that share a target's rate. */
export interface Standing {
  readonly domain: Types.Domain;
  /** All failure domains, the same on all instances. */
  readonly domains: readonly Types.Domain[];
  readonly self: Types.InstanceId;
  /** Instances of the own domain, this one included. */
  readonly members: readonly Types.InstanceId[];
}

/** Requests a second that the instance may send to the cold target, of `allPerS` over all instances. */
export function getOwnPart(
  target: Types.TargetId,
  allPerS: number,
  { domain, domains, members, self }: Standing,
): number {
  const ofDomain = getPart(target, Math.floor(allPerS), domain, domains);
  return ofDomain === 0 ? 0 : getPart(target, ofDomain, self, members);
}

/** Creates counters. */
export function createColdStarts(opts: {
  readonly clock: Clock.Clock;
  readonly getStanding: () => Standing;
}): ColdStarts {
  const { clock } = opts;
  const startsMs = new Map<Types.TargetId, number[]>();

  function getRecent(target: Types.TargetId): number[] {
    const sinceMs = clock.nowMs() - WINDOW_MS - JITTER_MS;
    const recent = (startsMs.get(target) ?? []).filter((at) => at > sinceMs);
    if (recent.length === 0) startsMs.delete(target);
    else startsMs.set(target, recent);
    return recent;
  }

  return {
    canStart(target, allPerS) {
      const part = getOwnPart(target, allPerS, opts.getStanding());
      return getRecent(target).length < part;
    },
    recordStart(target) {
      startsMs.set(target, [...getRecent(target), clock.nowMs()]);
    },
    removeTarget: (target) => void startsMs.delete(target),
  };
}
