/**
 * Targets of all services: directory, health and choice. Combines the pool with
 * the supervised task that probes it; the other modules of this folder state
 * the guarantees.
 */
import type * as Contracts from "../contracts.ts";
import type * as Supervisor from "../supervisor.ts";
import * as Pool from "./pool.ts";
import * as Prober from "./prober.ts";

/** Options of `createTargets`. */
export interface TargetsOptions extends Pool.PoolOptions {
  readonly supervisor: Supervisor.Supervisor;
  /** Source IP of probes. */
  readonly localAddress?: string | undefined;
}

/** The targets, with control of their probing task. */
export interface RunningTargets extends Contracts.Targets {
  /** Starts probing; until then, health is known from the instance list and requests only. */
  start(): void;
  /** Stops probing. */
  stop(): Promise<void>;
}

/** Creates the targets of an entry instance. */
export function createTargets(opts: TargetsOptions): RunningTargets {
  const supervisor = opts.supervisor.createChild("targets");
  const pool = Pool.createPool(opts);
  const prober = Prober.createProber(pool, opts.clock, opts.localAddress);
  return {
    tryAcquire: pool.tryAcquire,
    hasUsable: pool.hasUsable,
    onSlotFree: pool.onSlotFree,
    list: pool.list,
    setInstances: pool.setInstances,
    start: () => supervisor.run("probes", prober.run),
    stop: () => supervisor.stop(),
  };
}
