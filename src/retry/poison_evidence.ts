/**
 * Evidence about poison requests that one instance knows, without I/O.
 *
 * Load pattern: in a fleet that is not a full mesh, instances forward what is new
 * to them. A connection loss and a response that pass each other were new at each
 * arrival: one fingerprint was blocked and cleared 20,739 times within a second.
 *
 * Therefore connection losses and clears have stamps. A stamp is the wall clock in
 * ms of the instance that observed it, but larger than the stamp of each clear of
 * the fingerprint that this instance knows; the stamp of a clear is at least that
 * of each loss that it clears. A loss is in force if its stamp is larger than that
 * of the last clear. The result of a set of statements does not depend on the
 * order in which they arrive, nor on how often they do.
 *
 * Wall clocks that differ affect only the order of statements whose observers did
 * not know of each other. Stamps follow the fastest clock that an instance hears of,
 * so that a loss at an instance whose clock is late is not taken for an old one.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";

/** Time after the last connection loss in which a suspicion is kept; covers callers that retry every few minutes. Clears are kept as long, so that no suspicion outlives its clear. */
const TTL_MS = 10 * 60_000;
const TARGETS_TO_BLOCK = 2;
/** Bound of suspicions and of clears; they use 7.7 MB (with two targets each) and 1.8 MB at this number. */
const MAX_FINGERPRINTS = 10_000;
/** Maximum number of targets kept per suspicion; more targets add no information. */
const MAX_SUSPECTED_TARGETS = 4;

/** Stamps follow clocks that are ahead by up to this time; a clock that is further ahead is wrong. */
const MAX_CLOCK_LEAD_MS = 60_000;

/** Connection losses of one fingerprint. */
export interface Losses {
  /** Stamps by target. */
  readonly targets: ReadonlyMap<Types.TargetId, number>;
  /** Stamp of the last loss that no response explains; 0 when responses explain all. */
  readonly unexplainedStamp: number;
}

/** Connection losses in force, as they are reported to other instances. */
export interface Suspicion extends Losses {
  /** Monotonic ms of the first connection loss since the last response. */
  readonly firstLossAtMs: number;
  /** Monotonic ms of the last connection loss. */
  readonly lastLossAtMs: number;
  /** Monotonic ms; `-Infinity` when never blocked. */
  readonly blockedUntilMs: number;
}

/** A response that cleared a fingerprint. */
export interface Clear {
  readonly stamp: number;
  /** True if it was sent to the whole fleet, not only to collectors. */
  readonly isFleetWide: boolean;
  /** Monotonic ms of its arrival here. */
  readonly atMs: number;
}

/** Effect of connection losses. */
export interface LossEffect {
  /** True if there are more targets, an unexplained loss or a block that was not in force. */
  readonly isNew: boolean;
  readonly isNewlyBlocked: boolean;
}

/** Effect of a clear. */
export interface ClearEffect {
  /** False if the same clear or a later one was known, at least to the same extent. */
  readonly isNew: boolean;
  readonly wasBlocked: boolean;
  readonly isBlockLifted: boolean;
  /** Losses with a later stamp, which stay in force. */
  readonly remaining: Suspicion | undefined;
}

/** Evidence by fingerprint. */
export interface Evidence {
  getSuspicion(fingerprint: string): Suspicion | undefined;
  getClear(fingerprint: string): Clear | undefined;
  /** In order of the last report, oldest first. */
  getSuspicions(): ReadonlyMap<string, Suspicion>;
  getClears(): ReadonlyMap<string, Clear>;
  isBlocked(fingerprint: string): boolean;
  hasBlockEvidence(fingerprint: string): boolean;
  /** Returns the stamp of a connection loss that is observed now. */
  createLossStamp(fingerprint: string): number;
  /** Returns the stamp of a response that is observed now. */
  createClearStamp(fingerprint: string): number;
  addLosses(fingerprint: string, losses: Losses, blockMs: number): LossEffect;
  addClear(
    fingerprint: string,
    stamp: number,
    isFleetWide: boolean,
  ): ClearEffect;
}

function hasEnough({ targets, unexplainedStamp }: Losses): boolean {
  return targets.size >= TARGETS_TO_BLOCK && unexplainedStamp > 0;
}

/** Returns the largest stamp of the losses; a clear with this stamp clears them all. */
export function getLastStamp(losses: Losses): number {
  return Math.max(losses.unexplainedStamp, ...losses.targets.values());
}

/** Creates an empty list. */
export function createEvidence(clock: Clock.Clock): Evidence {
  const suspicions = new Map<string, Suspicion>();
  const clears = new Map<string, Clear>();
  /** Time in ms by which the stamps of other instances were ahead of the local wall clock at most. */
  let clockLeadMs = 0;

  function getStampNow(): number {
    return clock.wallMs() + clockLeadMs;
  }

  function recordStamp(stamp: number): void {
    const leadMs = stamp - clock.wallMs();
    if (leadMs <= MAX_CLOCK_LEAD_MS) {
      clockLeadMs = Math.max(clockLeadMs, leadMs);
    }
  }

  function evict<T>(entries: Map<string, T>, getAtMs: (entry: T) => number) {
    const now = clock.nowMs();
    for (const [fingerprint, entry] of entries) {
      const isExpired = now - getAtMs(entry) > TTL_MS;
      if (!isExpired && entries.size <= MAX_FINGERPRINTS) return;
      entries.delete(fingerprint);
    }
  }

  function getSuspicion(fingerprint: string): Suspicion | undefined {
    const suspicion = suspicions.get(fingerprint);
    if (suspicion === undefined) return undefined;
    const isExpired = clock.nowMs() - suspicion.lastLossAtMs > TTL_MS;
    return isExpired ? undefined : suspicion;
  }

  function getClearStamp(fingerprint: string): number {
    return clears.get(fingerprint)?.stamp ?? 0;
  }

  function isBlocked(fingerprint: string): boolean {
    const suspicion = suspicions.get(fingerprint);
    return suspicion !== undefined && clock.nowMs() < suspicion.blockedUntilMs;
  }

  /** Returns the losses that a clear with this stamp leaves in force. */
  function getRemaining(losses: Losses, clearStamp: number): Losses {
    const { targets, unexplainedStamp } = losses;
    return {
      targets: new Map([...targets].filter(([, stamp]) => stamp > clearStamp)),
      unexplainedStamp: unexplainedStamp > clearStamp ? unexplainedStamp : 0,
    };
  }

  function merge(before: Losses | undefined, added: Losses): Losses {
    const targets = new Map(before?.targets);
    for (const [target, stamp] of added.targets) {
      const known = targets.get(target);
      if (known === undefined && targets.size >= MAX_SUSPECTED_TARGETS) {
        continue;
      }
      targets.set(target, Math.max(known ?? 0, stamp));
    }
    const unexplainedStamp = Math.max(
      before?.unexplainedStamp ?? 0,
      added.unexplainedStamp,
    );
    return { targets, unexplainedStamp };
  }

  return {
    getSuspicion,
    getClear: (fingerprint) => clears.get(fingerprint),
    getSuspicions: () => suspicions,
    getClears: () => clears,
    isBlocked,
    hasBlockEvidence(fingerprint) {
      const suspicion = getSuspicion(fingerprint);
      return suspicion !== undefined && hasEnough(suspicion);
    },
    createLossStamp: (fingerprint) =>
      Math.max(getStampNow(), getClearStamp(fingerprint) + 1),
    createClearStamp(fingerprint) {
      const suspicion = getSuspicion(fingerprint);
      return Math.max(
        getStampNow(),
        getClearStamp(fingerprint) + 1,
        suspicion === undefined ? 0 : getLastStamp(suspicion),
      );
    },
    addLosses(fingerprint, losses, blockMs) {
      const now = clock.nowMs();
      recordStamp(getLastStamp(losses));
      const added = getRemaining(losses, getClearStamp(fingerprint));
      if (added.targets.size === 0) {
        return { isNew: false, isNewlyBlocked: false };
      }
      const before = getSuspicion(fingerprint);
      const merged = merge(before, added);
      const wasBlocked = isBlocked(fingerprint);
      const blockedBeforeMs = before?.blockedUntilMs ?? -Infinity;
      const blockedUntilMs = hasEnough(merged)
        ? Math.max(blockedBeforeMs, now + blockMs)
        : blockedBeforeMs;
      suspicions.delete(fingerprint);
      suspicions.set(fingerprint, {
        ...merged,
        firstLossAtMs: before?.firstLossAtMs ?? now,
        lastLossAtMs: now,
        blockedUntilMs,
      });
      evict(suspicions, ({ lastLossAtMs }) => lastLossAtMs);
      const isNewlyBlocked = !wasBlocked && blockedUntilMs > now;
      const isNew = isNewlyBlocked ||
        merged.targets.size > (before?.targets.size ?? 0) ||
        merged.unexplainedStamp > 0 && (before?.unexplainedStamp ?? 0) === 0;
      return { isNew, isNewlyBlocked };
    },
    addClear(fingerprint, stamp, isFleetWide) {
      const now = clock.nowMs();
      recordStamp(stamp);
      const known = clears.get(fingerprint);
      const isLater = stamp > (known?.stamp ?? 0);
      const isWider = stamp === known?.stamp && isFleetWide &&
        !known.isFleetWide;
      const before = getSuspicion(fingerprint);
      const wasBlocked = isBlocked(fingerprint);
      if (!isLater && !isWider) {
        return {
          isNew: false,
          wasBlocked,
          isBlockLifted: false,
          remaining: before,
        };
      }
      clears.delete(fingerprint);
      clears.set(fingerprint, { stamp, isFleetWide, atMs: now });
      evict(clears, ({ atMs }) => atMs);
      if (before === undefined) {
        suspicions.delete(fingerprint);
        return {
          isNew: true,
          wasBlocked,
          isBlockLifted: false,
          remaining: undefined,
        };
      }
      const losses = getRemaining(before, stamp);
      const isStillBlocked = wasBlocked && hasEnough(losses);
      const remaining = losses.targets.size === 0 ? undefined : {
        ...before,
        ...losses,
        firstLossAtMs: losses.targets.size < before.targets.size
          ? now
          : before.firstLossAtMs,
        blockedUntilMs: isStillBlocked ? before.blockedUntilMs : -Infinity,
      };
      if (remaining === undefined) suspicions.delete(fingerprint);
      else suspicions.set(fingerprint, remaining);
      const isBlockLifted = wasBlocked && !isStillBlocked;
      return { isNew: true, wasBlocked, isBlockLifted, remaining };
    },
  };
}
