/**
 * Requests to cold targets. Load pattern: a target joins or comes back cold while
 * every instance sends it its objects; beyond a rate over all instances together
 * it crashes. The rate is divided into whole requests a second: each instance
 * gets an equal part, and those that rank highest for the target one more.
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
  mayStart(target: Types.TargetId, allPerS: number): boolean;
  noteStart(target: Types.TargetId): void;
  forget(target: Types.TargetId): void;
}

/** This instance's part of `allPerS` requests a second; the parts of all add up to it at most. */
export function getPart(
  target: Types.TargetId,
  allPerS: number,
  self: Types.InstanceId,
  instances: readonly Types.InstanceId[],
): number {
  const whole = Math.floor(allPerS);
  const even = Math.floor(whole / instances.length);
  const rest = whole - even * instances.length;
  const rank = Rendezvous.rank(target, instances).indexOf(self);
  return even + (rank < rest ? 1 : 0);
}

/** Creates counters; `getInstances` names all instances, this one included. */
export function createColdStarts(opts: {
  readonly clock: Clock.Clock;
  readonly self: Types.InstanceId;
  readonly getInstances: () => readonly Types.InstanceId[];
}): ColdStarts {
  const { clock, self } = opts;
  const startsMs = new Map<Types.TargetId, number[]>();

  function getRecent(target: Types.TargetId): number[] {
    const sinceMs = clock.nowMs() - WINDOW_MS - JITTER_MS;
    const recent = (startsMs.get(target) ?? []).filter((at) => at > sinceMs);
    if (recent.length === 0) startsMs.delete(target);
    else startsMs.set(target, recent);
    return recent;
  }

  return {
    mayStart(target, allPerS) {
      const part = getPart(target, allPerS, self, opts.getInstances());
      return getRecent(target).length < part;
    },
    noteStart(target) {
      startsMs.set(target, [...getRecent(target), clock.nowMs()]);
    },
    forget: (target) => void startsMs.delete(target),
  };
}
