/** The fault proxy as a process of its own. */
import type * as Types from "../../src/types.ts";
import type * as Faults from "../fault_proxy/faults.ts";
import type * as Proxy from "../fault_proxy/proxy.ts";
import * as Control from "./control.ts";
import * as Process from "./process.ts";

/** A running proxy process; the same controls as in the library. */
export interface FaultProxyProcess {
  readonly process: Process.ManagedProcess;
  readonly address: Types.Address;
  readonly control: Types.Address;
  setTarget(target: Types.Address): Promise<void>;
  getFaults(): Promise<Faults.ProxyFaults>;
  setFaults(patch: Faults.FaultPatch): Promise<void>;
  heal(): Promise<void>;
  resetConnections(): Promise<void>;
  getStats(): Promise<Proxy.ProxyStats>;
}

/** Starts a proxy; without a target it resets connections until one is set. */
export async function startFaultProxy(
  opts: { readonly target?: Types.Address; readonly name?: string } = {},
): Promise<FaultProxyProcess> {
  const process = await Process.startProcess({
    script: "testing/fault_proxy/main.js",
    args: opts.target === undefined ? [] : ["--target", opts.target],
    name: opts.name ?? "fault_proxy",
  });
  const control = process.getText("control");
  const call = Control.createControlClient(control);
  return {
    process,
    address: process.getText("address"),
    control,
    async setTarget(target) {
      await call("PUT", "/target", { target });
    },
    getFaults: async () => await call("GET", "/faults") as Faults.ProxyFaults,
    async setFaults(patch) {
      await call("PUT", "/faults", patch);
    },
    async heal() {
      await call("DELETE", "/faults");
    },
    async resetConnections() {
      await call("DELETE", "/connections");
    },
    getStats: async () => await call("GET", "/stats") as Proxy.ProxyStats,
  };
}
