/**
 * A pool of targets under a clock that the test moves, without sockets: probes
 * and verdicts are what the test says.
 */
import type * as Contracts from "../../src/contracts.ts";
import * as Log from "../../src/log.ts";
import type * as Health from "../../src/targets/health.ts";
import * as Pool from "../../src/targets/pool.ts";
import * as Rendezvous from "../../src/targets/rendezvous.ts";
import type * as Types from "../../src/types.ts";

/** Writes errors only. */
export const log = Log.createLogger("error");
/** Verdicts that tests use most. */
export const ANSWERED = {
  kind: "answered",
  status: 200,
  latencyMs: 5,
} as const;
/** The target did not run the request. */
export const SHED = { kind: "shed" } as const;

/** A line of the instance list: a target of service s in region l. */
export function target(
  id: string,
  more: Partial<Types.PlatformInstance> = {},
): Types.PlatformInstance {
  const place = { service: "s", domain: "l-1", region: "l" };
  const address = "127.0.0.1:1";
  return { id, ...place, address, slots: 9, state: "live", ...more };
}

/** Entry instances i0, i1 and so on, in two domains of region l. */
export function entryInstances(
  count: number,
): readonly Rendezvous.LiveInstance[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `i${i}`,
    domain: `l-${i % 2 + 1}`,
    region: "l",
  }));
}

/** The same, prepared for the assignment of slots. */
export function candidates(count: number): Rendezvous.WeightedInstances {
  return Rendezvous.createWeightedInstances(entryInstances(count));
}

/** A pool as instance i0 under a clock that the test moves. */
export function createRig(instances = entryInstances(1)) {
  let now = 1_000;
  const clock = { nowMs: () => now, wallMs: () => now };
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
    pool.recordProbe(entry, { ...defaults, startedAtMs: now, ...result });
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
    pass: (ms: number) => {
      now += ms;
      pool.tick();
    },
    stateOf: (id: string) => pool.list().find((each) => each.id === id)?.state,
  };
}

/** How many of the leases are on a target. */
export function countOf(
  leases: readonly Contracts.SlotLease[],
  id: string,
): number {
  return leases.filter((lease) => lease.target.id === id).length;
}
