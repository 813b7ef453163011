/**
 * Control cost of idle instances by the number of targets: processor time,
 * memory, and bytes of probes, instance list and peers. The baseline is the
 * same fleet without targets.
 */
import * as Clock from "../../src/clock.ts";
import type * as Fleet from "../fleet/fleet.ts";
import * as ProbeSink from "./probe_sink.ts";
import type * as Report from "./report.ts";
import * as Rig from "./rig.ts";
import * as Usage from "./usage.ts";

const SIZES = [0, 4, 16, 64] as const;
const SETTLE_MS = 4_000;
const SAMPLE_MS = 5_000;
/** Section 1.6: control costs of a node. */
const MAX_CPU_PERCENT = 2.9;

function mean(values: readonly number[]): number {
  return values.reduce((sum, one) => sum + one, 0) / values.length;
}

async function measure(
  report: Report.Report,
  fleet: Fleet.Fleet,
  count: number,
): Promise<void> {
  const sink = await ProbeSink.startProbeSink({
    count,
    service: Rig.SERVICE,
    domains: fleet.instances,
    platform: fleet.platform.address,
  });
  await Clock.sleep(SETTLE_MS);
  const pids = fleet.instances.map((one) => one.process.pid);
  const from = pids.map(Usage.readUsage);
  const probes = sink.getProbes();
  const bytes = sink.getBytes();
  await Clock.sleep(SAMPLE_MS);
  const rates = pids.map((pid, i) => {
    const before = from[i];
    if (before === undefined) throw new Error("no first reading");
    return Usage.getRate(before, Usage.readUsage(pid));
  });
  const seconds = mean(rates.map((one) => one.seconds));
  const perInstance = seconds * pids.length;
  const probeBytes = (sink.getBytes() - bytes) / perInstance;
  const sent = rates.map((one) => one.writtenBytesPerS);
  const received = rates.map((one) => one.readBytesPerS);
  const control = mean(sent) + mean(received) - probeBytes;
  report.line({
    targets: count,
    instances: pids.length,
    seconds: seconds.toFixed(1),
    probeCallsPerSPerInstance: ((sink.getProbes() - probes) / perInstance)
      .toFixed(1),
    probeBytesPerSPerInstance: Math.round(probeBytes),
    otherBytesPerSPerInstance: Math.round(control),
    maxSentBytesPerS: Math.round(Math.max(...sent)),
    // Readers of the platform's list receive most, the others only changes.
    minReceivedBytesPerS: Math.round(Math.min(...received)),
    maxReceivedBytesPerS: Math.round(Math.max(...received)),
    cpuPercentPerInstance: mean(rates.map((one) => one.cpuPercent)).toFixed(2),
    maxCpuPercent: Math.max(...rates.map((one) => one.cpuPercent)).toFixed(2),
    wakeupsPerSPerInstance: mean(rates.map((one) => one.wakeupsPerS))
      .toFixed(1),
    rssMbPerInstance: mean(rates.map((one) => one.rssMb)).toFixed(1),
  });
  if (count === SIZES.at(-1)) {
    report.figure({
      figure: "control_cpu_with_64_targets",
      value: Math.max(...rates.map((one) => one.cpuPercent)),
      unit: "percent",
      bound: MAX_CPU_PERCENT,
      limit: "at-most",
    });
  }
  await sink.close();
}

/** Runs the bench. */
export async function run(report: Report.Report): Promise<void> {
  const fleet = await Rig.startRig({
    table: {
      regions: [{ region: "north" }],
      accounts: { bench: { rate: 100, burst: 200 } },
    },
    instances: [4, 0],
    workers: 0,
    slots: 1,
    serviceMs: 1,
  });
  for (const count of SIZES) await measure(report, fleet, count);
  await fleet.stop();
}
