/**
 * Targets of all services: which there are, how they are, and which of them to
 * use. Promise: see the modules of this directory; this one joins the pool with
 * the task that probes.
 */
import type * as Contracts from "../contracts.ts";
import type * as Supervisor from "../supervisor.ts";
import * as Pool from "./pool.ts";
import * as Prober from "./prober.ts";

/** What the targets need of their instance. */
export interface TargetsOptions extends Pool.PoolOptions {
  readonly supervisor: Supervisor.Supervisor;
  /** Source IP of probes. */
  readonly localAddress?: string | undefined;
}

/** The targets with their probing task. */
export interface RunningTargets extends Contracts.Targets {
  /** Starts probing; until then the list and requests are the only signals. */
  start(): void;
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
