/**
 * Added latency and throughput of one entry instance against direct calls to
 * the same targets, direct and through the instance in turn in the same run.
 * Latency is measured twice: with connections over loopback, which cost less
 * than any network, and at targets whose new connections take 1 ms. Direct
 * calls keep their connections, so the second baseline has no such cost.
 */
import type * as Fleet from "../fleet/fleet.ts";
import * as Load from "../harness/load.ts";
import type * as LoadRun from "../load/load.ts";
import type * as Report from "./report.ts";
import * as Rig from "./rig.ts";
import * as Usage from "./usage.ts";

const ACCOUNT = "bench";
const WARM_UP_MS = 2_000;
const LATENCY_MS = 4_000;
const LATENCY_RATE_PER_S = 200;
const THROUGHPUT_MS = 6_000;
const CONCURRENCY = 32;
/** Time of a new connection by section 1.5 of the design. */
const CONNECT_MS = 1;
/** Lookups a second and node of section 1.6; the page has no other rate per instance. */
const NODE_RATE_PER_S = 387;

interface Route {
  readonly addresses: readonly string[];
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** Both ways to the targets of one fleet. */
interface Routes {
  readonly direct: Route;
  readonly steered: Route;
  readonly instance: Fleet.FleetInstance;
}

async function send(
  route: Route,
  name: string,
  arrivals: "open" | "closed",
  durationMs: number,
): Promise<LoadRun.LoadReport> {
  const load = await Load.startLoad({
    callers: [{
      name,
      addresses: route.addresses,
      arrivals: arrivals === "open"
        ? { kind: "open", ratePerS: LATENCY_RATE_PER_S, spacing: "poisson" }
        : { kind: "closed", concurrency: CONCURRENCY },
      request: { method: "GET", path: route.path, headers: route.headers },
    }],
    durationMs,
    maxRequests: 1e6,
    timeoutMs: 10_000,
  }, name);
  return await load.report;
}

function countOther(report: LoadRun.LoadReport): number {
  return report.total.sent - (report.total.byStatus["200"] ?? 0);
}

async function measureLatency(
  report: Report.Report,
  { direct, steered }: Routes,
  connectMs: number,
): Promise<void> {
  // Baseline on both sides, so that a machine that gets slower shows.
  const before = await send(direct, "direct", "open", LATENCY_MS);
  const through = await send(steered, "steered", "open", LATENCY_MS);
  const after = await send(direct, "direct", "open", LATENCY_MS);
  const runs = [["direct", before], ["steered", through], ["direct", after]];
  for (const [name, run] of runs as [string, LoadRun.LoadReport][]) {
    const { p50, p99, max } = run.total.goodLatency;
    const other = countOther(run);
    const ratePerS = LATENCY_RATE_PER_S;
    report.line({ route: name, connectMs, ratePerS, p50, p99, max, other });
  }
  for (const name of ["p50", "p99"] as const) {
    const base = (before.total.goodLatency[name] +
      after.total.goodLatency[name]) / 2;
    report.figure({
      figure: connectMs === 0
        ? `added_${name}`
        : `added_${name}_connect_${connectMs}ms`,
      value: through.total.goodLatency[name] - base,
      unit: "ms",
      bound: undefined,
      limit: "at-most",
    });
  }
}

async function measureThroughput(
  report: Report.Report,
  { direct, steered, instance }: Routes,
): Promise<void> {
  const base = await send(direct, "direct", "closed", THROUGHPUT_MS);
  const from = Usage.readUsage(instance.process.pid);
  const through = await send(steered, "steered", "closed", THROUGHPUT_MS);
  const { cpuPercent, rssMb } = Usage.getRate(
    from,
    Usage.readUsage(instance.process.pid),
  );
  const cpuMs = Usage.readUsage(instance.process.pid).cpuMs - from.cpuMs;
  const perS = through.total.answeredPerS;
  for (const [name, run] of [["direct", base], ["steered", through]] as const) {
    report.line({
      route: name,
      concurrency: CONCURRENCY,
      requestsPerS: Math.round(run.total.answeredPerS),
      p50: run.total.goodLatency.p50,
      p99: run.total.goodLatency.p99,
      other: countOther(run),
    });
  }
  report.line({
    cpuPercent: Math.round(cpuPercent),
    requestsPerCoreS: Math.round(through.total.answered / cpuMs * 1_000),
    cpuUsPerRequest: Math.round(cpuMs * 1_000 / through.total.answered),
    rssMb: Math.round(rssMb),
  });
  report.figure({
    figure: "requests_per_s",
    value: perS,
    unit: "1/s",
    bound: NODE_RATE_PER_S,
    limit: "at-least",
  });
}

/** Routes of a fleet that has started; sends until its code is compiled. */
async function warmUp(fleet: Fleet.Fleet): Promise<Routes> {
  const instance = fleet.instances[0];
  if (instance === undefined) throw new Error("no instance");
  const direct: Route = {
    addresses: fleet.targets.map((one) => one.listen),
    path: Rig.READ_PATH,
    headers: {},
  };
  const steered: Route = {
    addresses: [instance.caller],
    path: `/s/${Rig.SERVICE}${Rig.READ_PATH}`,
    headers: { "anvilroute-key": Rig.getKey(fleet, ACCOUNT) },
  };
  // Targets start slowly and the code is not compiled yet.
  await send(steered, "warm-up", "closed", WARM_UP_MS);
  await send(direct, "warm-up", "closed", WARM_UP_MS);
  return { direct, steered, instance };
}

/** Runs the bench. */
export async function run(report: Report.Report): Promise<void> {
  const fleet = await Rig.startRig({
    table: {
      regions: [{ region: "north", capRps: 50_000 }],
      accounts: { [ACCOUNT]: { rate: 20_000, burst: 40_000 } },
    },
    instances: [1, 0],
    workers: 4,
    slots: 64,
    serviceMs: 2,
  });
  const routes = await warmUp(fleet);
  await measureLatency(report, routes, 0);
  await measureThroughput(report, routes);
  for (const target of fleet.targets) {
    await target.setFaults({ connectMs: CONNECT_MS });
  }
  await measureLatency(report, routes, CONNECT_MS);
  await fleet.stop();
}
