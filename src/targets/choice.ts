/**
 * Chooses the target of a request within one region. Guarantee: slots that this
 * instance owns come before unused slots of other instances, and the local
 * domain before the other domains of the region. Among equal targets two random
 * ones are compared, so that instances with the same stale load reports do not all choose
 * the same target.
 */
import type * as Types from "../types.ts";
import * as Entry from "./entry.ts";

/** Input of one choice: the local domain, the targets to exclude, the time and the random source. */
export interface ChoiceCriteria {
  readonly domain: Types.Domain;
  readonly exclude: ReadonlySet<Types.TargetId> | undefined;
  readonly nowMs: number;
  readonly random: () => number;
}

type GetLimit = (
  entry: Entry.Entry,
  nowMs: number,
  isRampActive: boolean,
) => number;

/**
 * True when the slow-start ramp limits cold targets. It does not while usable
 * (warmed-up) targets have less than half of the slots: after a start, a failure
 * or a restart of most targets the ramp would reject traffic that the region can
 * serve.
 */
export function canRampColdTargets(group: readonly Entry.Entry[]): boolean {
  let warmSlots = 0;
  let totalSlots = 0;
  for (const entry of group) {
    if (!Entry.isUsable(entry)) continue;
    totalSlots += entry.info.slots;
    if (entry.state === "usable") warmSlots += entry.info.slots;
  }
  return warmSlots * 2 >= totalSlots;
}

/** Estimates the slots that this instance can still use, from its own limit and a fresh load report. */
function estimateFreeSlots(
  entry: Entry.Entry,
  limit: number,
  nowMs: number,
): number {
  const ownedFree = limit - entry.inFlight;
  const report = Entry.tryGetFreshReport(entry, nowMs);
  if (report === undefined) return ownedFree;
  const totalFree = entry.info.slots - Entry.estimateInUse(report, entry);
  return Math.min(ownedFree, totalFree);
}

/** Returns the entry with more free slots out of two random ones that are below `getLimit`. */
function tryChooseFromRandomPair(
  group: readonly Entry.Entry[],
  criteria: ChoiceCriteria,
  getLimit: GetLimit,
  isRampActive: boolean,
  domain: Types.Domain | undefined,
): Entry.Entry | undefined {
  let first: Entry.Entry | undefined;
  let second: Entry.Entry | undefined;
  let candidateCount = 0;
  const { nowMs, random } = criteria;
  for (const entry of group) {
    if (!Entry.isUsable(entry)) continue;
    if (domain !== undefined && entry.info.domain !== domain) continue;
    if (criteria.exclude?.has(entry.info.id)) continue;
    if (entry.inFlight >= getLimit(entry, nowMs, isRampActive)) continue;
    // Reservoir sampling of two in one pass.
    candidateCount++;
    if (first === undefined) first = entry;
    else if (second === undefined) second = entry;
    else {
      const sampleIndex = Math.floor(random() * candidateCount);
      if (sampleIndex === 0) first = entry;
      if (sampleIndex === 1) second = entry;
    }
  }
  if (first === undefined || second === undefined) return first;
  const freeFirst = estimateFreeSlots(
    first,
    getLimit(first, nowMs, isRampActive),
    nowMs,
  );
  const freeSecond = estimateFreeSlots(
    second,
    getLimit(second, nowMs, isRampActive),
    nowMs,
  );
  if (freeFirst === freeSecond) return random() < 0.5 ? first : second;
  return freeFirst > freeSecond ? first : second;
}

/** Chooses an entry of the group with a free slot; undefined if no entry has one. */
export function tryChoose(
  group: readonly Entry.Entry[],
  criteria: ChoiceCriteria,
): Entry.Entry | undefined {
  const isRampActive = canRampColdTargets(group);
  for (const getLimit of [Entry.getOwnedLimit, Entry.getOverflowLimit]) {
    for (const domain of [criteria.domain, undefined]) {
      const entry = tryChooseFromRandomPair(
        group,
        criteria,
        getLimit,
        isRampActive,
        domain,
      );
      if (entry !== undefined) return entry;
    }
  }
  return undefined;
}
