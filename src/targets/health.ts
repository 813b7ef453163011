/**
 * Health of targets from requests and probes. Promise: ejection removes at most
 * half of a service's targets in a region and never the last one; a target
 * whose address takes no connection is dead, which is a fact and not bounded.
 * A health endpoint that lies is outweighed by failing requests, one that hangs
 * by the bound.
 */
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import type * as Log from "../log.ts";
import * as Entry from "./entry.ts";

/** Failed answers in a row that eject; a broken or timed-out exchange counts twice. */
const FAILURE_LIMIT = 4;
const HARD_FAILURE = 2;
/** Probes in a row without a connection after which a target counts as dead. */
const UNREACHABLE_LIMIT = 2;
const EJECTION_MIN_MS = 2_000;
const EJECTION_MAX_MS = 30_000;
/** After this time without ejection the next one is short again. */
const EJECTION_FORGET_MS = 60_000;

const LATENCY_ALPHA = 0.2;
const LATENCY_MIN_SAMPLES = 5;
const LATENCY_MIN_TARGETS = 3;
const LATENCY_FACTOR = 4;
/** Below this distance from the median a factor is noise of fast services. */
const LATENCY_MIN_EXCESS_MS = 100;
const LATENCY_CHECKS = 2;

/** How the health endpoint was reached. */
export type ProbeReach = "ok" | "failed" | "refused" | "unreachable";

/** Outcome of one probe of health and load. */
export interface ProbeResult {
  readonly reach: ProbeReach;
  /** Monotonic ms at which the probe was sent. */
  readonly startedAtMs: number;
  /** Health, load or a header said that the target is leaving. */
  readonly isLeaving: boolean;
  readonly load: { readonly inUse: number; readonly slots: number } | undefined;
}

/** Changes states of entries. */
export interface Health {
  /** Takes the end of an exchange in; true when a probe should follow at once. */
  takeVerdict(entry: Entry.Entry, verdict: Contracts.TargetOutcome): boolean;
  takeProbe(entry: Entry.Entry, result: ProbeResult): void;
  markLeaving(entry: Entry.Entry, reason: string): void;
  setState(
    entry: Entry.Entry,
    state: Entry.Entry["state"],
    reason: string,
  ): void;
  /** Ejects targets that are far slower than the others of their group. */
  checkLatency(group: readonly Entry.Entry[]): void;
  /** Takes targets back when other changes left too many ejected. */
  restoreExcess(group: readonly Entry.Entry[]): void;
}

/** What health needs of its surroundings. */
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

/** Ejected targets over the bound; negative while there is room for more. */
function getExcess(group: readonly Entry.Entry[]): number {
  let ejected = 0;
  let all = 0;
  for (const entry of group) {
    if (entry.state === "ejected") ejected++;
    if (entry.state === "ejected" || Entry.isUsable(entry)) all++;
  }
  return ejected - Math.floor(all / 2);
}

/** Creates the state changes over the directory's groups. */
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
    entry.suspectedFrom = undefined;
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
    if (getExcess(getGroup(entry)) >= 0) return false;
    const now = nowMs();
    const isForgotten = now - entry.usableSinceMs > EJECTION_FORGET_MS;
    entry.ejections = isForgotten ? 1 : entry.ejections + 1;
    const backoffMs = EJECTION_MIN_MS * 2 ** Math.min(entry.ejections - 1, 8);
    entry.ejectedUntilMs = now + Math.min(backoffMs, EJECTION_MAX_MS);
    setState(entry, "ejected", reason);
    return true;
  }

  /** Keeps new work away until a probe says whether the target is alive. */
  function suspect(entry: Entry.Entry): void {
    if (entry.state !== "cold" && entry.state !== "usable") return;
    if (getExcess(getGroup(entry)) >= 0) return;
    const from = entry.state;
    setState(entry, "ejected", "connection-broke");
    entry.suspectedFrom = from;
    entry.suspectedAtMs = nowMs();
  }

  function restoreExcess(group: readonly Entry.Entry[]): void {
    while (getExcess(group) > 0) {
      const ejected = group.filter((entry) => entry.state === "ejected");
      const oldest = ejected.toSorted((a, b) =>
        a.ejectedUntilMs - b.ejectedUntilMs
      )[0];
      if (oldest === undefined) return;
      setState(oldest, "cold", "too-many-ejected");
    }
  }

  function countFailure(entry: Entry.Entry, by: number, reason: string): void {
    entry.requestFailures += by;
    if (entry.requestFailures >= FAILURE_LIMIT) tryEject(entry, reason);
  }

  function takeAnswer(
    entry: Entry.Entry,
    status: number,
    latencyMs: number,
  ): void {
    entry.shedsInRow = 0;
    if (status >= 500) return countFailure(entry, 1, "failed-answers");
    entry.requestFailures = 0;
    entry.probeFailures = 0;
    const isFirst = entry.latencyMs === 0;
    const change = LATENCY_ALPHA * (latencyMs - entry.latencyMs);
    entry.latencyMs = isFirst ? latencyMs : entry.latencyMs + change;
    entry.latencySamples++;
  }

  function takeVerdict(
    entry: Entry.Entry,
    verdict: Contracts.TargetOutcome,
  ): boolean {
    switch (verdict.kind) {
      case "answered":
        takeAnswer(entry, verdict.status, verdict.latencyMs);
        return false;
      case "shed":
        Entry.takeShed(entry, nowMs(), random());
        return false;
      case "connect-failed":
      case "broke":
        countFailure(entry, HARD_FAILURE, verdict.kind);
        suspect(entry);
        return true;
      case "timed-out":
        countFailure(entry, HARD_FAILURE, verdict.kind);
        return true;
      case "cancelled":
        return false;
      default:
        return Debug.assertNever(verdict);
    }
  }

  function markLeaving(entry: Entry.Entry, reason: string): void {
    entry.hasAnnouncedLeaving = true;
    entry.returnGateMs = undefined;
    entry.heldUntilMs = undefined;
    setState(entry, "leaving", reason);
  }

  /** Goes back to the state before the suspicion, without a new slow start. */
  function endSuspicion(
    entry: Entry.Entry,
    from: "cold" | "usable",
    result: ProbeResult,
  ): void {
    // A probe sent before the connection broke says nothing about it.
    if (result.startedAtMs < entry.suspectedAtMs) return;
    const { coldSinceMs, usableSinceMs, requestFailures } = entry;
    setState(entry, from, "probe-ok");
    Object.assign(entry, { coldSinceMs, usableSinceMs, requestFailures });
  }

  function takeGoodProbe(entry: Entry.Entry, result: ProbeResult): void {
    const now = nowMs();
    entry.lastProbeOkMs = result.startedAtMs;
    entry.probeFailures = 0;
    entry.unreachableProbes = 0;
    if (entry.state === "dead") return setState(entry, "cold", "probe-ok");
    if (entry.state !== "ejected") return;
    const from = entry.suspectedFrom;
    if (from !== undefined) return endSuspicion(entry, from, result);
    if (now >= entry.ejectedUntilMs) setState(entry, "cold", "probe-ok");
  }

  function takeBadProbe(entry: Entry.Entry, reach: ProbeReach): void {
    entry.probeFailures += HARD_FAILURE;
    if (reach === "unreachable") entry.unreachableProbes++;
    const isUnreachable = entry.unreachableProbes >= UNREACHABLE_LIMIT;
    const isDead = reach === "refused" || isUnreachable;
    if (entry.state === "leaving") {
      // A refused connection shows that the process that was leaving has ended.
      if (reach === "refused") entry.returnGateMs = nowMs();
      return;
    }
    if (isDead) return setState(entry, "dead", reach);
    if (entry.suspectedFrom !== undefined) {
      entry.suspectedFrom = undefined;
      entry.ejectedUntilMs = nowMs() + EJECTION_MIN_MS;
      return;
    }
    if (entry.probeFailures >= FAILURE_LIMIT) tryEject(entry, "probe-failed");
  }

  function takeProbe(entry: Entry.Entry, result: ProbeResult): void {
    if (result.load !== undefined) {
      const { inUse, slots } = result.load;
      Entry.takeReport(entry, inUse, slots, nowMs());
    }
    if (result.isLeaving) return markLeaving(entry, "probe");
    if (result.reach === "ok") return takeGoodProbe(entry, result);
    takeBadProbe(entry, result.reach);
  }

  function checkLatency(group: readonly Entry.Entry[]): void {
    const measured = group.filter((entry) =>
      entry.state === "usable" && entry.latencySamples >= LATENCY_MIN_SAMPLES
    );
    if (measured.length < LATENCY_MIN_TARGETS) return;
    const median = getMedian(measured.map((entry) => entry.latencyMs));
    const limit = Math.max(
      median * LATENCY_FACTOR,
      median + LATENCY_MIN_EXCESS_MS,
    );
    for (const entry of measured) {
      entry.latencySamples = 0;
      const isSlow = entry.latencyMs > limit;
      entry.slowChecks = isSlow ? entry.slowChecks + 1 : 0;
      if (entry.slowChecks < LATENCY_CHECKS) continue;
      if (!tryEject(entry, "slow")) continue;
      entry.slowChecks = 0;
      entry.latencyMs = 0;
    }
  }

  return {
    takeVerdict,
    takeProbe,
    markLeaving,
    setState,
    checkLatency,
    restoreExcess,
  };
}
