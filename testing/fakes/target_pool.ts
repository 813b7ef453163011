/**
 * A pool of targets without sockets. The test advances the clock and supplies the
 * results of probes and the verdicts of requests.
 */
import type * as Contracts from "../../src/contracts.ts";
import * as Log from "../../src/log.ts";
import type * as Health from "../../src/targets/health.ts";
import * as Pool from "../../src/targets/pool.ts";
import * as Rendezvous from "../../src/targets/rendezvous.ts";
import type * as Types from "../../src/types.ts";

/** A logger that writes errors only. */
export const log = Log.createLogger("error");
/** Verdict of a request that got a response with status 200 after 5 ms. */
export const ANSWERED = {
  kind: "answered",
  status: 200,
  latencyMs: 5,
} as const;
/** Verdict of a request that the target shed without running it. */
export const SHED = { kind: "shed" } as const;

/** Creates the platform entry of a target of service `s` in region `l`; `overrides` replaces fields. */
export function createTarget(
  id: string,
  overrides: Partial<Types.PlatformInstance> = {},
): Types.PlatformInstance {
  const location = { service: "s", domain: "l-1", region: "l" };
  const address = "127.0.0.1:1";
  return { id, ...location, address, slots: 9, state: "live", ...overrides };
}

/** Creates the entry instances i0, i1 and so on, alternating between two domains of region `l`. */
export function createEntryInstances(
  count: number,
): readonly Rendezvous.LiveInstance[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `i${i}`,
    domain: `l-${i % 2 + 1}`,
    region: "l",
  }));
}

/** Creates `count` entry instances in the form that the assignment of slots takes. */
export function createWeightedInstances(
  count: number,
): Rendezvous.WeightedInstances {
  return Rendezvous.createWeightedInstances(createEntryInstances(count));
}

/** Creates the pool of instance i0 and functions that advance its clock, report probes and acquire slots. */
export function createPoolRig(instances = createEntryInstances(1)) {
  let nowMs = 1_000;
  const clock = { nowMs: () => nowMs, wallMs: () => nowMs };
  const pool = Pool.createPool({
    self: "i0",
    domain: "l-1",
    region: "l",
    getLiveInstances: () => instances,
    log,
    clock,
  });
  const probe = (id: string, result: Partial<Health.ProbeResult> = {}) => {
    const entry = pool.tryGetEntry(id);
    if (entry === undefined) throw new Error(`no target ${id}`);
    const defaults = {
      reach: "ok",
      isLeaving: false,
      load: undefined,
    } as const;
    pool.recordProbe(entry, { ...defaults, startedAtMs: nowMs, ...result });
  };
  const acquireAll = () => {
    const leases: Contracts.SlotLease[] = [];
    for (;;) {
      const lease = pool.tryAcquire("s", "l");
      if (lease === undefined) return leases;
      leases.push(lease);
    }
  };
  return {
    pool,
    probe,
    acquireAll,
    acquire: () => {
      const lease = pool.tryAcquire("s", "l");
      if (lease === undefined) throw new Error("no slot");
      return lease;
    },
    advance: (ms: number) => {
      nowMs += ms;
      pool.tick();
    },
    getState: (id: string) => pool.list().find((view) => view.id === id)?.state,
  };
}

/** Returns the number of leases of slots at a target. */
export function countLeases(
  leases: readonly Contracts.SlotLease[],
  id: string,
): number {
  return leases.filter((lease) => lease.target.id === id).length;
}
