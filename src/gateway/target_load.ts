/**
 * Tracks each target's load and health as this instance sees them: its own
 * requests in flight, the target's load reports, those that other instances passed
 * on (`load_exchange.ts`), and the outcomes of recent exchanges.
 */
import type * as Clock from "../clock.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

/** Age up to which a load report is used. */
const REPORT_VALID_MS = 1_500;
/**
 * Time in which a report that another instance passed on loses 63% of its weight,
 * ms: most of a queue has been served by then, and all instances act on the same
 * report. In the model, 400 ms serve fewer requests in time, 1 s rejects more when
 * affinity keys are equally popular, and reports without decay make all instances
 * avoid the same targets in turns.
 */
const PEER_REPORT_DECAY_MS = 700;
/** First pause of a target that can't be reached; it doubles with each further failure in a row. */
const FIRST_PAUSE_MS = 400;
const MAX_PAUSE_MS = 3_000;
/** Number of exchanges in a row that must fail after they began before a target is paused. */
const BROKEN_EXCHANGES_TO_PAUSE = 3;
/** Weight of the newest exchange in the share of shed requests. */
const SHED_WEIGHT = 0.2;
/** Time in which the share of shed requests halves while there are no new exchanges. */
const SHED_HALF_LIFE_MS = 2_000;

/** How an exchange with a target ended. */
export type Outcome =
  /** The target responded. */
  | "answered"
  /** The target shed the request without running it. */
  | "shed"
  /** No connection could be made, or another target has the address. */
  | "unreachable"
  /** The connection was lost, the response was malformed, or none came before the deadline. */
  | "broke"
  /** The caller disconnected, which says nothing about the target. */
  | "cancelled";

/** Load and health of all targets. */
export interface TargetLoads {
  /** Records that a request is sent to the target. */
  start(target: Types.TargetId): void;
  /** Records that a request at the target ended. */
  end(target: Types.TargetId, outcome: Outcome): void;
  recordReport(target: Types.TargetId, report: GatewayTypes.LoadReport): void;
  /** Records requests that run or wait at the target according to a report that another instance read at `atMs` (monotonic ms). */
  recordPeerReport(
    target: Types.TargetId,
    outstanding: number,
    atMs: number,
  ): void;
  /** Requests of all instances that run or wait at the target, as far as this instance knows. */
  getOutstanding(target: Types.TargetId): number;
  /** Share of recent requests that the target shed, 0 to 1. */
  getShedShare(target: Types.TargetId): number;
  /** Returns true while the target gets no requests because of failures. */
  isPaused(target: Types.TargetId): boolean;
  /** What the estimate and a pause rest on; undefined for a target of which nothing is known. */
  tryGetKnowledge(target: Types.TargetId): LoadKnowledge | undefined;
  /** Ends all pauses, as failures were this instance's own. */
  resumeAll(): void;
  removeTarget(target: Types.TargetId): void;
}

/** What this instance knows of a target's load. */
export interface LoadKnowledge {
  /** Requests of this instance in flight at the target. */
  readonly inFlight: number;
  /** The target's last load report to this instance and its age, ms. */
  readonly report: GatewayTypes.LoadReport | undefined;
  readonly reportAgeMs: number | undefined;
  /** Age of the newest report that another instance passed on, ms. */
  readonly peerReportAgeMs: number | undefined;
  /** Failed exchanges in a row. */
  readonly failures: number;
  /** Remaining time of the pause after failures, ms; 0 without one. */
  readonly pauseLeftMs: number;
}

interface Load {
  /** Requests of this instance in flight at the target. */
  inFlight: number;
  /** Monotonic ms at which the requests in flight were sent, as if they ended in order; the oldest first. */
  readonly sentAtMs: number[];
  /** The target's last load report. */
  report: GatewayTypes.LoadReport | undefined;
  reportAtMs: number;
  /** Requests of this instance in flight when the report arrived. */
  inFlightAtReport: number;
  /** Requests at the target according to the newest report that was passed on. */
  peerOutstanding: number;
  peerReportAtMs: number;
  /** Failures in a row. */
  failures: number;
  /** Length of the next pause, ms. */
  pauseMs: number;
  pausedUntilMs: number;
  /** Share of shed requests at `shedAtMs`, 0 to 1. */
  shedShare: number;
  shedAtMs: number;
}

/** Creates an empty record of loads. */
export function createTargetLoads(clock: Clock.Clock): TargetLoads {
  const loads = new Map<Types.TargetId, Load>();

  function getLoad(target: Types.TargetId): Load {
    const existing = loads.get(target);
    if (existing !== undefined) return existing;
    const created: Load = {
      inFlight: 0,
      sentAtMs: [],
      report: undefined,
      reportAtMs: -Infinity,
      inFlightAtReport: 0,
      peerOutstanding: 0,
      peerReportAtMs: -Infinity,
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

  function recordShed(load: Load, isShed: boolean): void {
    const shedShare = getShedShare(load);
    load.shedShare = shedShare + SHED_WEIGHT * ((isShed ? 1 : 0) - shedShare);
    load.shedAtMs = clock.nowMs();
  }

  /** Pauses the target from the `failuresToPause`th failure in a row. */
  function recordFailure(load: Load, failuresToPause: number): void {
    load.failures++;
    if (load.failures < failuresToPause) return;
    load.pausedUntilMs = clock.nowMs() + load.pauseMs;
    load.pauseMs = Math.min(load.pauseMs * 2, MAX_PAUSE_MS);
  }

  function recordHealthy(load: Load): void {
    load.failures = 0;
    load.pauseMs = FIRST_PAUSE_MS;
    load.pausedUntilMs = -Infinity;
  }

  /** Requests at the target by this instance's own requests and reports. */
  function getOwnEstimate(load: Load): number {
    const reportAgeMs = clock.nowMs() - load.reportAtMs;
    if (load.report === undefined || reportAgeMs > REPORT_VALID_MS) {
      return load.inFlight;
    }
    const { running, waiting } = load.report;
    const changeSinceReport = load.inFlight - load.inFlightAtReport;
    return Math.max(load.inFlight, running + waiting + changeSinceReport);
  }

  /** Requests at the target by the report that was passed on, its age and what this instance has sent since. */
  function getPeerEstimate(load: Load): number {
    const { peerOutstanding, peerReportAtMs, sentAtMs } = load;
    // A newer report of this instance's own replaces it.
    if (peerReportAtMs <= load.reportAtMs) return 0;
    const ageMs = clock.nowMs() - peerReportAtMs;
    const remaining = peerOutstanding * Math.exp(-ageMs / PEER_REPORT_DECAY_MS);
    let sentSince = 0;
    for (const atMs of sentAtMs) if (atMs > peerReportAtMs) sentSince++;
    return remaining + sentSince;
  }

  return {
    start(target) {
      const load = getLoad(target);
      load.inFlight++;
      load.sentAtMs.push(clock.nowMs());
    },
    end(target, outcome) {
      const load = getLoad(target);
      load.inFlight = Math.max(0, load.inFlight - 1);
      load.sentAtMs.shift();
      switch (outcome) {
        case "answered":
          recordHealthy(load);
          return recordShed(load, false);
        case "shed":
          recordHealthy(load);
          return recordShed(load, true);
        case "unreachable":
          return recordFailure(load, 1);
        case "broke":
          return recordFailure(load, BROKEN_EXCHANGES_TO_PAUSE);
        case "cancelled":
          return;
      }
    },
    recordReport(target, report) {
      const load = getLoad(target);
      load.report = report;
      load.reportAtMs = clock.nowMs();
      load.inFlightAtReport = load.inFlight;
    },
    recordPeerReport(target, outstanding, atMs) {
      const load = getLoad(target);
      if (atMs <= load.peerReportAtMs) return;
      load.peerOutstanding = outstanding;
      load.peerReportAtMs = atMs;
    },
    getOutstanding(target) {
      const load = loads.get(target);
      return load === undefined
        ? 0
        : Math.max(getOwnEstimate(load), getPeerEstimate(load));
    },
    getShedShare(target) {
      const load = loads.get(target);
      return load === undefined ? 0 : getShedShare(load);
    },
    isPaused(target) {
      const load = loads.get(target);
      return load !== undefined && load.pausedUntilMs > clock.nowMs();
    },
    tryGetKnowledge(target) {
      const load = loads.get(target);
      if (load === undefined) return undefined;
      const nowMs = clock.nowMs();
      const getAgeMs = (atMs: number) =>
        atMs === -Infinity ? undefined : nowMs - atMs;
      return {
        inFlight: load.inFlight,
        report: load.report,
        reportAgeMs: getAgeMs(load.reportAtMs),
        peerReportAgeMs: getAgeMs(load.peerReportAtMs),
        failures: load.failures,
        pauseLeftMs: Math.max(0, load.pausedUntilMs - nowMs),
      };
    },
    resumeAll: () => loads.forEach(recordHealthy),
    removeTarget: (target) => void loads.delete(target),
  };
}
