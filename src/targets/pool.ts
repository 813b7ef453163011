/**
 * The targets without their probes: directory, health, slots and choice.
 * Guarantee: a slot lease is granted only for a target that is neither leaving,
 * dead nor ejected, and only within this instance's limit. All times come from
 * the clock option, so that tests control them.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import * as Choice from "./choice.ts";
import * as Directory from "./directory.ts";
import * as Entry from "./entry.ts";
import * as Health from "./health.ts";
import * as Rendezvous from "./rendezvous.ts";

/** How often the list of live instances is checked for changes. */
const INSTANCES_CHECK_INTERVAL_MS = 500;
const LATENCY_CHECK_INTERVAL_MS = 1_000;
/**
 * Shortest gap that counts as a pause of the process. After a shorter one, target
 * states are at most 3 s old, probe interval and timeouts included.
 */
const PROCESS_PAUSE_MS = 1_000;
/** Longest duration of a probe; a health endpoint that hangs must not exclude a target for longer. */
const RECHECK_LIMIT_MS = 1_500;

/** Options of `createPool`: the local instance and its dependencies. */
export interface PoolOptions {
  readonly self: Types.InstanceId;
  readonly domain: Types.Domain;
  readonly region: Types.Region;
  /** Entry instances that share the slots; the local instance is added if missing. */
  readonly getLiveInstances: () => readonly Rendezvous.LiveInstance[];
  readonly log: Log.Logger;
  readonly clock: Clock.Clock;
  /** Uniform in [0, 1); tests pass a seeded one. */
  readonly random?: () => number;
}

/** The targets, and the methods that the prober uses. */
export interface Pool extends Contracts.Targets {
  /** Records that the event loop runs; a gap of 1 s or more between calls means that the process was paused. */
  recordAlive(): void;
  /** Applies time-based changes: slow start, readmission, latency checks, ends of pauses. */
  tick(): void;
  recordProbe(entry: Entry.Entry, result: Health.ProbeResult): void;
  tryGetEntry(id: Types.TargetId): Entry.Entry | undefined;
  getEntries(): Iterable<Entry.Entry>;
  getCounts(): { readonly targets: number; readonly instances: number };
  /** True if this instance owns slots of the target. */
  isOwner(entry: Entry.Entry): boolean;
  /** Sets the one listener for targets that should be probed now. */
  onProbeRequested(listener: (entry: Entry.Entry) => void): void;
}

/** Creates a pool without targets. */
export function createPool(opts: PoolOptions): Pool {
  const { clock, log, self } = opts;
  const random = opts.random ?? Math.random;
  const nowMs = () => clock.nowMs();
  const health = Health.createHealth({
    log,
    nowMs,
    random,
    getGroup: ({ info }) => directory.getGroup(info.service, info.region),
  });
  const directory = Directory.createDirectory(nowMs, health);
  const slotListeners: ((service: Types.Service) => void)[] = [];
  let requestProbe: (entry: Entry.Entry) => void = () => {};

  let weightedInstances = Rendezvous.createWeightedInstances([]);
  let instancesKey = "";
  let slotsEpoch = 0;
  let instancesCheckedAtMs = -Infinity;
  let latencyCheckedAtMs = nowMs();
  let aliveAtMs: number | undefined;

  /**
   * Requests a probe of each target after a pause of the process, before which
   * the target gets no new work: it may have been leaving for longer than the
   * 3 s bound on outdated target states.
   */
  function detectProcessPause(): void {
    const now = nowMs();
    if (aliveAtMs === undefined || now - aliveAtMs < PROCESS_PAUSE_MS) return;
    log.warn("process-was-paused", { ms: Math.round(now - aliveAtMs) });
    aliveAtMs = now;
    for (const entry of directory.getEntries()) {
      entry.recheckSinceMs = now;
      entry.recheckUntilMs = now + RECHECK_LIMIT_MS;
      requestProbe(entry);
    }
  }

  function refreshInstances(): void {
    const now = nowMs();
    if (now - instancesCheckedAtMs < INSTANCES_CHECK_INTERVAL_MS) return;
    instancesCheckedAtMs = now;
    const liveInstances = opts.getLiveInstances();
    const isSelfListed = liveInstances.some((instance) => instance.id === self);
    const { domain, region } = opts;
    const sharingInstances = isSelfListed
      ? liveInstances
      : [...liveInstances, { id: self, domain, region }];
    const key = sharingInstances.map((instance) =>
      `${instance.id} ${instance.domain}`
    ).toSorted()
      .join("\n");
    if (key === instancesKey) return;
    instancesKey = key;
    weightedInstances = Rendezvous.createWeightedInstances(sharingInstances);
    slotsEpoch++;
  }

  /** Assigns slots on first use, so that a change of instances does not block the event loop for long. */
  function refreshSlots(entry: Entry.Entry): void {
    if (entry.ownedSlotsEpoch === slotsEpoch) return;
    entry.ownedSlots = Rendezvous.getOwnedSlots(
      entry.info,
      self,
      weightedInstances,
    );
    entry.ownedSlotsEpoch = slotsEpoch;
  }

  function countOwnedSlots(entry: Entry.Entry): number {
    if (!Entry.isUsable(entry)) return 0;
    refreshSlots(entry);
    return entry.ownedSlots.length;
  }

  function notifySlotFree(service: Types.Service): void {
    for (const listener of slotListeners) listener(service);
  }

  function createLease(entry: Entry.Entry): Contracts.SlotLease {
    entry.inFlight++;
    let isReleased = false;
    return {
      target: Entry.toView(entry),
      release(outcome) {
        Debug.assert(!isReleased, "slot lease released twice");
        isReleased = true;
        entry.inFlight--;
        if (health.recordOutcome(entry, outcome)) requestProbe(entry);
        notifySlotFree(entry.info.service);
      },
      markLeaving: () => health.markLeaving(entry, "response-header"),
      getOwnedSlots: () => countOwnedSlots(entry),
    };
  }

  function tryAcquire(
    service: Types.Service,
    region: Types.Region,
    exclude?: ReadonlySet<Types.TargetId>,
  ): Contracts.SlotLease | undefined {
    detectProcessPause();
    refreshInstances();
    const group = directory.getGroup(service, region);
    group.forEach(refreshSlots);
    const { domain } = opts;
    const criteria = { domain, exclude, nowMs: nowMs(), random };
    const entry = Choice.tryChoose(group, criteria);
    return entry === undefined ? undefined : createLease(entry);
  }

  function hasUsable(service: Types.Service, region: Types.Region): boolean {
    const now = nowMs();
    return directory.getGroup(service, region).some((entry) =>
      Entry.isUsable(entry) && !Entry.isPaused(entry, now)
    );
  }

  function setInstances(list: readonly Types.PlatformInstance[]): void {
    for (const entry of directory.setInstances(list)) requestProbe(entry);
    const services = new Set(list.map((info) => info.service));
    services.forEach(notifySlotFree);
  }

  /** True while the target has a limit that changes with time alone. */
  function hasTimeBasedLimit(entry: Entry.Entry): boolean {
    return entry.state === "cold" || Number.isFinite(entry.shedLimit) ||
      Number.isFinite(entry.recheckUntilMs);
  }

  function tick(): void {
    refreshInstances();
    directory.refresh();
    const now = nowMs();
    if (now - latencyCheckedAtMs >= LATENCY_CHECK_INTERVAL_MS) {
      latencyCheckedAtMs = now;
      for (const group of directory.getGroups()) health.ejectOutliers(group);
    }
    const services = new Set<Types.Service>();
    for (const entry of directory.getEntries()) {
      const isRecheckExpired = now >= entry.recheckUntilMs;
      if (hasTimeBasedLimit(entry)) services.add(entry.info.service);
      if (isRecheckExpired) entry.recheckUntilMs = -Infinity;
      Entry.expireShedLimit(entry, now);
    }
    services.forEach(notifySlotFree);
  }

  function recordProbe(entry: Entry.Entry, result: Health.ProbeResult): void {
    health.recordProbe(entry, result);
    if (result.startedAtMs >= entry.recheckSinceMs) {
      entry.recheckUntilMs = -Infinity;
    }
    directory.refresh();
    notifySlotFree(entry.info.service);
  }

  return {
    tryAcquire,
    hasUsable,
    onSlotFree: (listener) => void slotListeners.push(listener),
    list: () => Array.from(directory.getEntries(), Entry.toView),
    setInstances,
    recordAlive() {
      detectProcessPause();
      aliveAtMs = nowMs();
    },
    tick,
    recordProbe,
    tryGetEntry: directory.tryGet,
    getEntries: directory.getEntries,
    getCounts: () => ({
      targets: directory.getCount(),
      instances: weightedInstances.size,
    }),
    isOwner(entry) {
      refreshSlots(entry);
      return entry.ownedSlots.length > 0;
    },
    onProbeRequested: (listener) => requestProbe = listener,
  };
}
