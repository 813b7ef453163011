/**
 * Limits the rate of requests to cold targets, which are targets that just
 * started.
 *
 * Load pattern: a target joins or recovers and is cold, while every instance
 * sends it the affinity keys for which it ranks first. The target crashes when all
 * instances together exceed a certain rate.
 *
 * The rate is allocated in whole requests a second, first to the failure domains,
 * then to the instances of each domain. All get an equal share; the remaining
 * requests go, one each, to those that rank highest for the target in a rendezvous
 * hash.
 */
import type * as Clock from "../clock.ts";
import * as Rendezvous from "../rendezvous.ts";
import type * as Types from "../types.ts";

const WINDOW_MS = 1_000;
/**
 * Extension of the window for network jitter: requests are counted when sent,
 * and can arrive this much closer together.
 */
const JITTER_MS = 150;

/** Counts the requests of this instance to cold targets. */
export interface ColdStarts {
  /**
   * Returns true when this instance may send the cold target a request now; all
   * instances together may send `fleetPerS` requests a second.
   */
  canSend(target: Types.TargetId, fleetPerS: number): boolean;
  /** Records that a request is sent to the cold target. */
  recordSend(target: Types.TargetId): void;
  removeTarget(target: Types.TargetId): void;
}

/**
 * Requests a second that `name` gets when `ratePerS`, a whole number, is allocated
 * to `names`; the rates of all names add up to `ratePerS`.
 */
export function getRateShare(
  target: Types.TargetId,
  ratePerS: number,
  name: string,
  names: readonly string[],
): number {
  const equalPerS = Math.floor(ratePerS / names.length);
  const remainder = ratePerS - equalPerS * names.length;
  const rank = Rendezvous.rank(target, names).indexOf(name);
  return equalPerS + (rank < remainder ? 1 : 0);
}

/** Position of this instance among the instances that share a target's rate. */
export interface FleetPosition {
  /** Failure domain of this instance. */
  readonly domain: Types.Domain;
  /** All failure domains; every instance must know the same ones. */
  readonly domains: readonly Types.Domain[];
  readonly self: Types.InstanceId;
  /** Instances of this domain, including this one. */
  readonly members: readonly Types.InstanceId[];
}

/**
 * Requests a second that this instance may send to the cold target, out of
 * `fleetPerS` for all instances together.
 */
export function getInstanceRate(
  target: Types.TargetId,
  fleetPerS: number,
  { domain, domains, members, self }: FleetPosition,
): number {
  const domainPerS = getRateShare(
    target,
    Math.floor(fleetPerS),
    domain,
    domains,
  );
  return domainPerS === 0 ? 0 : getRateShare(target, domainPerS, self, members);
}

/** Creates the limiter of one instance. */
export function createColdStarts(opts: {
  readonly clock: Clock.Clock;
  readonly getFleetPosition: () => FleetPosition;
}): ColdStarts {
  const { clock } = opts;
  /** Monotonic ms of the recent sends to each target. */
  const sendsAtMs = new Map<Types.TargetId, number[]>();

  function getRecentSends(target: Types.TargetId): number[] {
    const sinceMs = clock.nowMs() - WINDOW_MS - JITTER_MS;
    const recent = (sendsAtMs.get(target) ?? []).filter((at) => at > sinceMs);
    if (recent.length === 0) sendsAtMs.delete(target);
    else sendsAtMs.set(target, recent);
    return recent;
  }

  return {
    canSend(target, fleetPerS) {
      const ratePerS = getInstanceRate(
        target,
        fleetPerS,
        opts.getFleetPosition(),
      );
      return getRecentSends(target).length < ratePerS;
    },
    recordSend(target) {
      sendsAtMs.set(target, [...getRecentSends(target), clock.nowMs()]);
    },
    removeTarget: (target) => void sendsAtMs.delete(target),
  };
}
