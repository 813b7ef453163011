/**
 * State of one target as this instance sees it, and the number of requests that
 * it may run there. Guarantee: the limit never exceeds the target's slots. It
 * exceeds the slots that this instance owns only with a fresh load report, and
 * then by at most half of the unused slots. If a report is wrong, the target
 * sheds, and each shed lowers the limit.
 */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";

/** Duration of the slow start, in which a cold target ramps up from one slot to all. */
export const SLOW_START_MS = 10_000;
/** Interval at which a limit that was lowered by a shed grows by one request. */
export const SHED_STEP_MS = 1_000;
/** Longest pause of a target that sheds everything, before jitter. */
const MAX_PAUSE_MS = 8_000;
/** Longest age of a usable report: 2.5 times the shortest probe interval, so that one lost probe does no harm. */
const REPORT_FRESH_MS = 2_500;

/** A target's response to `GET /load`, with the monotonic time of its arrival. */
export interface LoadReport {
  readonly inUse: number;
  readonly slots: number;
  readonly atMs: number;
  /** This instance's requests in flight when the report arrived. */
  readonly localInFlight: number;
}

/** State of one target. Times are monotonic ms. */
export interface Entry {
  info: Types.PlatformInstance;
  state: Contracts.TargetView["state"];
  inFlight: number;
  /** When the target became cold and its slow start began. */
  coldSinceMs: number;

  /** The last list contains the target, in a state other than leaving. */
  isListedLive: boolean;
  isListed: boolean;
  /**
   * When the target disappeared from the list. Its entry is kept for a while,
   * because a stale list may show it again.
   */
  droppedAtMs: number;
  /** Until this time, a drop together with most targets of the service is treated as a fault of the list. */
  dropHeldUntilMs: number | undefined;
  /** The target or the list reported the state leaving; a drop from the list alone does not set this. */
  hasAnnouncedLeaving: boolean;
  /** When evidence arrived that a leaving target has registered anew. */
  registrationEvidenceAtMs: number | undefined;

  requestFailures: number;
  probeFailures: number;
  unreachableProbes: number;
  ejections: number;
  ejectedUntilMs: number;
  /** Set from a lost connection until the next probe: the state to restore if that probe succeeds. */
  stateBeforeSuspicion: "cold" | "usable" | undefined;
  suspectedAtMs: number;
  usableSinceMs: number;
  /** Start of the last successful probe. */
  lastProbeOkAtMs: number;

  /** Exponentially weighted mean of response latencies; 0 until the first sample and after an ejection for slowness. */
  meanLatencyMs: number;
  latencySamples: number;
  consecutiveSlowChecks: number;

  report: LoadReport | undefined;
  /**
   * Most requests that may be added to those in flight at the last report, on
   * idle slots of other instances.
   */
  overflowCredit: number;

  lastShedAtMs: number;
  /** Requests permitted right after the last shed; Infinity without one. */
  shedLimit: number;
  consecutiveSheds: number;
  pausedUntilMs: number;
  /** Until this time, new work waits for a probe sent at or after `recheckSinceMs`. */
  recheckUntilMs: number;
  recheckSinceMs: number;

  /** Slots that this instance owns, as of assignment `ownedSlotsEpoch`; -1 before the first. */
  ownedSlots: readonly number[];
  ownedSlotsEpoch: number;
  nextProbeAtMs: number;
  isProbing: boolean;
}

/** Creates the entry of a new target; `now` is monotonic ms, as in all functions of this module. */
export function createEntry(info: Types.PlatformInstance, now: number): Entry {
  const isLeaving = info.state === "leaving";
  return {
    info,
    state: isLeaving ? "leaving" : "cold",
    inFlight: 0,
    coldSinceMs: now,
    isListedLive: !isLeaving,
    isListed: true,
    droppedAtMs: 0,
    dropHeldUntilMs: undefined,
    hasAnnouncedLeaving: isLeaving,
    registrationEvidenceAtMs: undefined,
    requestFailures: 0,
    probeFailures: 0,
    unreachableProbes: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    stateBeforeSuspicion: undefined,
    suspectedAtMs: 0,
    usableSinceMs: now,
    lastProbeOkAtMs: -Infinity,
    meanLatencyMs: 0,
    latencySamples: 0,
    consecutiveSlowChecks: 0,
    report: undefined,
    overflowCredit: 1,
    lastShedAtMs: -Infinity,
    shedLimit: Infinity,
    consecutiveSheds: 0,
    pausedUntilMs: -Infinity,
    recheckUntilMs: -Infinity,
    recheckSinceMs: -Infinity,
    ownedSlots: [],
    ownedSlotsEpoch: -1,
    nextProbeAtMs: now,
    isProbing: false,
  };
}

/** True if the target's health state permits new work. */
export function isUsable(entry: Entry): boolean {
  return entry.state === "cold" || entry.state === "usable";
}

/** True while the target gets no new work because it shed with no request of this instance in flight. */
export function isPaused(entry: Entry, now: number): boolean {
  return now < entry.pausedUntilMs;
}

/** True while the target must be probed again, because this process was paused and its view may be outdated. */
export function isAwaitingRecheck(entry: Entry, now: number): boolean {
  return now < entry.recheckUntilMs;
}

/** Returns the slots of the target that all instances together may use now; fewer than all during slow start. */
export function getOpenSlots(
  entry: Entry,
  now: number,
  isRampActive: boolean,
): number {
  const { slots } = entry.info;
  if (entry.state !== "cold" || !isRampActive) return slots;
  const openFraction = Math.min(1, (now - entry.coldSinceMs) / SLOW_START_MS);
  return 1 + Math.floor((slots - 1) * openFraction);
}

function getShedLimit(entry: Entry, now: number): number {
  const steps = Math.floor((now - entry.lastShedAtMs) / SHED_STEP_MS);
  return entry.shedLimit + steps;
}

/** Returns how many requests this instance may run on the slots that it owns. */
export function getOwnedLimit(
  entry: Entry,
  now: number,
  isRampActive: boolean,
): number {
  if (isPaused(entry, now) || isAwaitingRecheck(entry, now)) return 0;
  const openSlots = getOpenSlots(entry, now, isRampActive);
  const isAllOpen = openSlots >= entry.info.slots;
  const ownedSlots = isAllOpen
    ? entry.ownedSlots
    : entry.ownedSlots.filter((slot) => slot < openSlots);
  return Math.min(ownedSlots.length, getShedLimit(entry, now));
}

/** Returns the load report if it is recent enough to act on. */
export function tryGetFreshReport(
  entry: Entry,
  now: number,
): LoadReport | undefined {
  const { report } = entry;
  if (report === undefined) return undefined;
  return now - report.atMs <= REPORT_FRESH_MS ? report : undefined;
}

/** Estimates the slots in use by all instances: the report, plus local requests started since. */
export function estimateInUse(report: LoadReport, entry: Entry): number {
  // A report below this instance's own requests in flight is wrong.
  const reportedInUse = Math.max(report.inUse, report.localInFlight);
  const startedSince = entry.inFlight - report.localInFlight;
  return Math.max(reportedInUse + startedSince, entry.inFlight);
}

/** Returns how many requests this instance may run if it also uses idle slots of other instances. */
export function getOverflowLimit(
  entry: Entry,
  now: number,
  isRampActive: boolean,
): number {
  const ownedLimit = getOwnedLimit(entry, now, isRampActive);
  const report = tryGetFreshReport(entry, now);
  const hasShedRecently = now - entry.lastShedAtMs < SHED_STEP_MS;
  const isWithheld = isPaused(entry, now) || isAwaitingRecheck(entry, now);
  if (report === undefined || hasShedRecently || isWithheld) return ownedLimit;
  const openSlots = Math.min(
    getOpenSlots(entry, now, isRampActive),
    report.slots,
  );
  const unusedSlots = openSlots - Math.max(report.inUse, report.localInFlight);
  const extraSlots = Math.min(
    entry.overflowCredit,
    Math.floor(unusedSlots / 2),
  );
  const limit = Math.min(report.localInFlight + extraSlots, openSlots);
  return Math.max(ownedLimit, Math.min(limit, getShedLimit(entry, now)));
}

/**
 * Records a load report. Doubles the overflow credit, up to `slots`, if overflow
 * is in use and there was no shed recently; a recent shed resets it to 1.
 */
export function recordLoadReport(
  entry: Entry,
  inUse: number,
  slots: number,
  now: number,
): void {
  const hasOverflow = entry.inFlight > entry.ownedSlots.length;
  const hasShedRecently = now - entry.lastShedAtMs < SHED_STEP_MS;
  if (hasShedRecently) entry.overflowCredit = 1;
  else if (hasOverflow) {
    entry.overflowCredit = Math.min(entry.overflowCredit * 2, slots);
  }
  entry.report = { inUse, slots, atMs: now, localInFlight: entry.inFlight };
}

/**
 * Records a shed and lowers the limit to the requests still in flight, at least
 * one. A shed with none in flight means that even one request is too many: the
 * target is then paused, for longer with each consecutive shed. `jitter` is in
 * [0, 1) and lengthens the pause by up to a quarter.
 */
export function recordShed(entry: Entry, now: number, jitter: number): void {
  entry.consecutiveSheds++;
  entry.overflowCredit = 1;
  entry.lastShedAtMs = now;
  entry.shedLimit = Math.max(1, entry.inFlight);
  if (entry.inFlight > 0) return;
  const backoffMs = SHED_STEP_MS * 2 ** Math.min(entry.consecutiveSheds - 1, 3);
  const pauseMs = Math.min(backoffMs, MAX_PAUSE_MS) * (1 + 0.25 * jitter);
  entry.pausedUntilMs = now + pauseMs;
}

/** Removes the limit of past sheds once it has grown to the target's slots. */
export function expireShedLimit(entry: Entry, now: number): void {
  if (isPaused(entry, now)) return;
  if (getShedLimit(entry, now) < entry.info.slots) return;
  entry.shedLimit = Infinity;
}

/** Creates the read-only view that other modules get. */
export function toView(entry: Entry): Contracts.TargetView {
  return {
    id: entry.info.id,
    service: entry.info.service,
    domain: entry.info.domain,
    region: entry.info.region,
    address: entry.info.address,
    slots: entry.info.slots,
    state: entry.state,
    inFlight: entry.inFlight,
    reportedInUse: entry.report?.inUse,
  };
}
