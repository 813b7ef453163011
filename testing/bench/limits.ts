/**
 * Fleet-wide account limits under failures: every account sends several times
 * its rate to all instances while one instance is killed and another is paused
 * past its lease. What targets started is compared with burst + rate x t over
 * every window.
 */
import * as Clock from "../../src/clock.ts";
import type * as Fleet from "../fleet/fleet.ts";
import * as Load from "../harness/load.ts";
import * as Report from "./report.ts";
import * as Rig from "./rig.ts";

const LEASE_TTL_MS = 5_000;
const LEASE_RENEW_MS = 1_500;
const LOAD_MS = 34_000;
const KILL_AT_MS = 6_000;
const PAUSE_AT_MS = 9_000;
/** Twice the lease, so that a domain peer has taken the shards over. */
const PAUSE_MS = 10_000;
const SENT_FACTOR = 4;

const ACCOUNTS: Readonly<Record<string, Rig.AccountLimit>> = {
  large: { rate: 40, burst: 80 },
  middle: { rate: 15, burst: 30 },
  small: { rate: 4, burst: 8 },
};

interface Worst {
  readonly ratio: number;
  readonly windowMs: number;
  readonly admitted: number;
}

/** The window with the highest share of its limit; times are ascending. */
function findWorst(
  timesMs: readonly number[],
  { rate, burst }: Rig.AccountLimit,
): Worst {
  let worst: Worst = { ratio: 0, windowMs: 0, admitted: 0 };
  for (let i = 0; i < timesMs.length; i++) {
    for (let j = i; j < timesMs.length; j++) {
      const windowMs = (timesMs[j] ?? 0) - (timesMs[i] ?? 0);
      const admitted = j - i + 1;
      const ratio = admitted / (burst + rate * windowMs / 1_000);
      if (ratio > worst.ratio) worst = { ratio, windowMs, admitted };
    }
  }
  return worst;
}

function startLoad(fleet: Fleet.Fleet, durationMs: number) {
  return Load.startLoad({
    callers: Object.entries(ACCOUNTS).map(([name, { rate }]) => ({
      name,
      addresses: fleet.instances.map((one) => one.caller),
      arrivals: {
        kind: "open" as const,
        ratePerS: rate * SENT_FACTOR,
        spacing: "poisson" as const,
      },
      request: {
        method: "GET" as const,
        path: `/s/${Rig.SERVICE}${Rig.READ_PATH}`,
        headers: { "anvilroute-key": Rig.getKey(fleet, name) },
      },
    })),
    durationMs,
    maxRequests: 1e6,
    timeoutMs: 5_000,
  });
}

/** Kills one instance of a domain and pauses one of another. */
async function breakInstances(
  report: Report.Report,
  fleet: Fleet.Fleet,
): Promise<void> {
  const [killed] = fleet.instances;
  const paused = fleet.instances
    .find((one) => one.domain !== killed?.domain && /-1$/.test(one.domain));
  await Clock.sleep(KILL_AT_MS);
  await killed?.process.kill();
  await Clock.sleep(PAUSE_AT_MS - KILL_AT_MS);
  paused?.process.freeze();
  await Clock.sleep(PAUSE_MS);
  paused?.process.resume();
  report.line({
    killed: killed?.id,
    paused: paused?.id,
    pausedMs: PAUSE_MS,
    leaseTtlMs: LEASE_TTL_MS,
  });
}

/** Runs the bench. */
export async function run(report: Report.Report): Promise<void> {
  const fleet = await Rig.startRig({
    table: {
      regions: [{ region: "north" }, { region: "south" }],
      accounts: ACCOUNTS,
    },
    instances: [2, 1],
    workers: 6,
    slots: 16,
    serviceMs: 5,
    settings: { leaseTtlMs: LEASE_TTL_MS, leaseRenewMs: LEASE_RENEW_MS },
  });
  const load = await startLoad(fleet, LOAD_MS);
  const [loaded] = await Promise.all([
    load.report,
    breakInstances(report, fleet),
  ]);
  const runs = await Rig.collectRuns(fleet.targets);
  let value = 0;
  for (const [account, limit] of Object.entries(ACCOUNTS)) {
    const timesMs = runs.filter((one) => one.account === account)
      .map((one) => one.startedWallMs);
    const worst = findWorst(timesMs, limit);
    value = Math.max(value, worst.ratio);
    const summary = loaded.callers[account];
    report.line({
      account,
      sent: summary?.sent,
      ran: timesMs.length,
      meanShareOfRate: Report.round(
        timesMs.length / (limit.burst + limit.rate * LOAD_MS / 1_000),
      ),
      worstRatio: Report.round(worst.ratio),
      windowMs: worst.windowMs,
      admitted: worst.admitted,
      codes: JSON.stringify(summary?.byCode ?? {}).replaceAll('"', ""),
      errors: JSON.stringify(summary?.byError ?? {}).replaceAll('"', ""),
    });
  }
  report.figure({
    figure: "worst_admitted_over_limit",
    value,
    unit: "ratio",
    bound: 1,
    limit: "at-most",
  });
  await fleet.stop();
}
