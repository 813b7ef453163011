/**
 * Holds back what would take the state in force back after the store returned from a
 * copy that is some seconds old (docs/decisions/0013). Operators and targets write
 * again what was lost; until then the store is older than the state in force.
 */
import type * as Clock from "../clock.ts";
import * as Debug from "../debug.ts";
import type * as Log from "../log.ts";
import type * as StateModule from "./state.ts";
import type * as GatewayTypes from "./types.ts";

/** Time after the restore in which operators write again what was lost. */
const OPERATOR_HOLD_MS = 60_000;
/** Timers may fire a little early. */
const TIMER_MARGIN_MS = 5;

/** A change of the state, and where it comes from. */
export interface StoredChange {
  readonly key: string;
  readonly change: GatewayTypes.StateChange;
  /** True for an item that the store may hold from its copy; false for one written since the restore. */
  readonly isRestored: boolean;
  /** The item that was known before, or its deletion. */
  readonly previous: GatewayTypes.StoreItem | undefined;
}

/** Applies the store's changes to the state, some of them only after a hold. */
export interface RestoreGuard {
  /** Applies changes; holds back those of a restored store that would take the state back. */
  apply(changes: readonly StoredChange[]): void;
  /** Number of keys whose restored items are held back. */
  getHeldCount(): number;
  /** Items, and deletions, that are in force instead of what the store holds; for instances that started after the restore. */
  getSuperseding(): readonly GatewayTypes.StoreItem[];
  /** Puts an item in force that a peer reports as superseding; `stored` is the store's change of its key. */
  adopt(
    superseding: GatewayTypes.StoreItem,
    inForce: GatewayTypes.StateChange,
    stored: StoredChange,
  ): void;
}

interface HeldChange {
  readonly change: GatewayTypes.StateChange;
  /** Item in force meanwhile. */
  readonly superseding: GatewayTypes.StoreItem | undefined;
  /** Monotonic time at which the change takes effect, ms. */
  readonly untilMs: number;
}

/** Creates a guard that holds nothing back yet. */
export function createRestoreGuard(opts: {
  readonly state: StateModule.State;
  /** Time since the restore, ms; undefined if none is known. */
  readonly getRestoreAgeMs: () => number | undefined;
  /** Time after the restore in which live targets write their entries again and the store removes those of others, ms. */
  readonly targetHoldMs: number;
  readonly clock: Clock.Clock;
  readonly sleep: (ms: number) => Promise<void>;
  readonly log: Log.Logger;
}): RestoreGuard {
  const { clock, log, state } = opts;
  const heldChanges = new Map<string, HeldChange>();

  function isOlderTarget(
    entry: GatewayTypes.TargetEntry,
    previous: GatewayTypes.StoreItem | undefined,
  ): boolean {
    const known = state.tryGetTarget(entry.id)?.entry;
    if (known === undefined) {
      return previous !== undefined && previous.value === undefined;
    }
    if (entry.startedAtMs !== known.startedAtMs) {
      return entry.startedAtMs < known.startedAtMs;
    }
    return known.isLeaving && !entry.isLeaving;
  }

  /** True if the change would replace newer state. */
  function isStepBack({ change, previous }: StoredChange): boolean {
    switch (change.kind) {
      case "config":
        return change.config.version < (state.getConfig()?.version ?? 0);
      case "evacuation":
        return !change.isActive && state.isEvacuated(change.domain);
      case "target":
        return isOlderTarget(change.entry, previous);
      case "target-gone":
        return state.tryGetTarget(change.id) !== undefined;
      case "unreadable":
        return false;
      default:
        return Debug.assertNever(change);
    }
  }

  function getHoldMs({ kind }: GatewayTypes.StateChange): number {
    const isTarget = kind === "target" || kind === "target-gone";
    return isTarget ? opts.targetHoldMs : OPERATOR_HOLD_MS;
  }

  /** Returns the time until which the change is held back, possibly a past one; undefined if it takes effect at once. */
  function tryGetHoldEnd(stored: StoredChange): number | undefined {
    const ageMs = opts.getRestoreAgeMs();
    if (ageMs === undefined) return undefined;
    const remainingMs = getHoldMs(stored.change) - ageMs;
    // Operators may write their versions again in series, each with a change of its own.
    const isSeries = stored.change.kind === "config" && remainingMs > 0;
    const mayBeOlder = stored.isRestored || isSeries;
    if (!mayBeOlder || !isStepBack(stored)) return undefined;
    return clock.nowMs() + remainingMs;
  }

  function releaseDue(): void {
    const now = clock.nowMs();
    for (const [key, { change, untilMs }] of heldChanges) {
      if (untilMs > now) continue;
      heldChanges.delete(key);
      log.info("restored-item-in-force", { key, kind: change.kind });
      state.applyRollback(change);
    }
  }

  function hold(key: string, held: HeldChange): void {
    const delayMs = Math.round(held.untilMs - clock.nowMs());
    log.info("restored-item-held", { key, kind: held.change.kind, delayMs });
    heldChanges.set(key, held);
    void opts.sleep(delayMs + TIMER_MARGIN_MS).then(releaseDue);
  }

  /** Holds the change back if it would take the state back; returns false if it takes effect at once. */
  function tryHold(stored: StoredChange): boolean {
    const { change, key, previous } = stored;
    const superseding = heldChanges.get(key)?.superseding ?? previous;
    heldChanges.delete(key);
    const untilMs = tryGetHoldEnd(stored);
    if (untilMs === undefined) return false;
    // An instance that was cut off may learn of the restore only after the hold.
    if (untilMs <= clock.nowMs()) state.applyRollback(change);
    else hold(key, { change, superseding, untilMs });
    return true;
  }

  return {
    apply(changes) {
      const immediate = changes.filter((stored) => !tryHold(stored));
      state.applyAll(immediate.map(({ change }) => change));
    },
    getSuperseding: () =>
      [...heldChanges.values()].map(({ superseding }) => superseding)
        .filter((item) => item !== undefined),
    adopt(superseding, inForce, stored) {
      if (heldChanges.has(stored.key) || !stored.isRestored) return;
      state.apply(inForce);
      tryHold({ ...stored, previous: superseding });
    },
    getHeldCount: () => heldChanges.size,
  };
}
