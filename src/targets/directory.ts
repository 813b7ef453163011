/**
 * Directory of targets, built from successive copies of the instance list.
 * Guarantee: a leaving or dropped target gets no work until there is evidence of
 * a new registration, even if a stale list shows it as live again. Limit: a
 * target that restarts at the same address faster than the list and the probes
 * can detect stays excluded until the list shows the change.
 */
import type * as Types from "../types.ts";
import * as Entry from "./entry.ts";
import type * as Health from "./health.ts";

/** A list that shows a leaving target as live again within this time may be a stale copy. */
const REGISTRATION_CONFIRM_MS = 5_000;
/** How long targets stay in use after a list dropped most of their service, while they pass probes. */
const MASS_DROP_HOLD_MS = 10_000;
/** A target counts as alive if its last successful probe is more recent than this. */
const PROBE_OK_MAX_AGE_MS = 3_000;
/** How long the entry of a dropped target is kept; longer than the delay of the instance list. */
const FORGET_DROPPED_MS = 60_000;

/** All entries, indexed by id and by service and region. */
export interface Directory {
  getEntries(): Iterable<Entry.Entry>;
  tryGet(id: Types.TargetId): Entry.Entry | undefined;
  getGroup(
    service: Types.Service,
    region: Types.Region,
  ): readonly Entry.Entry[];
  getGroups(): Iterable<readonly Entry.Entry[]>;
  getCount(): number;
  /** Applies an instance list; returns the entries that should be probed now. */
  setInstances(
    instances: readonly Types.PlatformInstance[],
  ): readonly Entry.Entry[];
  /** Applies state changes that are due: ends drop holds, readmits targets, removes entries of dropped targets. */
  refresh(): void;
}

function getGroupKey(service: Types.Service, region: Types.Region): string {
  return `${service}\n${region}`;
}

/** Creates an empty directory; `nowMs` is monotonic. */
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
    entry.dropHeldUntilMs = undefined;
    health.setState(entry, "leaving", reason);
  }

  /** Returns the services that lose more than half of their live targets with this list. */
  function getMassDropServices(
    listedIds: ReadonlySet<Types.TargetId>,
  ): ReadonlySet<Types.Service> {
    const liveCounts = new Map<Types.Service, number>();
    const missingCounts = new Map<Types.Service, number>();
    for (const { info, isListedLive } of entries.values()) {
      if (!isListedLive) continue;
      liveCounts.set(info.service, (liveCounts.get(info.service) ?? 0) + 1);
      if (listedIds.has(info.id)) continue;
      missingCounts.set(
        info.service,
        (missingCounts.get(info.service) ?? 0) + 1,
      );
    }
    const massDrops = [...missingCounts].filter(([service, count]) =>
      count * 2 > (liveCounts.get(service) ?? 0)
    );
    return new Set(massDrops.map(([service]) => service));
  }

  /**
   * Drops targets that the list no longer contains. If most targets of a service
   * are missing, those that pass probes stay in use for `MASS_DROP_HOLD_MS`.
   */
  function dropUnlisted(listedIds: ReadonlySet<Types.TargetId>): void {
    const now = nowMs();
    const massDropServices = getMassDropServices(listedIds);
    for (const entry of entries.values()) {
      if (!entry.isListed || listedIds.has(entry.info.id)) continue;
      entry.isListed = false;
      entry.isListedLive = false;
      entry.droppedAtMs = now;
      const hasRecentProbeOk =
        now - entry.lastProbeOkAtMs < PROBE_OK_MAX_AGE_MS;
      const isMassDrop = massDropServices.has(entry.info.service) &&
        hasRecentProbeOk;
      if (isMassDrop && Entry.isUsable(entry)) {
        entry.dropHeldUntilMs = now + MASS_DROP_HOLD_MS;
      } else drop(entry, "dropped-from-list");
    }
  }

  /** Applies one row of the list; true if the target should be probed now. */
  function handleListedInstance(info: Types.PlatformInstance): boolean {
    const now = nowMs();
    const entry = entries.get(info.id);
    if (entry === undefined || entry.info.address !== info.address) {
      entries.set(info.id, Entry.createEntry(info, now));
      return true;
    }
    if (entry.info.slots !== info.slots) entry.ownedSlotsEpoch = -1;
    entry.info = info;
    entry.isListed = true;
    entry.dropHeldUntilMs = undefined;
    if (info.state === "leaving") {
      entry.isListedLive = false;
      health.markLeaving(entry, "list");
      return false;
    }
    if (entry.isListedLive) return false;
    entry.isListedLive = true;
    if (entry.state !== "leaving") return false;
    entry.registrationEvidenceAtMs = now;
    return true;
  }

  function setInstances(
    instances: readonly Types.PlatformInstance[],
  ): readonly Entry.Entry[] {
    const targets = instances.filter((info) => info.slots > 0);
    dropUnlisted(new Set(targets.map((info) => info.id)));
    const entriesToProbe: Entry.Entry[] = [];
    for (const info of targets) {
      const isProbeDue = handleListedInstance(info);
      const entry = entries.get(info.id);
      if (isProbeDue && entry !== undefined) entriesToProbe.push(entry);
    }
    rebuildGroups();
    return entriesToProbe;
  }

  function expireDropHold(entry: Entry.Entry, now: number): void {
    if (entry.dropHeldUntilMs === undefined) return;
    const hasRecentProbeOk = now - entry.lastProbeOkAtMs < PROBE_OK_MAX_AGE_MS;
    if (now < entry.dropHeldUntilMs && hasRecentProbeOk) return;
    drop(entry, "dropped-from-list");
  }

  function tryReadmit(entry: Entry.Entry, now: number): void {
    if (entry.state !== "leaving" || !entry.isListedLive) return;
    const seenAtMs = entry.registrationEvidenceAtMs;
    if (seenAtMs === undefined || entry.lastProbeOkAtMs < seenAtMs) return;
    const confirmMs = entry.hasAnnouncedLeaving ? REGISTRATION_CONFIRM_MS : 0;
    if (now - seenAtMs < confirmMs) return;
    entry.hasAnnouncedLeaving = false;
    entry.registrationEvidenceAtMs = undefined;
    health.setState(entry, "cold", "new-registration");
  }

  function canForget(entry: Entry.Entry, now: number): boolean {
    if (entry.isListed || entry.state !== "leaving") return false;
    return entry.inFlight === 0 && now - entry.droppedAtMs > FORGET_DROPPED_MS;
  }

  function refresh(): void {
    const now = nowMs();
    let hasForgotten = false;
    for (const [id, entry] of entries) {
      expireDropHold(entry, now);
      tryReadmit(entry, now);
      const hasWarmedUp = now - entry.coldSinceMs >= Entry.SLOW_START_MS;
      if (entry.state === "cold" && hasWarmedUp) {
        health.setState(entry, "usable", "slow-start-over");
      }
      if (!canForget(entry, now)) continue;
      entries.delete(id);
      hasForgotten = true;
    }
    if (hasForgotten) rebuildGroups();
  }

  return {
    getEntries: () => entries.values(),
    tryGet: (id) => entries.get(id),
    getGroup: (service, region) =>
      groups.get(getGroupKey(service, region)) ?? [],
    getGroups: () => groups.values(),
    getCount: () => entries.size,
    setInstances,
    refresh,
  };
}
