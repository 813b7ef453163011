/**
 * The directory of targets: what the instance list says over time. Promise: a
 * leaving or dropped target stays out until there is evidence of a new
 * registration, even when a stale list shows it as live again. What breaks it:
 * a target that restarts under the same address faster than list and probes
 * can see, which then stays out until the list shows the change.
 */
import type * as Types from "../types.ts";
import * as Entry from "./entry.ts";
import type * as Health from "./health.ts";

/** A list that flips back to live within this time may be a stale copy. */
const RETURN_CONFIRM_MS = 5_000;
/** How long a list that drops most targets at once is doubted, while they answer probes as live. */
const MASS_DROP_HOLD_MS = 10_000;
const PROBE_OK_RECENT_MS = 3_000;
/** Longer than the lag of the instance list. */
const FORGET_MS = 60_000;

/** All entries, by id and by service and region. */
export interface Directory {
  getAll(): Iterable<Entry.Entry>;
  tryGet(id: Types.TargetId): Entry.Entry | undefined;
  getGroup(
    service: Types.Service,
    region: Types.Region,
  ): readonly Entry.Entry[];
  getGroups(): Iterable<readonly Entry.Entry[]>;
  getCount(): number;
  /** Takes a list in; returns the entries that a probe should look at now. */
  setInstances(
    instances: readonly Types.PlatformInstance[],
  ): readonly Entry.Entry[];
  /** Ends holds, takes targets back and forgets dropped ones, as time passes. */
  refresh(): void;
}

function getGroupKey(service: Types.Service, region: Types.Region): string {
  return `${service}\n${region}`;
}

/** Creates an empty directory. */
export function createDirectory(
  nowMs: () => number,
  health: Health.Health,
): Directory {
  const entries = new Map<Types.TargetId, Entry.Entry>();
  let groups = new Map<string, Entry.Entry[]>();

  function rebuildGroups(): void {
    groups = new Map();
    for (const entry of entries.values()) {
      const key = getGroupKey(entry.info.service, entry.info.region);
      const group = groups.get(key);
      if (group === undefined) groups.set(key, [entry]);
      else group.push(entry);
    }
    for (const group of groups.values()) health.restoreExcess(group);
  }

  function drop(entry: Entry.Entry, reason: string): void {
    entry.heldUntilMs = undefined;
    health.setState(entry, "leaving", reason);
  }

  /** Services of which the list drops more than half of the live targets. */
  function getDoubted(
    listed: ReadonlySet<Types.TargetId>,
  ): ReadonlySet<Types.Service> {
    const live = new Map<Types.Service, number>();
    const lost = new Map<Types.Service, number>();
    for (const { info, isListedLive } of entries.values()) {
      if (!isListedLive) continue;
      live.set(info.service, (live.get(info.service) ?? 0) + 1);
      if (listed.has(info.id)) continue;
      lost.set(info.service, (lost.get(info.service) ?? 0) + 1);
    }
    const doubted = [...lost].filter(([service, count]) =>
      count * 2 > (live.get(service) ?? 0)
    );
    return new Set(doubted.map(([service]) => service));
  }

  /** Marks what the list no longer names; a drop of most of a service is doubted for a while. */
  function dropMissing(listed: ReadonlySet<Types.TargetId>): void {
    const now = nowMs();
    const doubted = getDoubted(listed);
    for (const entry of entries.values()) {
      if (!entry.isListed || listed.has(entry.info.id)) continue;
      entry.isListed = false;
      entry.isListedLive = false;
      entry.droppedAtMs = now;
      const isAlive = now - entry.lastProbeOkMs < PROBE_OK_RECENT_MS;
      const isDoubted = doubted.has(entry.info.service) && isAlive;
      if (isDoubted && Entry.isUsable(entry)) {
        entry.heldUntilMs = now + MASS_DROP_HOLD_MS;
      } else drop(entry, "dropped-from-list");
    }
  }

  /** Takes one line of the list in; true when a probe should look at the target now. */
  function takeListed(info: Types.PlatformInstance): boolean {
    const now = nowMs();
    const known = entries.get(info.id);
    if (known === undefined || known.info.address !== info.address) {
      entries.set(info.id, Entry.createEntry(info, now));
      return true;
    }
    if (known.info.slots !== info.slots) known.ownSlotsEpoch = -1;
    known.info = info;
    known.isListed = true;
    known.heldUntilMs = undefined;
    if (info.state === "leaving") {
      known.isListedLive = false;
      health.markLeaving(known, "list");
      return false;
    }
    if (known.isListedLive) return false;
    known.isListedLive = true;
    if (known.state !== "leaving") return false;
    known.returnGateMs = now;
    return true;
  }

  function setInstances(
    instances: readonly Types.PlatformInstance[],
  ): readonly Entry.Entry[] {
    const targets = instances.filter((info) => info.slots > 0);
    dropMissing(new Set(targets.map((info) => info.id)));
    const toProbe: Entry.Entry[] = [];
    for (const info of targets) {
      const isNews = takeListed(info);
      const entry = entries.get(info.id);
      if (isNews && entry !== undefined) toProbe.push(entry);
    }
    rebuildGroups();
    return toProbe;
  }

  function refreshHeld(entry: Entry.Entry, now: number): void {
    if (entry.heldUntilMs === undefined) return;
    const isAlive = now - entry.lastProbeOkMs < PROBE_OK_RECENT_MS;
    if (now < entry.heldUntilMs && isAlive) return;
    drop(entry, "dropped-from-list");
  }

  function refreshReturn(entry: Entry.Entry, now: number): void {
    if (entry.state !== "leaving" || !entry.isListedLive) return;
    const gate = entry.returnGateMs;
    if (gate === undefined || entry.lastProbeOkMs < gate) return;
    const waitMs = entry.hasAnnouncedLeaving ? RETURN_CONFIRM_MS : 0;
    if (now - gate < waitMs) return;
    entry.hasAnnouncedLeaving = false;
    entry.returnGateMs = undefined;
    health.setState(entry, "cold", "new-registration");
  }

  function isForgotten(entry: Entry.Entry, now: number): boolean {
    if (entry.isListed || entry.state !== "leaving") return false;
    return entry.inFlight === 0 && now - entry.droppedAtMs > FORGET_MS;
  }

  function refresh(): void {
    const now = nowMs();
    let isChanged = false;
    for (const [id, entry] of entries) {
      refreshHeld(entry, now);
      refreshReturn(entry, now);
      const isWarm = now - entry.coldSinceMs >= Entry.SLOW_START_MS;
      if (entry.state === "cold" && isWarm) {
        health.setState(entry, "usable", "slow-start-over");
      }
      if (!isForgotten(entry, now)) continue;
      entries.delete(id);
      isChanged = true;
    }
    if (isChanged) rebuildGroups();
  }

  return {
    getAll: () => entries.values(),
    tryGet: (id) => entries.get(id),
    getGroup: (service, region) =>
      groups.get(getGroupKey(service, region)) ?? [],
    getGroups: () => groups.values(),
    getCount: () => entries.size,
    setInstances,
    refresh,
  };
}
