/**
 * What this instance knows of one target, and how many requests it may run
 * there. Promise: the limit never exceeds the target's slots; it exceeds the
 * own slots only on a fresh load report and then by at most half of the spare
 * slots. A misleading report is corrected by the target's sheds.
 */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";

/** Time in which a cold target ramps from one slot to all. */
export const SLOW_START_MS = 10_000;
/** Time between two steps in which a limit lowered by a shed grows again. */
export const SHED_STEP_MS = 1_000;
const MAX_PAUSE_MS = 8_000;
/** Two and a half times the shortest probe interval, so that one lost probe does no harm. */
const REPORT_FRESH_MS = 2_500;

/** A target's answer to `GET /load`. */
export interface LoadReport {
  readonly inUse: number;
  readonly slots: number;
  readonly atMs: number;
  /** Own requests in flight when the report came. */
  readonly ownInFlight: number;
}

/** State of one target. Times are monotonic ms. */
export interface Entry {
  info: Types.PlatformInstance;
  state: Contracts.TargetView["state"];
  inFlight: number;
  /** Start of the slow start. */
  coldSinceMs: number;

  isListedLive: boolean;
  isListed: boolean;
  /** Time since which the list does not name it; kept for a while against stale lists. */
  droppedAtMs: number;
  /** A drop of most targets at once is taken as a fault of the list until then. */
  heldUntilMs: number | undefined;
  /** The target or the list said leaving, beyond a mere drop from the list. */
  hasAnnouncedLeaving: boolean;
  /** When the evidence of a new registration of a leaving target came. */
  returnGateMs: number | undefined;

  requestFailures: number;
  probeFailures: number;
  unreachableProbes: number;
  ejections: number;
  ejectedUntilMs: number;
  /** Set while a broken connection awaits a probe; the state to go back to. */
  suspectedFrom: "cold" | "usable" | undefined;
  suspectedAtMs: number;
  usableSinceMs: number;
  lastProbeOkMs: number;

  latencyMs: number;
  latencySamples: number;
  slowChecks: number;

  report: LoadReport | undefined;
  overflowCredit: number;

  shedAtMs: number;
  shedLimit: number;
  shedsInRow: number;
  pausedUntilMs: number;
  /** Until then new work waits for a probe sent after `recheckFromMs`. */
  recheckUntilMs: number;
  recheckFromMs: number;

  ownSlots: readonly number[];
  ownSlotsEpoch: number;
  nextProbeAtMs: number;
  isProbing: boolean;
}

/** Creates the entry of a target seen for the first time. */
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
    heldUntilMs: undefined,
    hasAnnouncedLeaving: isLeaving,
    returnGateMs: undefined,
    requestFailures: 0,
    probeFailures: 0,
    unreachableProbes: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    suspectedFrom: undefined,
    suspectedAtMs: 0,
    usableSinceMs: now,
    lastProbeOkMs: -Infinity,
    latencyMs: 0,
    latencySamples: 0,
    slowChecks: 0,
    report: undefined,
    overflowCredit: 1,
    shedAtMs: -Infinity,
    shedLimit: Infinity,
    shedsInRow: 0,
    pausedUntilMs: -Infinity,
    recheckUntilMs: -Infinity,
    recheckFromMs: -Infinity,
    ownSlots: [],
    ownSlotsEpoch: -1,
    nextProbeAtMs: now,
    isProbing: false,
  };
}

/** True when new work may go to the target. */
export function isUsable(entry: Entry): boolean {
  return entry.state === "cold" || entry.state === "usable";
}

/** True while the target's sheds keep all new work away from it. */
export function isPaused(entry: Entry, now: number): boolean {
  return now < entry.pausedUntilMs;
}

/** True while what is known of the target is older than a pause of this process. */
export function isRechecked(entry: Entry, now: number): boolean {
  return now < entry.recheckUntilMs;
}

/** Slots of the target that the whole fleet may use now. */
export function getOpenSlots(
  entry: Entry,
  now: number,
  isRampOn: boolean,
): number {
  const { slots } = entry.info;
  if (entry.state !== "cold" || !isRampOn) return slots;
  const share = Math.min(1, (now - entry.coldSinceMs) / SLOW_START_MS);
  return 1 + Math.floor((slots - 1) * share);
}

function getShedLimit(entry: Entry, now: number): number {
  const steps = Math.floor((now - entry.shedAtMs) / SHED_STEP_MS);
  return entry.shedLimit + steps;
}

/** Requests that this instance may run on its own slots. */
export function getOwnLimit(
  entry: Entry,
  now: number,
  isRampOn: boolean,
): number {
  if (isPaused(entry, now) || isRechecked(entry, now)) return 0;
  const open = getOpenSlots(entry, now, isRampOn);
  const isAllOpen = open >= entry.info.slots;
  const own = isAllOpen
    ? entry.ownSlots
    : entry.ownSlots.filter((slot) => slot < open);
  return Math.min(own.length, getShedLimit(entry, now));
}

/** The load report when it is recent enough to act on. */
export function tryGetFreshReport(
  entry: Entry,
  now: number,
): LoadReport | undefined {
  const { report } = entry;
  if (report === undefined) return undefined;
  return now - report.atMs <= REPORT_FRESH_MS ? report : undefined;
}

/** Slots in use by all instances: the report, corrected by what was started since. */
export function estimateInUse(report: LoadReport, entry: Entry): number {
  // A report below the own count is wrong.
  const reported = Math.max(report.inUse, report.ownInFlight);
  const started = entry.inFlight - report.ownInFlight;
  return Math.max(reported + started, entry.inFlight);
}

/** Requests that this instance may run with the use of slots that others leave idle. */
export function getOverflowLimit(
  entry: Entry,
  now: number,
  isRampOn: boolean,
): number {
  const own = getOwnLimit(entry, now, isRampOn);
  const report = tryGetFreshReport(entry, now);
  const hasShed = now - entry.shedAtMs < SHED_STEP_MS;
  const isHeld = isPaused(entry, now) || isRechecked(entry, now);
  if (report === undefined || hasShed || isHeld) return own;
  const open = Math.min(getOpenSlots(entry, now, isRampOn), report.slots);
  const spare = open - Math.max(report.inUse, report.ownInFlight);
  const extra = Math.min(entry.overflowCredit, Math.floor(spare / 2));
  const limit = Math.min(report.ownInFlight + extra, open);
  return Math.max(own, Math.min(limit, getShedLimit(entry, now)));
}

/** Takes a load report in; credit grows while reports show that overflow does no harm. */
export function takeReport(
  entry: Entry,
  inUse: number,
  slots: number,
  now: number,
): void {
  const hasOverflow = entry.inFlight > entry.ownSlots.length;
  const hasShed = now - entry.shedAtMs < SHED_STEP_MS;
  if (hasShed) entry.overflowCredit = 1;
  else if (hasOverflow) {
    entry.overflowCredit = Math.min(entry.overflowCredit * 2, slots);
  }
  entry.report = { inUse, slots, atMs: now, ownInFlight: entry.inFlight };
}

/**
 * Lowers the limit after a shed to what still runs. A shed with nothing of ours
 * running says that even one request is too many: then all work pauses, longer
 * with each such shed.
 */
export function takeShed(entry: Entry, now: number, jitter: number): void {
  entry.shedsInRow++;
  entry.overflowCredit = 1;
  entry.shedAtMs = now;
  entry.shedLimit = Math.max(1, entry.inFlight);
  if (entry.inFlight > 0) return;
  const backoffMs = SHED_STEP_MS * 2 ** Math.min(entry.shedsInRow - 1, 3);
  const pauseMs = Math.min(backoffMs, MAX_PAUSE_MS) * (1 + 0.25 * jitter);
  entry.pausedUntilMs = now + pauseMs;
}

/** Ends the limit of past sheds once it has grown over the target's slots. */
export function forgetShed(entry: Entry, now: number): void {
  if (isPaused(entry, now)) return;
  if (getShedLimit(entry, now) < entry.info.slots) return;
  entry.shedLimit = Infinity;
}

/** The read-only view that the other modules get. */
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
