/** The stand-in for the platform as a process, with its controls. */
import type * as Types from "../../src/types.ts";
import type * as Faults from "../platform/faults.ts";
import type * as Store from "../platform/store.ts";
import * as Control from "./control.ts";
import * as Process from "./process.ts";

/** Calls since the start or the last reset. */
export interface PlatformCounters {
  readonly total: number;
  readonly byOp: Readonly<Record<string, number>>;
  readonly pendingWatches: number;
}

/** A running stand-in. */
export interface PlatformProcess {
  readonly process: Process.ManagedProcess;
  readonly address: Types.Address;
  readonly control: Types.Address;
  /** Changes the given faults. */
  setFaults(patch: Partial<Faults.Faults>): Promise<Faults.Faults>;
  getCounters(): Promise<PlatformCounters>;
  resetCounters(): Promise<void>;
  /** All records, not counted as a call. */
  getEntries(): Promise<readonly Store.StoredRecord[]>;
}

/** Starts the stand-in. */
export async function startPlatform(
  opts: { readonly listLagMs?: number; readonly name?: string } = {},
): Promise<PlatformProcess> {
  const process = await Process.startProcess({
    script: "testing/platform/main.js",
    args: ["--list-lag-ms", String(opts.listLagMs ?? 0)],
    name: opts.name ?? "platform",
  });
  const control = process.getText("control");
  const call = Control.createControlClient(control);
  return {
    process,
    address: process.getText("address"),
    control,
    setFaults: async (patch) =>
      await call("PUT", "/faults", patch) as Faults.Faults,
    getCounters: async () => await call("GET", "/counters") as PlatformCounters,
    async resetCounters() {
      await call("DELETE", "/counters");
    },
    async getEntries() {
      const body = await call("GET", "/entries");
      return (body as { entries: readonly Store.StoredRecord[] }).entries;
    },
  };
}
