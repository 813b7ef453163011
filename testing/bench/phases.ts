/**
 * Runs of callers that send half their account's rate from both regions and
 * follow look-ups, judged phase by phase.
 */
import * as Caller from "../caller/caller.ts";
import type * as Fleet from "../fleet/fleet.ts";
import * as Report from "./report.ts";
import * as Rig from "./rig.ts";

const ACCOUNTS: Readonly<Record<string, Rig.AccountLimit>> = {
  large: { rate: 120, burst: 240 },
  small: { rate: 8, burst: 16 },
};
const REGIONS = ["north", "south"] as const;
const USED_SHARE = 0.5;

interface Sample extends Caller.CallResult {
  readonly account: string;
  readonly phase: string;
  /** Monotonic ms at which the caller got the result. */
  readonly endedAtMs: number;
}

/** A part of the run that begins with a change. */
export interface Phase {
  readonly name: string;
  readonly atMs: number;
}

function isGood(one: Sample): boolean {
  return one.kind === "answered" && one.status === 200;
}

/** Calls of both accounts from both regions for the whole run. */
async function runCallers(
  fleet: Fleet.Fleet,
  durationMs: number,
  getPhase: () => string,
): Promise<readonly Sample[]> {
  const samples: Sample[] = [];
  const pairs = Object.entries(ACCOUNTS).flatMap(([account, { rate }]) =>
    REGIONS.map((region) => ({ account, rate, region }))
  );
  await Promise.all(pairs.map(async ({ account, rate, region }) => {
    const caller = Caller.createCaller({
      entries: fleet.instances.filter((one) => one.region === region)
        .map((one) => one.caller),
      service: Rig.SERVICE,
      key: Rig.getKey(fleet, account),
    });
    const perS = rate * USED_SHARE / REGIONS.length;
    await Rig.runSteadily(durationMs, perS, async () => {
      const phase = getPhase();
      const result = await caller.read(Rig.READ_PATH);
      const endedAtMs = performance.now();
      samples.push({ ...result, account, phase, endedAtMs });
    });
    await caller.close();
  }));
  return samples;
}

/** Requests of a phase that were not answered. */
export interface Outcome {
  readonly bad: number;
  /** Time from the failure to the end of the last request that was not answered. */
  readonly lastBadMs: number;
}

function judgePhase(
  report: Report.Report,
  samples: readonly Sample[],
  phase: Phase,
): Outcome {
  const own = samples.filter((one) => one.phase === phase.name);
  const bad = own.filter((one) => !isGood(one));
  const latencies = Report.createLatencies();
  for (const one of own) if (isGood(one)) latencies.record(one.latencyMs);
  const lastBadMs = Math.max(0, ...bad.map((one) => one.endedAtMs)) -
    (bad.length === 0 ? 0 : phase.atMs);
  const codes = new Map<string, number>();
  for (const one of bad) {
    const name = `${one.account}:${one.kind}:${one.codeNumber}`;
    codes.set(name, (codes.get(name) ?? 0) + 1);
  }
  report.line({
    phase: phase.name,
    sent: own.length,
    notAnswered: bad.length,
    lastNotAnsweredMs: Math.round(lastBadMs),
    codes: [...codes].map(([name, n]) => `${name}x${n}`).join(" "),
    p50: latencies.getPercentile(50),
    p99: latencies.getPercentile(99),
    max: latencies.getMax(),
  });
  return { bad: bad.length, lastBadMs };
}

/** Starts the fleet: two instances in each of four domains. */
export function startRig(): Promise<Fleet.Fleet> {
  return Rig.startRig({
    table: {
      regions: REGIONS.map((region) => ({ region })),
      accounts: ACCOUNTS,
    },
    instances: [2, 2],
    workers: 8,
    slots: 8,
    serviceMs: 20,
  });
}

/**
 * Runs callers for `durationMs` while `act` changes things; it names each phase
 * with `start`. Resolves with the outcome of each phase by name.
 */
export async function run(
  report: Report.Report,
  fleet: Fleet.Fleet,
  durationMs: number,
  act: (start: (name: string) => void) => Promise<void>,
): Promise<(name: string) => Outcome> {
  const phases: Phase[] = [];
  const start = (name: string) =>
    void phases.push({ name, atMs: performance.now() });
  start("baseline");
  const [samples] = await Promise.all([
    runCallers(fleet, durationMs, () => phases.at(-1)?.name ?? ""),
    act(start),
  ]);
  const outcomes = new Map(
    phases.map((one) => [one.name, judgePhase(report, samples, one)]),
  );
  return (name) => outcomes.get(name) ?? { bad: 0, lastBadMs: 0 };
}
