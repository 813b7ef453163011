/**
 * Calls at the platform's store by idle fleets of three shapes, with the
 * lease's settings for 620 nodes, and the control cost of an idle instance.
 * The baseline is the smallest fleet.
 */
import * as Clock from "../../src/clock.ts";
import type * as Fleet from "../fleet/fleet.ts";
import type * as Report from "./report.ts";
import * as Rig from "./rig.ts";
import * as Usage from "./usage.ts";

/** Instances of the two domains of each region, and the number of regions. */
const SHAPES = [
  { regions: 1, instances: [2, 0] },
  { regions: 1, instances: [8, 0] },
  { regions: 2, instances: [2, 2] },
] as const;
/** Section 5.2, for 620 nodes. */
const LEASE = { leaseTtlMs: 30_000, leaseRenewMs: 10_000 } as const;
const SETTLE_MS = 2_500;
/** Covers one renewal of each lease. */
const SAMPLE_MS = 10_000;
/** The store's two thousand reads a second over 620 nodes and 17 domains. */
const MAX_READS_PER_S = 2_000;
const NODES = 620;
const WRITE_OPS: ReadonlySet<string> = new Set([
  "cas",
  "remove",
  "grant",
  "renew",
  "release",
]);

interface Calls {
  readonly reads: number;
  readonly writes: number;
  readonly byOp: string;
}

async function sampleCalls(fleet: Fleet.Fleet): Promise<Calls> {
  await fleet.platform.resetCounters();
  const startedAtMs = performance.now();
  await Clock.sleep(SAMPLE_MS);
  const { byOp } = await fleet.platform.getCounters();
  const seconds = (performance.now() - startedAtMs) / 1_000;
  let reads = 0;
  let writes = 0;
  for (const [op, count] of Object.entries(byOp)) {
    // The stand-ins' registrations are not the store's.
    if (op === "register") continue;
    if (WRITE_OPS.has(op)) writes += count;
    else reads += count;
  }
  const text = Object.entries(byOp)
    .map(([op, count]) => `${op}:${(count / seconds).toFixed(2)}`);
  return {
    reads: reads / seconds,
    writes: writes / seconds,
    byOp: text.join(" "),
  };
}

async function measure(
  report: Report.Report,
  shape: typeof SHAPES[number],
): Promise<number> {
  const names = ["north", "south"].slice(0, shape.regions);
  const fleet = await Rig.startRig({
    table: {
      regions: names.map((region) => ({ region })),
      accounts: { bench: { rate: 100, burst: 200 } },
    },
    instances: shape.instances,
    workers: 0,
    slots: 1,
    serviceMs: 1,
    settings: LEASE,
  });
  await Clock.sleep(SETTLE_MS);
  const pids = fleet.instances.map((one) => one.process.pid);
  const from = pids.map(Usage.readUsage);
  const calls = await sampleCalls(fleet);
  const rates = pids.map((pid, i) => {
    const before = from[i];
    if (before === undefined) throw new Error("no first reading");
    return Usage.getRate(before, Usage.readUsage(pid));
  });
  const records = (await fleet.platform.getEntries())
    .filter((one) => one.key.startsWith("members/"));
  const memberBytes = JSON.stringify(records).length / records.length;
  const domains = new Set(fleet.instances.map((one) => one.domain)).size;
  const count = pids.length;
  const sum = (get: (one: Usage.UsageRate) => number) =>
    rates.reduce((total, one) => total + get(one), 0);
  report.line({
    instances: count,
    domains,
    readsPerS: calls.reads.toFixed(2),
    writesPerS: calls.writes.toFixed(2),
    readsPerSPerInstance: (calls.reads / count).toFixed(3),
    writesPerSPerInstance: (calls.writes / count).toFixed(3),
    byOp: calls.byOp,
    memberRecordBytes: Math.round(memberBytes),
    cpuPercentPerInstance: (sum((one) => one.cpuPercent) / count).toFixed(2),
    wakeupsPerSPerInstance: (sum((one) => one.wakeupsPerS) / count).toFixed(1),
    sentBytesPerSPerInstance: Math.round(
      sum((one) => one.writtenBytesPerS) / count,
    ),
    rssMbPerInstance: (sum((one) => one.rssMb) / count).toFixed(1),
  });
  await fleet.stop();
  return calls.reads / count;
}

/** Runs the bench. */
export async function run(report: Report.Report): Promise<void> {
  const perInstance: number[] = [];
  for (const shape of SHAPES) perInstance.push(await measure(report, shape));
  report.figure({
    figure: "reads_per_instance_of_large_domain",
    value: perInstance[1] ?? 0,
    unit: "1/s",
    bound: MAX_READS_PER_S / NODES,
    limit: "at-most",
  });
}
