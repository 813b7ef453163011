/**
 * Health of targets, from requests and probes. Guarantee: ejection removes at
 * most half of a service's targets in a region and never the last one. A target
 * whose address accepts no connection is certainly dead, so the bound does not
 * apply. Failing requests eject a target whose health endpoint wrongly
 * reports success. If health endpoints hang, the bound limits the ejections.
 */
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import type * as Log from "../log.ts";
import * as Entry from "./entry.ts";

/** Consecutive failed responses that eject a target; a lost connection or timed-out exchange counts twice. */
const FAILURE_LIMIT = 4;
const HARD_FAILURE_WEIGHT = 2;
/** Consecutive probes without a connection after which a target counts as dead. */
const UNREACHABLE_LIMIT = 2;
const EJECTION_MIN_MS = 2_000;
const EJECTION_MAX_MS = 30_000;
/** After this time without an ejection the backoff restarts at `EJECTION_MIN_MS`. */
const EJECTION_RESET_MS = 60_000;

const LATENCY_ALPHA = 0.2;
const LATENCY_MIN_SAMPLES = 5;
const LATENCY_MIN_TARGETS = 3;
const LATENCY_OUTLIER_FACTOR = 4;
/** A target within this distance of the median is no outlier: for fast services a multiple of the median is noise. */
const LATENCY_MIN_EXCESS_MS = 100;
const LATENCY_OUTLIER_CHECKS = 2;

/** How the health endpoint responded; "refused" means that the TCP connection was refused. */
export type ProbeReach = "ok" | "failed" | "refused" | "unreachable";

/** Result of one probe of the health and load endpoints. */
export interface ProbeResult {
  readonly reach: ProbeReach;
  /** Monotonic ms at which the probe was sent. */
  readonly startedAtMs: number;
  /** The health or load body, or a response header, reported that the target is leaving. */
  readonly isLeaving: boolean;
  readonly load: { readonly inUse: number; readonly slots: number } | undefined;
}

/** Changes the health states of entries. */
export interface Health {
  /** Records the outcome of an exchange; true if the target should be probed at once. */
  recordOutcome(entry: Entry.Entry, outcome: Contracts.TargetOutcome): boolean;
  recordProbe(entry: Entry.Entry, result: ProbeResult): void;
  markLeaving(entry: Entry.Entry, reason: string): void;
  setState(
    entry: Entry.Entry,
    state: Entry.Entry["state"],
    reason: string,
  ): void;
  /** Ejects targets that are far slower than the median of their group. */
  ejectOutliers(group: readonly Entry.Entry[]): void;
  /** Readmits ejected targets if other state changes put the ejections over the bound. */
  restoreExcess(group: readonly Entry.Entry[]): void;
}

/** Options of `createHealth`; `nowMs` is monotonic and `random` is uniform in [0, 1). */
export interface HealthOptions {
  readonly log: Log.Logger;
  readonly nowMs: () => number;
  readonly random: () => number;
  readonly getGroup: (entry: Entry.Entry) => readonly Entry.Entry[];
}

function getMedian(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  const middle = Math.floor((sorted.length - 1) / 2);
  return sorted[middle] ?? 0;
}

/** Returns the number of ejected targets above the bound; negative while more may be ejected. */
function getExcessEjections(group: readonly Entry.Entry[]): number {
  let ejected = 0;
  let total = 0;
  for (const entry of group) {
    if (entry.state === "ejected") ejected++;
    if (entry.state === "ejected" || Entry.isUsable(entry)) total++;
  }
  return ejected - Math.floor(total / 2);
}

/** Creates the health state machine; the directory holds the entries. */
export function createHealth(opts: HealthOptions): Health {
  const { log, nowMs, random, getGroup } = opts;

  function setState(
    entry: Entry.Entry,
    state: Entry.Entry["state"],
    reason: string,
  ): void {
    if (entry.state === state) return;
    const fields = { target: entry.info.id, from: entry.state, to: state };
    log.info("target-state", { ...fields, reason });
    entry.state = state;
    entry.stateBeforeSuspicion = undefined;
    if (state === "cold") entry.coldSinceMs = nowMs();
    if (state === "usable") entry.usableSinceMs = nowMs();
    if (state === "cold" || state === "usable") {
      entry.requestFailures = 0;
      entry.probeFailures = 0;
      entry.unreachableProbes = 0;
    }
    if (state === "leaving" || state === "dead") restoreExcess(getGroup(entry));
  }

  function tryEject(entry: Entry.Entry, reason: string): boolean {
    if (!Entry.isUsable(entry)) return false;
    if (getExcessEjections(getGroup(entry)) >= 0) return false;
    const now = nowMs();
    const isBackoffReset = now - entry.usableSinceMs > EJECTION_RESET_MS;
    entry.ejections = isBackoffReset ? 1 : entry.ejections + 1;
    const backoffMs = EJECTION_MIN_MS * 2 ** Math.min(entry.ejections - 1, 8);
    entry.ejectedUntilMs = now + Math.min(backoffMs, EJECTION_MAX_MS);
    setState(entry, "ejected", reason);
    return true;
  }

  /** Ejects the target until a probe shows whether it is alive. */
  function ejectUntilProbe(entry: Entry.Entry): void {
    if (entry.state !== "cold" && entry.state !== "usable") return;
    if (getExcessEjections(getGroup(entry)) >= 0) return;
    const previousState = entry.state;
    setState(entry, "ejected", "connection-broke");
    entry.stateBeforeSuspicion = previousState;
    entry.suspectedAtMs = nowMs();
  }

  function restoreExcess(group: readonly Entry.Entry[]): void {
    while (getExcessEjections(group) > 0) {
      const ejected = group.filter((entry) => entry.state === "ejected");
      const oldest = ejected.toSorted((a, b) =>
        a.ejectedUntilMs - b.ejectedUntilMs
      )[0];
      if (oldest === undefined) return;
      setState(oldest, "cold", "too-many-ejected");
    }
  }

  function recordFailure(
    entry: Entry.Entry,
    weight: number,
    reason: string,
  ): void {
    entry.requestFailures += weight;
    if (entry.requestFailures >= FAILURE_LIMIT) tryEject(entry, reason);
  }

  function recordResponse(
    entry: Entry.Entry,
    status: number,
    latencyMs: number,
  ): void {
    entry.consecutiveSheds = 0;
    if (status >= 500) return recordFailure(entry, 1, "failed-answers");
    entry.requestFailures = 0;
    entry.probeFailures = 0;
    const isFirstSample = entry.meanLatencyMs === 0;
    const changeMs = LATENCY_ALPHA * (latencyMs - entry.meanLatencyMs);
    entry.meanLatencyMs = isFirstSample
      ? latencyMs
      : entry.meanLatencyMs + changeMs;
    entry.latencySamples++;
  }

  function recordOutcome(
    entry: Entry.Entry,
    outcome: Contracts.TargetOutcome,
  ): boolean {
    switch (outcome.kind) {
      case "answered":
        recordResponse(entry, outcome.status, outcome.latencyMs);
        return false;
      case "shed":
        Entry.recordShed(entry, nowMs(), random());
        return false;
      case "connect-failed":
      case "broke":
        recordFailure(entry, HARD_FAILURE_WEIGHT, outcome.kind);
        ejectUntilProbe(entry);
        return true;
      case "timed-out":
        recordFailure(entry, HARD_FAILURE_WEIGHT, outcome.kind);
        return true;
      case "cancelled":
        return false;
      default:
        return Debug.assertNever(outcome);
    }
  }

  function markLeaving(entry: Entry.Entry, reason: string): void {
    entry.hasAnnouncedLeaving = true;
    entry.registrationEvidenceAtMs = undefined;
    entry.dropHeldUntilMs = undefined;
    setState(entry, "leaving", reason);
  }

  /** Restores the state before the connection was lost, without a new slow start. */
  function endSuspicion(
    entry: Entry.Entry,
    previousState: "cold" | "usable",
    result: ProbeResult,
  ): void {
    // A probe sent before the connection was lost is no evidence.
    if (result.startedAtMs < entry.suspectedAtMs) return;
    const { coldSinceMs, usableSinceMs, requestFailures } = entry;
    setState(entry, previousState, "probe-ok");
    Object.assign(entry, { coldSinceMs, usableSinceMs, requestFailures });
  }

  function recordProbeOk(entry: Entry.Entry, result: ProbeResult): void {
    const now = nowMs();
    entry.lastProbeOkAtMs = result.startedAtMs;
    entry.probeFailures = 0;
    entry.unreachableProbes = 0;
    if (entry.state === "dead") return setState(entry, "cold", "probe-ok");
    if (entry.state !== "ejected") return;
    const previous = entry.stateBeforeSuspicion;
    if (previous !== undefined) return endSuspicion(entry, previous, result);
    if (now >= entry.ejectedUntilMs) setState(entry, "cold", "probe-ok");
  }

  function recordProbeFailure(entry: Entry.Entry, reach: ProbeReach): void {
    entry.probeFailures += HARD_FAILURE_WEIGHT;
    if (reach === "unreachable") entry.unreachableProbes++;
    const isUnreachable = entry.unreachableProbes >= UNREACHABLE_LIMIT;
    const isDead = reach === "refused" || isUnreachable;
    if (entry.state === "leaving") {
      // A refused connection shows that the leaving process has ended.
      if (reach === "refused") entry.registrationEvidenceAtMs = nowMs();
      return;
    }
    if (isDead) return setState(entry, "dead", reach);
    if (entry.stateBeforeSuspicion !== undefined) {
      entry.stateBeforeSuspicion = undefined;
      entry.ejectedUntilMs = nowMs() + EJECTION_MIN_MS;
      return;
    }
    if (entry.probeFailures >= FAILURE_LIMIT) tryEject(entry, "probe-failed");
  }

  function recordProbe(entry: Entry.Entry, result: ProbeResult): void {
    if (result.load !== undefined) {
      const { inUse, slots } = result.load;
      Entry.recordLoadReport(entry, inUse, slots, nowMs());
    }
    if (result.isLeaving) return markLeaving(entry, "probe");
    if (result.reach === "ok") return recordProbeOk(entry, result);
    recordProbeFailure(entry, result.reach);
  }

  function ejectOutliers(group: readonly Entry.Entry[]): void {
    const measuredEntries = group.filter((entry) =>
      entry.state === "usable" && entry.latencySamples >= LATENCY_MIN_SAMPLES
    );
    if (measuredEntries.length < LATENCY_MIN_TARGETS) return;
    const medianMs = getMedian(
      measuredEntries.map((entry) => entry.meanLatencyMs),
    );
    const limitMs = Math.max(
      medianMs * LATENCY_OUTLIER_FACTOR,
      medianMs + LATENCY_MIN_EXCESS_MS,
    );
    for (const entry of measuredEntries) {
      entry.latencySamples = 0;
      const isSlow = entry.meanLatencyMs > limitMs;
      entry.consecutiveSlowChecks = isSlow
        ? entry.consecutiveSlowChecks + 1
        : 0;
      if (entry.consecutiveSlowChecks < LATENCY_OUTLIER_CHECKS) continue;
      if (!tryEject(entry, "slow")) continue;
      entry.consecutiveSlowChecks = 0;
      entry.meanLatencyMs = 0;
    }
  }

  return {
    recordOutcome,
    recordProbe,
    markLeaving,
    setState,
    ejectOutliers,
    restoreExcess,
  };
}
