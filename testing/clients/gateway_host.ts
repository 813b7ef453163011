/** A gateway process with lowered limits, for tests of clients that misbehave. */
import * as GatewayProcess from "../harness/gateway.ts";
import * as KvStore from "../kv/kv_store.ts";
import * as KvTarget from "../kv/kv_target.ts";
import * as Usage from "./usage.ts";

const MB = 1_000_000;

/** The machine of the process. */
export const machine = { memoryMb: 150, maxFds: 300, heapMb: 64 } as const;
/** Limits of the configuration. */
export const limits = {
  maxBodyBytes: MB,
  maxHeaderBytes: 16_384,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 2_000,
} as const;

/** A gateway process, its target and what it uses. */
export interface GatewayHost {
  readonly instance: GatewayProcess.GatewayProcess;
  readonly target: KvTarget.KvTarget;
  readonly usage: Usage.UsageWatch;
  close(): Promise<void>;
}

let hostCount = 0;

/** Starts a process that is ready; `config` is the configuration record without its limits. */
export async function startGatewayHost(
  config: string,
  memoryMb: number = machine.memoryMb,
): Promise<GatewayHost> {
  const kv = await KvStore.startKvStore();
  const record = { ...JSON.parse(config), limits };
  kv.put("op/config", JSON.stringify(record));
  const target = await KvTarget.startKvTarget(kv, "i-0", "orders", "north-a");
  hostCount++;
  const instance = GatewayProcess.startGatewayProcess({
    id: "front-0",
    domain: "north-a",
    region: "north",
    ip: `127.${40 + process.pid % 10}.${process.pid >> 8 & 0xff}.${
      1 + hostCount % 250
    }`,
    store: kv.address,
    regionOfDomain: { "north-a": "north" },
    limits: { memoryMb, maxFds: machine.maxFds },
    nodeArgs: [`--max-old-space-size=${machine.heapMb}`],
  });
  await instance.waitUntilReady();
  const usage = Usage.watchUsage(instance.pid);
  return {
    instance,
    target,
    usage,
    async close() {
      usage.stop();
      instance.signal("SIGKILL");
      await instance.exited;
      await target.close();
      await kv.close();
    },
  };
}
