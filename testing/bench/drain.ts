/**
 * Time from a target's announcement that it leaves to the last new request at
 * it, and a graceful stop of an entry instance under load. The baseline is the
 * same load before anything leaves.
 */
import * as Clock from "../../src/clock.ts";
import * as Wait from "../harness/wait.ts";
import type * as Fleet from "../fleet/fleet.ts";
import * as Follower from "./follower.ts";
import * as Report from "./report.ts";
import * as Rig from "./rig.ts";

const ACCOUNT = "bench";
const REGIONS = ["north", "south"] as const;
const CALLERS_PER_REGION = 4;
const RATE_PER_S = 160;
const ORDER_SHARE = 0.2;
const BASELINE_MS = 4_000;
const BETWEEN_LEAVING_MS = 2_500;
const LEAVING_TARGETS = 4;
const SETTLE_MS = 4_000;
const STOP_LIMIT_MS = 25_000;
/** Promise 10. */
const LAST_NEW_REQUEST_BOUND_MS = 3_000;

interface Sample extends Follower.Ended {
  readonly phase: string;
}

/** Load that goes on until it is ended; each request is noted with the phase it began in. */
function startLoad(fleet: Fleet.Fleet, key: string) {
  const samples: Sample[] = [];
  let phase = "baseline";
  let isEnded = false;
  const callers = REGIONS.flatMap((region) =>
    Array.from({ length: CALLERS_PER_REGION }, () =>
      Follower.createFollower({
        entries: fleet.instances.filter((one) => one.region === region)
          .map((one) => one.caller),
        service: Rig.SERVICE,
        key,
      }))
  );
  const act = async (caller: Follower.Follower) => {
    const begunIn = phase;
    const kind = Math.random() < ORDER_SHARE ? "order" : "read";
    samples.push({ ...await caller.send(kind), phase: begunIn });
  };
  const run = async (caller: Follower.Follower) => {
    while (!isEnded) {
      const perS = RATE_PER_S / callers.length;
      await Rig.runSteadily(500, perS, () => act(caller));
    }
    await caller.close();
  };
  const done = Promise.all(callers.map(run));
  return {
    samples,
    setPhase: (name: string) => void (phase = name),
    async end() {
      isEnded = true;
      await done;
    },
  };
}

function printPhase(
  report: Report.Report,
  samples: readonly Sample[],
  phase: string,
): number {
  const own = samples.filter((one) => one.phase === phase);
  const count = (kind: string) => own.filter((one) => one.kind === kind).length;
  const latencies = Report.createLatencies();
  const codes = new Set<string>();
  for (const one of own) {
    if (one.kind === "good") latencies.record(one.latencyMs);
    else codes.add(`${one.kind}:${one.code}@${one.entry}`);
  }
  report.line({
    phase,
    sent: own.length,
    good: count("good"),
    refused: count("refused"),
    notSent: count("not-sent"),
    cut: count("cut"),
    codes: [...codes].slice(0, 6).join(" "),
    p50: latencies.getPercentile(50),
    p99: latencies.getPercentile(99),
  });
  return count("cut");
}

async function leaveTargets(
  report: Report.Report,
  fleet: Fleet.Fleet,
): Promise<number> {
  const leaving = fleet.targets.slice(0, LEAVING_TARGETS);
  for (const target of leaving) {
    await target.setFaults({ leaving: true });
    await Clock.sleep(BETWEEN_LEAVING_MS);
  }
  await Clock.sleep(SETTLE_MS - BETWEEN_LEAVING_MS);
  const lasts = await Promise.all(leaving.map(async (target) => {
    const stats = await target.getStats();
    const records = await target.getRecords();
    const late = records.filter((one) => one.startedWhileLeaving);
    const sinceMs = stats["leavingSinceWallMs"] ?? 0;
    const lastMs = Math.max(
      0,
      ...late.map((one) => one.startedWallMs - sinceMs),
    );
    report.line({
      target: target.id,
      newRequestsWhileLeaving: late.length,
      lastNewRequestMs: lastMs,
    });
    return lastMs;
  }));
  return Math.max(...lasts);
}

async function stopInstance(
  report: Report.Report,
  fleet: Fleet.Fleet,
): Promise<void> {
  const instance = fleet.instances.at(-1);
  const startedAtMs = performance.now();
  instance?.process.terminate();
  const exit = await Wait.waitFor(
    async () => await instance?.process.exited,
    STOP_LIMIT_MS,
    "the instance ends",
  );
  report.line({
    stopped: instance?.id,
    exitCode: exit.code,
    stopMs: Math.round(performance.now() - startedAtMs),
  });
}

/** Runs the bench. */
export async function run(report: Report.Report): Promise<void> {
  const fleet = await Rig.startRig({
    table: {
      regions: REGIONS.map((region) => ({ region })),
      accounts: { [ACCOUNT]: { rate: 2_000, burst: 4_000 } },
    },
    instances: [2, 1],
    workers: 12,
    slots: 4,
    serviceMs: 30,
    listLagMs: 2_000,
  });
  const load = startLoad(fleet, Rig.getKey(fleet, ACCOUNT));
  await Clock.sleep(BASELINE_MS);
  load.setPhase("targets-leave");
  const lastMs = await leaveTargets(report, fleet);
  load.setPhase("instance-stops");
  await stopInstance(report, fleet);
  await load.end();
  for (const phase of ["baseline", "targets-leave"]) {
    printPhase(report, load.samples, phase);
  }
  const cut = printPhase(report, load.samples, "instance-stops");
  report.figure({
    figure: "requests_cut_by_stop",
    value: cut,
    unit: "requests",
    bound: 0,
    limit: "at-most",
  });
  report.figure({
    figure: "last_new_request_at_leaving_target",
    value: lastMs,
    unit: "ms",
    bound: LAST_NEW_REQUEST_BOUND_MS,
    limit: "at-most",
  });
  await fleet.stop();
}
