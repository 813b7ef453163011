/**
 * The state in force at this instance: configuration, evacuated domains, targets.
 * Invariants: an older configuration version never replaces a newer one, except
 * through `applyRollback`, and an unreadable item leaves the others in force.
 */
import type * as Clock from "../clock.ts";
import * as Debug from "../debug.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

/** Larger batches of changes log the number of new targets instead of one line per target. */
const MAX_LOGGED_CHANGES = 40;
/** Unreadable items that are remembered, so that each is logged once. */
const MAX_UNREADABLE = 1_000;

/** A target that is usable or leaving. */
export interface KnownTarget {
  readonly entry: GatewayTypes.TargetEntry;
  readonly region: Types.Region;
  /** Monotonic time until which the target is cold, ms. */
  readonly coldUntilMs: number;
}

/** The state in force at this instance. */
export interface State {
  apply(change: GatewayTypes.StateChange): void;
  /** Applies a batch of changes, as after a start or a gap; a large batch logs one line for all its new targets. */
  applyAll(changes: readonly GatewayTypes.StateChange[]): void;
  /** Applies a change of a restored store that nobody has superseded; a configuration may have a lower version. */
  applyRollback(change: GatewayTypes.StateChange): void;
  getConfig(): GatewayTypes.RouteConfig | undefined;
  isEvacuated(domain: Types.Domain): boolean;
  /** Targets of a service that may receive new requests. */
  getUsableTargets(service: Types.Service): readonly KnownTarget[];
  tryGetTarget(id: Types.TargetId): KnownTarget | undefined;
  /** Changes whenever the set of usable targets may have changed; for caches. */
  getMembershipEpoch(): number;
  /** Until `untilMs` (monotonic), targets whose entries are missing stay in use, as the entries may reappear. */
  setEntryGrace(untilMs: number): void;
  /** Remaining time of the grace period, ms; negative after its end. */
  getEntryGraceMs(): number;
  /** Removes targets whose entries are still missing after the grace period. */
  removeMissingTargets(): void;
  onConfig(listener: (config: GatewayTypes.RouteConfig) => void): void;
  onTargetRemoved(listener: (target: KnownTarget) => void): void;
}

/** Creates an empty state. */
export function createState(opts: {
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
  readonly regionOfDomain: ReadonlyMap<Types.Domain, Types.Region>;
}): State {
  const { clock, log } = opts;
  const targets = new Map<Types.TargetId, KnownTarget>();
  /** Targets whose entries went missing during the grace period. */
  const missing = new Set<Types.TargetId>();
  const evacuated = new Set<Types.Domain>();
  /** What is wrong with each unreadable item, by key; the last found at the end. */
  const unreadable = new Map<string, string>();
  const configListeners: ((config: GatewayTypes.RouteConfig) => void)[] = [];
  const removalListeners: ((target: KnownTarget) => void)[] = [];
  let config: GatewayTypes.RouteConfig | undefined;
  let graceUntilMs = -Infinity;
  let epoch = 0;
  let usableTargets = new Map<Types.Service, readonly KnownTarget[]>();
  /** New targets of the current batch that get no line of their own; undefined outside a large batch. */
  let unloggedCount: number | undefined;

  function recordMembershipChange(): void {
    epoch++;
    usableTargets = new Map();
  }

  function putInForce(newConfig: GatewayTypes.RouteConfig): void {
    config = newConfig;
    let routes = 0;
    for (const list of newConfig.routesByHost.values()) routes += list.length;
    log.info("config-in-force", {
      version: newConfig.version,
      routes,
      accounts: newConfig.accounts.size,
      keys: newConfig.keys.size,
    });
    for (const listener of configListeners) listener(newConfig);
  }

  function applyConfig(newConfig: GatewayTypes.RouteConfig): void {
    if (config !== undefined && newConfig.version <= config.version) return;
    putInForce(newConfig);
  }

  function removeTarget(id: Types.TargetId, reason: string): void {
    const target = targets.get(id);
    missing.delete(id);
    if (target === undefined) return;
    targets.delete(id);
    recordMembershipChange();
    log.info("target-gone", { target: id, reason });
    for (const listener of removalListeners) listener(target);
  }

  function applyTarget(entry: GatewayTypes.TargetEntry): void {
    missing.delete(entry.id);
    const previous = targets.get(entry.id);
    const isSameProcess = previous !== undefined &&
      previous.entry.startedAtMs === entry.startedAtMs &&
      previous.entry.address === entry.address;
    if (previous !== undefined && !isSameProcess) {
      for (const listener of removalListeners) listener(previous);
    }
    const region = opts.regionOfDomain.get(entry.domain) ?? entry.domain;
    const coldUntilMs = clock.nowMs() + entry.coldLeftMs;
    targets.set(entry.id, { entry, region, coldUntilMs });
    recordMembershipChange();
    const isUnchanged = previous !== undefined && isSameProcess &&
      previous.entry.isLeaving === entry.isLeaving &&
      previous.entry.service === entry.service;
    if (isUnchanged) return;
    if (unloggedCount !== undefined && !entry.isLeaving) {
      unloggedCount++;
      return;
    }
    log.info(entry.isLeaving ? "target-leaving" : "target-known", {
      target: entry.id,
      service: entry.service,
      address: entry.address,
      domain: entry.domain,
      coldLeftMs: entry.coldLeftMs,
    });
  }

  /** Logs an item once, although its writer may renew it every second. */
  function logUnreadable(key: string, detail: string): void {
    const isLogged = unreadable.get(key) === detail;
    unreadable.delete(key);
    unreadable.set(key, detail);
    const [oldest] = unreadable.keys();
    if (unreadable.size > MAX_UNREADABLE) unreadable.delete(oldest!);
    if (!isLogged) log.warn("item-unreadable", { key, detail });
  }

  function apply(change: GatewayTypes.StateChange): void {
    switch (change.kind) {
      case "config":
        return applyConfig(change.config);
      case "evacuation": {
        const { domain, isActive } = change;
        if (isActive) evacuated.add(domain);
        else evacuated.delete(domain);
        recordMembershipChange();
        log.info("evacuation", { domain, isActive });
        return;
      }
      case "target":
        return applyTarget(change.entry);
      case "target-gone":
        if (clock.nowMs() < graceUntilMs) missing.add(change.id);
        else removeTarget(change.id, "entry removed");
        return;
      case "unreadable":
        return logUnreadable(change.key, change.detail);
      default:
        return Debug.assertNever(change);
    }
  }

  return {
    apply,
    applyAll(changes) {
      if (changes.length <= MAX_LOGGED_CHANGES) return changes.forEach(apply);
      unloggedCount = 0;
      changes.forEach(apply);
      log.info("targets-known", { count: unloggedCount, all: targets.size });
      unloggedCount = undefined;
    },
    applyRollback(change) {
      if (change.kind === "config") putInForce(change.config);
      else apply(change);
    },
    getConfig: () => config,
    isEvacuated: (domain) => evacuated.has(domain),
    getUsableTargets(service) {
      const cached = usableTargets.get(service);
      if (cached !== undefined) return cached;
      const serviceTargets = [...targets.values()].filter(({ entry }) =>
        entry.service === service && !entry.isLeaving &&
        !evacuated.has(entry.domain)
      );
      usableTargets.set(service, serviceTargets);
      return serviceTargets;
    },
    tryGetTarget: (id) => targets.get(id),
    getMembershipEpoch: () => epoch,
    setEntryGrace(untilMs) {
      graceUntilMs = Math.max(graceUntilMs, untilMs);
    },
    getEntryGraceMs: () => graceUntilMs - clock.nowMs(),
    removeMissingTargets() {
      if (missing.size === 0 || clock.nowMs() < graceUntilMs) return;
      for (const id of [...missing]) removeTarget(id, "not back after outage");
    },
    onConfig: (listener) => void configListeners.push(listener),
    onTargetRemoved: (listener) => void removalListeners.push(listener),
  };
}
