/**
 * Region caps during a weight shift and the loss of a region's targets, with
 * more demand than the surviving region's cap: most requests that targets of a
 * region started in any one-second window, over the cap. The steady phase is
 * the baseline.
 */
import * as Clock from "../../src/clock.ts";
import type * as Fleet from "../fleet/fleet.ts";
import * as LoadRun from "../load/load.ts";
import type * as Plan from "../load/plan.ts";
import type * as Records from "../target/records.ts";
import * as Report from "./report.ts";
import * as Rig from "./rig.ts";

const ACCOUNT = "bench";
const CAP_RPS = 200;
const SHIFT_PCT_PER_S = 20;
/** Of each region's callers; with the popular reads, both regions' demand is 1.4 caps. */
const RATE_PER_S = 70;
/** Reads of one path, in flight at several targets when these are lost. */
const POPULAR_PER_S = 70;
const POPULAR = "popular";
/** Result code of a request that is blocked as poison. */
const POISONED_CODE = "125";
const STEADY_MS = 5_000;
const DRAINED_MS = 10_000;
const BACK_MS = 9_000;
const LOST_MS = 9_000;
const WINDOW_MS = 1_000;

type Row = Pick<Records.ExecutionRecord, "startedWallMs">;

function formatTable(northWeight: number): string {
  return Rig.formatTable(getTable(northWeight));
}

function getTable(northWeight: number): Rig.TableOptions {
  const row = { capRps: CAP_RPS, shiftPctPerS: SHIFT_PCT_PER_S };
  return {
    regions: [
      { region: "north", weight: northWeight, ...row },
      { region: "south", weight: 100, ...row },
    ],
    accounts: { [ACCOUNT]: { rate: 2_000, burst: 4_000 } },
  };
}

function createCaller(
  fleet: Fleet.Fleet,
  region: string,
  name: string,
  ratePerS: number,
): Plan.CallerPlan {
  return {
    name,
    addresses: fleet.instances.filter((one) => one.region === region)
      .map((one) => one.caller),
    arrivals: { kind: "open", ratePerS, spacing: "poisson" },
    request: {
      method: "GET",
      path: `/s/${Rig.SERVICE}${Rig.READ_PATH}`,
      headers: { "anvilroute-key": Rig.getKey(fleet, ACCOUNT) },
    },
  };
}

interface Phase {
  readonly name: string;
  readonly fromMs: number;
}

function printPhases(
  report: Report.Report,
  region: string,
  rows: readonly Row[],
  phases: readonly Phase[],
): number {
  let worst = 0;
  phases.forEach(({ name, fromMs }, i) => {
    const toMs = phases[i + 1]?.fromMs ?? Infinity;
    const times = rows.map((one) => one.startedWallMs)
      .filter((at) => at >= fromMs && at < toMs);
    const peak = Rig.getPeak(times, WINDOW_MS);
    worst = Math.max(worst, peak);
    const seconds = (Math.min(toMs, times.at(-1) ?? fromMs) - fromMs) / 1_000;
    report.line({
      region,
      phase: name,
      started: times.length,
      meanPerS: seconds > 0 ? Math.round(times.length / seconds) : 0,
      peakPerS: peak,
      cap: CAP_RPS,
    });
  });
  // Windows over two phases count as well.
  const all = Rig.getPeak(rows.map((one) => one.startedWallMs), WINDOW_MS);
  return Math.max(worst, all) / CAP_RPS;
}

/** Runs the bench. */
export async function run(report: Report.Report): Promise<void> {
  const fleet = await Rig.startRig({
    table: getTable(100),
    instances: [2, 1],
    workers: 8,
    slots: 12,
    serviceMs: 20,
  });
  const phases: Phase[] = [];
  const start = (name: string) => phases.push({ name, fromMs: Date.now() });
  let refusedSteady = 0;
  const load = LoadRun.runLoad({
    callers: ["north", "south"].flatMap((region) => [
      createCaller(fleet, region, region, RATE_PER_S),
      createCaller(fleet, region, POPULAR, POPULAR_PER_S),
    ]),
    durationMs: STEADY_MS + DRAINED_MS + BACK_MS + LOST_MS,
    maxRequests: 1e6,
    timeoutMs: 12_000,
  }, {
    onAnswer({ status }) {
      if (phases.length === 1 && status !== 200) refusedSteady++;
    },
    makeRequest: (caller, n) =>
      caller.name === POPULAR ? caller.request : {
        ...caller.request,
        path: `/s/${Rig.SERVICE}/lots/${caller.name}-${n}`,
      },
  });
  const north = fleet.targets.filter((one) => one.region === "north");
  const south = fleet.targets.filter((one) => one.region === "south");
  start("steady");
  await Clock.sleep(STEADY_MS);
  start("north-to-0");
  await fleet.writeTable(formatTable(0));
  await Clock.sleep(DRAINED_MS);
  start("north-to-100");
  await fleet.writeTable(formatTable(100));
  await Clock.sleep(BACK_MS);
  // A killed target's records are lost with it.
  const northRuns = await Rig.collectRuns(north);
  start("north-lost");
  await Promise.all(north.map((one) => one.process.kill()));
  const loaded = await load;
  const southRuns = await Rig.collectRuns(south);
  const ratios = [
    printPhases(report, "north", northRuns, phases.slice(0, -1)),
    printPhases(report, "south", southRuns, phases),
  ];
  for (const [callers, summary] of Object.entries(loaded.callers)) {
    report.line({
      callers,
      sent: summary.sent,
      good: summary.byStatus["200"] ?? 0,
      codes: JSON.stringify(summary.byCode).replaceAll('"', ""),
      p50: summary.goodLatency.p50,
      p99: summary.goodLatency.p99,
    });
  }
  // Each region's own demand is 70% of its cap, and within its account's rate.
  report.figure({
    figure: "refused_at_70_percent_of_cap",
    value: refusedSteady,
    unit: "requests",
    bound: 0,
    limit: "at-most",
  });
  // Losing targets does not make a request that others answer a poison request.
  report.figure({
    figure: "popular_reads_blocked_as_poison",
    value: loaded.total.byCode[POISONED_CODE] ?? 0,
    unit: "requests",
    bound: 0,
    limit: "at-most",
  });
  report.figure({
    figure: "peak_over_cap",
    value: Math.max(...ratios),
    unit: "ratio",
    bound: 1,
    limit: "at-most",
  });
  await fleet.stop();
}
