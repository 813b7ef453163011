/**
 * What callers see of three failures: an entry instance killed, the store out
 * for 15 s, and all instances of a domain killed. Callers send half their
 * account's rate and follow lookups; each failure is compared with the phase
 * before the first one.
 */
import * as Clock from "../../src/clock.ts";
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
const BASELINE_MS = 2_000;
const KILL_MS = 13_500;
const OUTAGE_MS = 15_000;
const AFTER_OUTAGE_MS = 3_000;
const DOMAIN_LOSS_MS = 9_000;
/** Lease (10 s) and one renewal interval (3 s), in which a domain peer takes the shards over. */
const KILL_BOUND_MS = 13_000;
/** Heartbeat silence (3 s) and the age of a cached lookup answer (5 s). */
const DOMAIN_LOSS_BOUND_MS = 8_000;

interface Sample extends Caller.CallResult {
  readonly account: string;
  readonly phase: string;
  /** Monotonic ms at which the caller got the result. */
  readonly endedAtMs: number;
}

interface Phase {
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

interface Outcome {
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

async function breakThings(
  fleet: Fleet.Fleet,
  start: (name: string) => void,
): Promise<void> {
  const domains = [...new Set(fleet.instances.map((one) => one.domain))];
  const lost = fleet.instances.filter((one) => one.domain === domains.at(-2));
  const killed = fleet.instances[0];
  await Clock.sleep(BASELINE_MS);
  start("instance-killed");
  await killed?.process.kill();
  await Clock.sleep(KILL_MS);
  start("store-out");
  await fleet.platform.setFaults({ availability: "refuse" });
  await Clock.sleep(OUTAGE_MS);
  start("store-back");
  await fleet.platform.setFaults({ availability: "up" });
  await Clock.sleep(AFTER_OUTAGE_MS);
  start("domain-lost");
  await Promise.all(lost.map((one) => one.process.kill()));
}

/** Runs the bench. */
export async function run(report: Report.Report): Promise<void> {
  const fleet = await Rig.startRig({
    table: {
      regions: REGIONS.map((region) => ({ region })),
      accounts: ACCOUNTS,
    },
    instances: [2, 2],
    workers: 8,
    slots: 8,
    serviceMs: 20,
  });
  const phases: Phase[] = [];
  const start = (name: string) =>
    void phases.push({ name, atMs: performance.now() });
  start("baseline");
  const durationMs = BASELINE_MS + KILL_MS + OUTAGE_MS + AFTER_OUTAGE_MS +
    DOMAIN_LOSS_MS;
  const [samples] = await Promise.all([
    runCallers(fleet, durationMs, () => phases.at(-1)?.name ?? ""),
    breakThings(fleet, start),
  ]);
  const outcomes = new Map(
    phases.map((one) => [one.name, judgePhase(report, samples, one)]),
  );
  const get = (name: string) => outcomes.get(name) ?? { bad: 0, lastBadMs: 0 };
  const figures = [
    [
      "recovery_after_domain_loss",
      get("domain-lost").lastBadMs,
      "ms",
      DOMAIN_LOSS_BOUND_MS,
    ],
    // Section 7: with the store down the holdings are kept.
    [
      "refused_in_store_outage",
      get("store-out").bad + get("store-back").bad,
      "requests",
      0,
    ],
    [
      "recovery_after_instance_kill",
      get("instance-killed").lastBadMs,
      "ms",
      KILL_BOUND_MS,
    ],
  ] as const;
  for (const [figure, value, unit, bound] of figures) {
    report.figure({ figure, value, unit, bound, limit: "at-most" });
  }
  await fleet.stop();
}
