/**
 * What is in force at this instance: configuration, evacuated domains, targets.
 * Promise: a version never gives way to an older one, an entry that can't be
 * read leaves the others in force.
 */
import type * as Clock from "../clock.ts";
import * as Debug from "../debug.ts";
import type * as Log from "../log.ts";
import type * as Types from "../types.ts";
import type * as GatewayTypes from "./types.ts";

/** Changes that come together are named one by one up to this number. */
const MAX_NAMED = 40;

/** A target that may get requests, or is about to leave. */
export interface KnownTarget {
  readonly entry: GatewayTypes.TargetEntry;
  readonly region: Types.Region;
  /** Monotonic ms until which the target is cold. */
  readonly coldUntilMs: number;
}

/** The state in force. */
export interface State {
  apply(change: GatewayTypes.StateChange): void;
  /** Applies changes that come together, after a start or a gap; one line for all new targets. */
  applyAll(changes: readonly GatewayTypes.StateChange[]): void;
  getConfig(): GatewayTypes.RouteConfig | undefined;
  isEvacuated(domain: Types.Domain): boolean;
  /** Targets of a service that may get new requests. */
  getUsableTargets(service: Types.Service): readonly KnownTarget[];
  tryGetTarget(id: Types.TargetId): KnownTarget | undefined;
  /** Changes with each change of usable targets; for caches. */
  getMembershipEpoch(): number;
  /** Until that time, targets whose entries vanish stay in use unless they stay away. */
  setEntryGrace(untilMs: number): void;
  /** Time left of it, ms; negative when it is over. */
  getEntryGraceMs(): number;
  /** Drops targets whose grace has ended. */
  removeMissingTargets(): void;
  onConfig(fn: (config: GatewayTypes.RouteConfig) => void): void;
  onTargetRemoved(fn: (target: KnownTarget) => void): void;
}

/** Creates an empty state. */
export function createState(opts: {
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
  readonly regionOfDomain: ReadonlyMap<Types.Domain, Types.Region>;
}): State {
  const { clock, log } = opts;
  const targets = new Map<Types.TargetId, KnownTarget>();
  const lapsed = new Set<Types.TargetId>();
  const evacuated = new Set<Types.Domain>();
  const configListeners: ((config: GatewayTypes.RouteConfig) => void)[] = [];
  const goneListeners: ((target: KnownTarget) => void)[] = [];
  let config: GatewayTypes.RouteConfig | undefined;
  let graceUntilMs = -Infinity;
  let epoch = 0;
  let usable = new Map<Types.Service, readonly KnownTarget[]>();
  /** New targets of a series that get one line together; undefined outside of one. */
  let unnamed: number | undefined;

  function noteMembershipChange(): void {
    epoch++;
    usable = new Map();
  }

  function applyConfig(next: GatewayTypes.RouteConfig): void {
    if (config !== undefined && next.version <= config.version) return;
    config = next;
    let routes = 0;
    for (const list of next.routesByHost.values()) routes += list.length;
    log.info("config-in-force", {
      version: next.version,
      routes,
      accounts: next.accounts.size,
      keys: next.keys.size,
    });
    for (const fn of configListeners) fn(next);
  }

  function removeTarget(id: Types.TargetId, reason: string): void {
    const target = targets.get(id);
    lapsed.delete(id);
    if (target === undefined) return;
    targets.delete(id);
    noteMembershipChange();
    log.info("target-gone", { target: id, reason });
    for (const fn of goneListeners) fn(target);
  }

  function applyTarget(entry: GatewayTypes.TargetEntry): void {
    lapsed.delete(entry.id);
    const before = targets.get(entry.id);
    const isSameRun = before !== undefined &&
      before.entry.startedAtMs === entry.startedAtMs &&
      before.entry.address === entry.address;
    if (before !== undefined && !isSameRun) {
      for (const fn of goneListeners) fn(before);
    }
    const region = opts.regionOfDomain.get(entry.domain) ?? entry.domain;
    const coldUntilMs = clock.nowMs() + entry.coldLeftMs;
    targets.set(entry.id, { entry, region, coldUntilMs });
    noteMembershipChange();
    const isKnown = before !== undefined && isSameRun &&
      before.entry.isLeaving === entry.isLeaving &&
      before.entry.service === entry.service;
    if (isKnown) return;
    if (unnamed !== undefined && !entry.isLeaving) {
      unnamed++;
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

  function apply(change: GatewayTypes.StateChange): void {
    switch (change.kind) {
      case "config":
        return applyConfig(change.config);
      case "evacuation": {
        const { domain, isActive } = change;
        if (isActive) evacuated.add(domain);
        else evacuated.delete(domain);
        noteMembershipChange();
        log.info("evacuation", { domain, isActive });
        return;
      }
      case "target":
        return applyTarget(change.entry);
      case "target-gone":
        if (clock.nowMs() < graceUntilMs) lapsed.add(change.id);
        else removeTarget(change.id, "entry removed");
        return;
      case "unreadable":
        log.warn("item-unreadable", {
          key: change.key,
          detail: change.detail,
        });
        return;
      default:
        return Debug.assertNever(change);
    }
  }

  return {
    apply,
    applyAll(changes) {
      if (changes.length <= MAX_NAMED) return changes.forEach(apply);
      unnamed = 0;
      changes.forEach(apply);
      log.info("targets-known", { count: unnamed, all: targets.size });
      unnamed = undefined;
    },
    getConfig: () => config,
    isEvacuated: (domain) => evacuated.has(domain),
    getUsableTargets(service) {
      const known = usable.get(service);
      if (known !== undefined) return known;
      const list = [...targets.values()].filter(({ entry }) =>
        entry.service === service && !entry.isLeaving &&
        !evacuated.has(entry.domain)
      );
      usable.set(service, list);
      return list;
    },
    tryGetTarget: (id) => targets.get(id),
    getMembershipEpoch: () => epoch,
    setEntryGrace(untilMs) {
      graceUntilMs = Math.max(graceUntilMs, untilMs);
    },
    getEntryGraceMs: () => graceUntilMs - clock.nowMs(),
    removeMissingTargets() {
      if (lapsed.size === 0 || clock.nowMs() < graceUntilMs) return;
      for (const id of [...lapsed]) removeTarget(id, "not back after outage");
    },
    onConfig: (fn) => void configListeners.push(fn),
    onTargetRemoved: (fn) => void goneListeners.push(fn),
  };
}
