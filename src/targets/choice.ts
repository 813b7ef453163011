/**
 * Chooses the target of a request within one region. Promise: own slots come
 * before spare slots of others, the own domain before the rest of the region;
 * among equals two random candidates are compared, so that instances with the
 * same stale reports do not all choose the same target.
 */
import type * as Types from "../types.ts";
import * as Entry from "./entry.ts";

/** Where the chooser stands and what it must not choose. */
export interface Choice {
  readonly domain: Types.Domain;
  readonly exclude: ReadonlySet<Types.TargetId> | undefined;
  readonly nowMs: number;
  readonly random: () => number;
}

type GetLimit = (
  entry: Entry.Entry,
  nowMs: number,
  isRampOn: boolean,
) => number;

/**
 * True when cold targets are held back. They are not while warm ones have less
 * than half of the slots: after a start, a failure or a restart of most targets
 * the ramp would refuse traffic that the region can serve.
 */
export function isRampOn(group: readonly Entry.Entry[]): boolean {
  let warm = 0;
  let all = 0;
  for (const entry of group) {
    if (!Entry.isUsable(entry)) continue;
    all += entry.info.slots;
    if (entry.state === "usable") warm += entry.info.slots;
  }
  return warm * 2 >= all;
}

/** Slots that are free for this instance as far as it can know. */
function estimateFree(
  entry: Entry.Entry,
  limit: number,
  nowMs: number,
): number {
  const ownFree = limit - entry.inFlight;
  const report = Entry.tryGetFreshReport(entry, nowMs);
  if (report === undefined) return ownFree;
  const free = entry.info.slots - Entry.estimateInUse(report, entry);
  return Math.min(ownFree, free);
}

/** Takes the better of two random entries with a free slot under `getLimit`. */
function tryChooseOfTwo(
  group: readonly Entry.Entry[],
  choice: Choice,
  getLimit: GetLimit,
  isRamped: boolean,
  domain: Types.Domain | undefined,
): Entry.Entry | undefined {
  let first: Entry.Entry | undefined;
  let second: Entry.Entry | undefined;
  let seen = 0;
  const { nowMs, random } = choice;
  for (const entry of group) {
    if (!Entry.isUsable(entry)) continue;
    if (domain !== undefined && entry.info.domain !== domain) continue;
    if (choice.exclude?.has(entry.info.id)) continue;
    if (entry.inFlight >= getLimit(entry, nowMs, isRamped)) continue;
    // Reservoir sampling of two in one pass.
    seen++;
    if (first === undefined) first = entry;
    else if (second === undefined) second = entry;
    else {
      const place = Math.floor(random() * seen);
      if (place === 0) first = entry;
      if (place === 1) second = entry;
    }
  }
  if (first === undefined || second === undefined) return first;
  const freeFirst = estimateFree(
    first,
    getLimit(first, nowMs, isRamped),
    nowMs,
  );
  const freeSecond = estimateFree(
    second,
    getLimit(second, nowMs, isRamped),
    nowMs,
  );
  if (freeFirst === freeSecond) return random() < 0.5 ? first : second;
  return freeFirst > freeSecond ? first : second;
}

/** Chooses an entry of the group with a free slot; undefined when there is none. */
export function tryChoose(
  group: readonly Entry.Entry[],
  choice: Choice,
): Entry.Entry | undefined {
  const isRamped = isRampOn(group);
  for (const getLimit of [Entry.getOwnLimit, Entry.getOverflowLimit]) {
    for (const domain of [choice.domain, undefined]) {
      const entry = tryChooseOfTwo(group, choice, getLimit, isRamped, domain);
      if (entry !== undefined) return entry;
    }
  }
  return undefined;
}
