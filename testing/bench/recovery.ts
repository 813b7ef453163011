/**
 * What callers see of three failures: an entry instance killed, the store out
 * for 15 s, and all instances of a domain killed. Callers send half their
 * account's rate and follow lookups; each failure is compared with the phase
 * before the first one.
 */
import * as Clock from "../../src/clock.ts";
import type * as Fleet from "../fleet/fleet.ts";
import * as Phases from "./phases.ts";
import type * as Report from "./report.ts";

const BASELINE_MS = 2_000;
const KILL_MS = 13_500;
const OUTAGE_MS = 15_000;
const AFTER_OUTAGE_MS = 3_000;
const DOMAIN_LOSS_MS = 9_000;
/** Lease (10 s) and one renewal interval (3 s), in which a domain peer takes the shards over. */
const KILL_BOUND_MS = 13_000;
/** Heartbeat silence (3 s) and the age of a cached lookup answer (5 s). */
const DOMAIN_LOSS_BOUND_MS = 8_000;

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
  const fleet = await Phases.startRig();
  const durationMs = BASELINE_MS + KILL_MS + OUTAGE_MS + AFTER_OUTAGE_MS +
    DOMAIN_LOSS_MS;
  const get = await Phases.run(
    report,
    fleet,
    durationMs,
    (start) => breakThings(fleet, start),
  );
  const figures = [
    [
      "recovery_after_domain_loss",
      get("domain-lost").lastBadMs,
      "ms",
      DOMAIN_LOSS_BOUND_MS,
    ],
    // Section 7: with the store down the allocations are kept.
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
