/**
 * What targets say of themselves in their responses to this instance: that they leave,
 * and that they want nothing for a while. A target that has said so gets no request
 * from this instance, whatever its entry in the store, its health or peers say.
 *
 * A target that leaves does so for good: the statement holds until another process has
 * its id. One that wants nothing names the time itself.
 */
import type * as Clock from "../clock.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

/** A target can't keep itself from work for longer by one response, ms. */
const MAX_REFUSAL_MS = 60_000;
/** Part of the stated time that is added at random, so that instances don't return together. */
const RETURN_SPREAD = 0.1;
const MAX_RETURN_SPREAD_MS = 500;

/** A process that leaves has ended long before this time; its statements are dropped then, ms. */
const MAX_KEPT_MS = 3_600_000;

/** Why a target gets no request from this instance. */
export type Statement =
  | { readonly kind: "leaving" }
  /** Monotonic ms until which it wants nothing. */
  | { readonly kind: "wants-nothing"; readonly untilMs: number };

/** A process of a target; another one may get the same id. */
export type TargetProcess = Pick<
  GatewayTypes.TargetEntry,
  "id" | "startedAtMs"
>;

/** The statements of all targets. */
export interface TargetStatements {
  /** Records what a response says. */
  recordResponse(
    target: TargetProcess,
    fields: Pick<GatewayTypes.ResponseFields, "isLeaving" | "refusalMs">,
  ): void;
  /** Returns the statement that is in force; undefined if the target may get requests. */
  tryGet(target: TargetProcess): Statement | undefined;
}

interface Stated {
  readonly startedAtMs: number;
  /** Monotonic ms of the first statement. */
  readonly statedAtMs: number;
  isLeaving: boolean;
  untilMs: number;
}

/** Creates the record without statements. */
export function createTargetStatements(
  clock: Clock.Clock,
  log: Log.Logger,
): TargetStatements {
  const stated = new Map<Types.TargetId, Stated>();

  function tryGetStated(target: TargetProcess): Stated | undefined {
    const known = stated.get(target.id);
    return known?.startedAtMs === target.startedAtMs ? known : undefined;
  }

  function getStated(target: TargetProcess): Stated {
    const known = tryGetStated(target);
    if (known !== undefined) return known;
    const statedAtMs = clock.nowMs();
    for (const [id, { statedAtMs: otherMs }] of stated) {
      if (statedAtMs - otherMs > MAX_KEPT_MS) stated.delete(id);
    }
    const created = {
      startedAtMs: target.startedAtMs,
      statedAtMs,
      isLeaving: false,
      untilMs: -Infinity,
    };
    stated.set(target.id, created);
    return created;
  }

  return {
    recordResponse(target, { isLeaving, refusalMs }) {
      if (!isLeaving && refusalMs === undefined) return;
      const known = getStated(target);
      const { id } = target;
      if (isLeaving && !known.isLeaving) {
        known.isLeaving = true;
        log.info("target-says-leaving", { target: id });
      }
      if (refusalMs === undefined) return;
      const boundedMs = Math.min(refusalMs, MAX_REFUSAL_MS);
      const spreadMs = Math.min(
        boundedMs * RETURN_SPREAD,
        MAX_RETURN_SPREAD_MS,
      );
      const untilMs = clock.nowMs() + boundedMs + spreadMs * Math.random();
      if (untilMs <= known.untilMs) return;
      known.untilMs = untilMs;
      log.info("target-wants-nothing", { target: id, ms: refusalMs });
    },
    tryGet(target) {
      const known = tryGetStated(target);
      if (known === undefined) return undefined;
      if (known.isLeaving) return { kind: "leaving" };
      const { untilMs } = known;
      return untilMs > clock.nowMs()
        ? { kind: "wants-nothing", untilMs }
        : undefined;
    },
  };
}
