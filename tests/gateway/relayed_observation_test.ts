import { describe, expect, it } from "vitest";
import * as RelayedObservation from "../../src/gateway/relayed_observation.ts";
import * as TargetLimits from "../../src/gateway/target_limits.ts";
import * as Topology from "../../src/gateway/topology.ts";
import * as LimitsFleet from "../../testing/fakes/limits_fleet.ts";

const SEED = 7;
/** Time for which an instance reports a reading, ms. */
const REPORT_MS = 3_000;

interface Message {
  readonly atMs: number;
  readonly receiver: number;
  readonly reports: readonly TargetLimits.LimitReport[];
}

/**
 * Runs a fleet in which one instance reads the rate of a target once. Each sends its
 * reports every `intervalMs`, at its own phase; they arrive `delayMs` later.
 */
function run(opts: {
  readonly count: number;
  readonly intervalMs: number;
  readonly delayMs: number;
  readonly isOlderBuild?: (index: number) => boolean;
}) {
  const { count, delayMs, intervalMs } = opts;
  const { clock, limits } = LimitsFleet.createFleet(count);
  let state = SEED;
  const phases = limits.map(() => {
    state = (state * 48_271) % 2_147_483_647;
    return state % intervalMs;
  });
  const members = limits.map((_, i) => ({
    id: `i-${i}`,
    domain: `d-${i % 6}`,
    capacity: 1,
    isUsable: true,
  }));
  const selected = members.map((member) =>
    Topology.selectPeers(member, members)
  );
  const peers = limits.map((_, i) =>
    members.flatMap(({ id }, j) =>
      selected[i]!.has(id) || selected[j]!.has(`i-${i}`) ? [j] : []
    )
  );
  const learnedAtMs = new Map<number, number>();
  let inbox: Message[] = [];
  let lastReportAtMs = 0;
  limits[0]!.recordResponse("t", 7);
  for (; clock.now < 30_000; clock.now++) {
    const due = inbox.filter(({ atMs }) => atMs <= clock.now);
    if (due.length > 0) inbox = inbox.filter(({ atMs }) => atMs > clock.now);
    for (const { receiver, reports } of due) {
      limits[receiver]!.recordReports(reports);
      if (!learnedAtMs.has(receiver)) learnedAtMs.set(receiver, clock.now);
    }
    for (const [sender, limit] of limits.entries()) {
      if (clock.now % intervalMs !== phases[sender]) continue;
      const raw = opts.isOlderBuild?.(sender) === true
        ? limit.getReports().map(({ relays: _, ...older }) => older)
        : limit.getReports();
      if (raw.length === 0) continue;
      lastReportAtMs = clock.now;
      const reports = TargetLimits.readReports(raw);
      for (const receiver of peers[sender]!) {
        inbox.push({ atMs: clock.now + delayMs, receiver, reports });
      }
    }
  }
  return { lastReportAtMs, learnedAtMs };
}

describe("a reading that instances relay to each other", () => {
  // Guards against a reading that gets younger on its way back, so that instances
  // report it to each other long after it has expired.
  for (
    const { count, delayMs, intervalMs } of [
      { count: 24, intervalMs: 250, delayMs: 55 },
      { count: 24, intervalMs: 250, delayMs: 120 },
      { count: 61, intervalMs: 1_000, delayMs: 200 },
      { count: 195, intervalMs: 1_000, delayMs: 55 },
    ]
  ) {
    it(`reaches all and ends, ${count} instances, ${intervalMs} ms, ${delayMs} ms under way, seed ${SEED}`, () => {
      const { lastReportAtMs, learnedAtMs } = run({
        count,
        delayMs,
        intervalMs,
      });
      expect(learnedAtMs.size).toBeGreaterThanOrEqual(count - 1);
      expect(Math.max(...learnedAtMs.values()))
        .toBeLessThan(3 * (intervalMs + delayMs) + 1);
      expect(lastReportAtMs).toBeLessThanOrEqual(
        REPORT_MS + RelayedObservation.MAX_RELAYS * delayMs,
      );
    });
  }

  // Guards against an upgrade during which the older or the newer build learns nothing.
  it("reaches all while half of the instances run a build that states no relays", () => {
    const { learnedAtMs } = run({
      count: 61,
      intervalMs: 1_000,
      delayMs: 55,
      isOlderBuild: (index) => index % 2 === 0,
    });
    expect(learnedAtMs.size).toBeGreaterThanOrEqual(60);
  });

  it("is not relayed with a number of relays that is invalid or too large", () => {
    for (const relays of ["1", -1, NaN, 1e300, 1.5, null, 12, 1_000]) {
      const { limits } = LimitsFleet.createFleet(1);
      const report = { target: "t", ratePerS: 7, ageMs: 1, relays };
      limits[0]!.recordReports(TargetLimits.readReports([report]));
      expect(limits[0]!.getReports()).toEqual([]);
    }
  });
});
