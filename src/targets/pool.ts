/**
 * The targets without their probes: directory, health, slots and choice.
 * Promise: a slot lease is given only for a target that is neither leaving, dead
 * nor ejected, and within the limit for this instance. All time comes from the
 * clock, so that tests control it.
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

/** How often the list of live instances is compared with the last one. */
const INSTANCES_CHECK_MS = 500;
const LATENCY_CHECK_MS = 1_000;
/** With probe interval and timeouts, targets' states are at most 3 s old after a shorter pause. */
const PROCESS_PAUSE_MS = 1_000;
/** A probe's longest time: a health endpoint that hangs must not keep a target out. */
const RECHECK_LIMIT_MS = 1_500;

/** What the pool needs to know of its instance. */
export interface PoolOptions {
  readonly self: Types.InstanceId;
  readonly domain: Types.Domain;
  readonly region: Types.Region;
  /** Entry instances that share the slots; this one is added when missing. */
  readonly getLiveInstances: () => readonly Rendezvous.LiveInstance[];
  readonly log: Log.Logger;
  readonly clock: Clock.Clock;
  /** Uniform in [0, 1); tests pass a seeded one. */
  readonly random?: () => number;
}

/** The targets, and what the prober needs. */
export interface Pool extends Contracts.Targets {
  /** Called often while probing; a longer gap means that the process was paused. */
  noteAlive(): void;
  /** Lets time act: slow start, returns, latency checks, pauses that end. */
  tick(): void;
  takeProbe(entry: Entry.Entry, result: Health.ProbeResult): void;
  tryGetEntry(id: Types.TargetId): Entry.Entry | undefined;
  getEntries(): Iterable<Entry.Entry>;
  getCounts(): { readonly targets: number; readonly instances: number };
  /** True when this instance owns slots of the target. */
  isOwner(entry: Entry.Entry): boolean;
  /** Sets what is called with a target that a probe should look at now. */
  setProbeWanted(fn: (entry: Entry.Entry) => void): void;
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
  let wantProbe: (entry: Entry.Entry) => void = () => {};

  let candidates = Rendezvous.createCandidates([]);
  let instancesKey = "";
  let slotsEpoch = 0;
  let instancesCheckedMs = -Infinity;
  let latencyCheckedMs = nowMs();
  let aliveAtMs: number | undefined;

  /**
   * After a pause of the process a target may have been leaving for longer than
   * the bound, so each gets new work only after a probe.
   */
  function checkPause(): void {
    const now = nowMs();
    if (aliveAtMs === undefined || now - aliveAtMs < PROCESS_PAUSE_MS) return;
    log.warn("process-was-paused", { ms: Math.round(now - aliveAtMs) });
    aliveAtMs = now;
    for (const entry of directory.getAll()) {
      entry.recheckFromMs = now;
      entry.recheckUntilMs = now + RECHECK_LIMIT_MS;
      wantProbe(entry);
    }
  }

  function refreshInstances(): void {
    const now = nowMs();
    if (now - instancesCheckedMs < INSTANCES_CHECK_MS) return;
    instancesCheckedMs = now;
    const live = opts.getLiveInstances();
    const isListed = live.some((instance) => instance.id === self);
    const { domain, region } = opts;
    const next = isListed ? live : [...live, { id: self, domain, region }];
    const key = next.map((each) => `${each.id} ${each.domain}`).toSorted()
      .join("\n");
    if (key === instancesKey) return;
    instancesKey = key;
    candidates = Rendezvous.createCandidates(next);
    slotsEpoch++;
  }

  /** Assigns slots on use, so that a change of instances costs no long pause. */
  function refreshSlots(entry: Entry.Entry): void {
    if (entry.ownSlotsEpoch === slotsEpoch) return;
    entry.ownSlots = Rendezvous.getOwnSlots(entry.info, self, candidates);
    entry.ownSlotsEpoch = slotsEpoch;
  }

  function getOwnSlots(entry: Entry.Entry): number {
    if (!Entry.isUsable(entry)) return 0;
    refreshSlots(entry);
    return entry.ownSlots.length;
  }

  function notifySlotFree(service: Types.Service): void {
    for (const fn of slotListeners) fn(service);
  }

  function lease(entry: Entry.Entry): Contracts.SlotLease {
    entry.inFlight++;
    let isReleased = false;
    return {
      target: Entry.toView(entry),
      release(verdict) {
        Debug.assert(!isReleased, "a slot is released once");
        isReleased = true;
        entry.inFlight--;
        if (health.takeVerdict(entry, verdict)) wantProbe(entry);
        notifySlotFree(entry.info.service);
      },
      markLeaving: () => health.markLeaving(entry, "response-header"),
      getOwnedSlots: () => getOwnSlots(entry),
    };
  }

  function tryAcquire(
    service: Types.Service,
    region: Types.Region,
    exclude?: ReadonlySet<Types.TargetId>,
  ): Contracts.SlotLease | undefined {
    checkPause();
    refreshInstances();
    const group = directory.getGroup(service, region);
    group.forEach(refreshSlots);
    const { domain } = opts;
    const choice = { domain, exclude, nowMs: nowMs(), random };
    const entry = Choice.tryChoose(group, choice);
    return entry === undefined ? undefined : lease(entry);
  }

  function hasUsable(service: Types.Service, region: Types.Region): boolean {
    const now = nowMs();
    return directory.getGroup(service, region).some((entry) =>
      Entry.isUsable(entry) && !Entry.isPaused(entry, now)
    );
  }

  function setInstances(list: readonly Types.PlatformInstance[]): void {
    for (const entry of directory.setInstances(list)) wantProbe(entry);
    const services = new Set(list.map((info) => info.service));
    services.forEach(notifySlotFree);
  }

  /** True while a limit of the target grows by time alone. */
  function isTimeLimited(entry: Entry.Entry): boolean {
    return entry.state === "cold" || Number.isFinite(entry.shedLimit) ||
      Number.isFinite(entry.recheckUntilMs);
  }

  function tick(): void {
    refreshInstances();
    directory.refresh();
    const now = nowMs();
    if (now - latencyCheckedMs >= LATENCY_CHECK_MS) {
      latencyCheckedMs = now;
      for (const group of directory.getGroups()) health.checkLatency(group);
    }
    const services = new Set<Types.Service>();
    for (const entry of directory.getAll()) {
      const hasWaited = now >= entry.recheckUntilMs;
      if (isTimeLimited(entry)) services.add(entry.info.service);
      if (hasWaited) entry.recheckUntilMs = -Infinity;
      Entry.forgetShed(entry, now);
    }
    services.forEach(notifySlotFree);
  }

  function takeProbe(entry: Entry.Entry, result: Health.ProbeResult): void {
    health.takeProbe(entry, result);
    if (result.startedAtMs >= entry.recheckFromMs) {
      entry.recheckUntilMs = -Infinity;
    }
    directory.refresh();
    notifySlotFree(entry.info.service);
  }

  return {
    tryAcquire,
    hasUsable,
    onSlotFree: (fn) => void slotListeners.push(fn),
    list: () => Array.from(directory.getAll(), Entry.toView),
    setInstances,
    noteAlive() {
      checkPause();
      aliveAtMs = nowMs();
    },
    tick,
    takeProbe,
    tryGetEntry: directory.tryGet,
    getEntries: directory.getAll,
    getCounts: () => ({
      targets: directory.getCount(),
      instances: candidates.size,
    }),
    isOwner(entry) {
      refreshSlots(entry);
      return entry.ownSlots.length > 0;
    },
    setProbeWanted: (fn) => wantProbe = fn,
  };
}
