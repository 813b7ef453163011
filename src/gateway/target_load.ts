/**
 * What this instance knows of each target's load and soundness: its own requests
 * there, the target's reports, and how recent exchanges ended.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

/** A report says little about the load after this time. */
const REPORT_VALID_MS = 1_500;
/** First pause of a target that can't be reached; doubled with each failure in a row. */
const FIRST_PAUSE_MS = 400;
const MAX_PAUSE_MS = 3_000;
/** Failures in a row of exchanges that had begun, after which a target is paused. */
const BROKEN_STREAK = 3;
/** Weight of the newest exchange in the share that was turned away. */
const SHED_WEIGHT = 0.2;
/** Without new exchanges the share of those turned away halves in this time. */
const SHED_HALF_LIFE_MS = 2_000;

/** How an exchange ended, for the target's account. */
export type Outcome =
  | "answered"
  /** The target turned the request away, not run. */
  | "shed"
  /** No connection. */
  | "unreachable"
  /** The connection or the answer broke, or no answer came in time. */
  | "broke"
  /** The caller left; says nothing about the target. */
  | "cancelled";

/** Load and soundness of targets. */
export interface TargetLoads {
  start(target: Types.TargetId): void;
  end(target: Types.TargetId, outcome: Outcome): void;
  recordReport(target: Types.TargetId, report: GatewayTypes.LoadReport): void;
  /** Requests that run or wait at the target, as far as known. */
  getOutstanding(target: Types.TargetId): number;
  /** Requests of this instance there. */
  getOwn(target: Types.TargetId): number;
  /** Share of recent requests that the target turned away, 0 to 1. */
  getShedShare(target: Types.TargetId): number;
  /** True while the target is left alone after failures. */
  isPaused(target: Types.TargetId): boolean;
  removeTarget(target: Types.TargetId): void;
}

interface Load {
  inFlight: number;
  report: GatewayTypes.LoadReport | undefined;
  reportAtMs: number;
  /** Own requests there when the report came. */
  inFlightAtReport: number;
  failures: number;
  pauseMs: number;
  pausedUntilMs: number;
  shedShare: number;
  shedAtMs: number;
}

/** Creates empty accounts. */
export function createTargetLoads(clock: Clock.Clock): TargetLoads {
  const loads = new Map<Types.TargetId, Load>();

  function get(target: Types.TargetId): Load {
    const known = loads.get(target);
    if (known !== undefined) return known;
    const created: Load = {
      inFlight: 0,
      report: undefined,
      reportAtMs: -Infinity,
      inFlightAtReport: 0,
      failures: 0,
      pauseMs: FIRST_PAUSE_MS,
      pausedUntilMs: -Infinity,
      shedShare: 0,
      shedAtMs: -Infinity,
    };
    loads.set(target, created);
    return created;
  }

  function getShedShare(load: Load): number {
    const ageMs = clock.nowMs() - load.shedAtMs;
    return load.shedShare * 0.5 ** (ageMs / SHED_HALF_LIFE_MS);
  }

  function noteShed(load: Load, isShed: boolean): void {
    const before = getShedShare(load);
    load.shedShare = before + SHED_WEIGHT * ((isShed ? 1 : 0) - before);
    load.shedAtMs = clock.nowMs();
  }

  function noteFailure(load: Load, streak: number): void {
    load.failures++;
    if (load.failures < streak) return;
    load.pausedUntilMs = clock.nowMs() + load.pauseMs;
    load.pauseMs = Math.min(load.pauseMs * 2, MAX_PAUSE_MS);
  }

  function noteSound(load: Load): void {
    load.failures = 0;
    load.pauseMs = FIRST_PAUSE_MS;
    load.pausedUntilMs = -Infinity;
  }

  return {
    start: (target) => void get(target).inFlight++,
    end(target, outcome) {
      const load = get(target);
      load.inFlight = Math.max(0, load.inFlight - 1);
      switch (outcome) {
        case "answered":
          noteSound(load);
          return noteShed(load, false);
        case "shed":
          noteSound(load);
          return noteShed(load, true);
        case "unreachable":
          return noteFailure(load, 1);
        case "broke":
          return noteFailure(load, BROKEN_STREAK);
        case "cancelled":
          return;
      }
    },
    recordReport(target, report) {
      const load = get(target);
      load.report = report;
      load.reportAtMs = clock.nowMs();
      load.inFlightAtReport = load.inFlight;
    },
    getOutstanding(target) {
      const load = loads.get(target);
      if (load === undefined) return 0;
      const ageMs = clock.nowMs() - load.reportAtMs;
      if (load.report === undefined || ageMs > REPORT_VALID_MS) {
        return load.inFlight;
      }
      const { running, waiting } = load.report;
      const since = load.inFlight - load.inFlightAtReport;
      return Math.max(load.inFlight, running + waiting + since);
    },
    getOwn: (target) => loads.get(target)?.inFlight ?? 0,
    getShedShare(target) {
      const load = loads.get(target);
      return load === undefined ? 0 : getShedShare(load);
    },
    isPaused(target) {
      const load = loads.get(target);
      return load !== undefined && load.pausedUntilMs > clock.nowMs();
    },
    removeTarget: (target) => void loads.delete(target),
  };
}
