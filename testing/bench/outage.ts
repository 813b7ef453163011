/**
 * What callers see of an outage of the store alone, with all instances running
 * and reaching each other: it refuses connections for 15 s, and later answers
 * nothing for 15 s. Both are longer than a lease.
 */
import * as Clock from "../../src/clock.ts";
import * as Phases from "./phases.ts";
import type * as Report from "./report.ts";

const KINDS = ["refuse", "hang"] as const;
const BASELINE_MS = 2_000;
const OUTAGE_MS = 15_000;
/** Renewals (3 s) and reads of the keys of all instances come within this time. */
const AFTERWARDS_MS = 4_000;

/** Runs the bench. */
export async function run(report: Report.Report): Promise<void> {
  const fleet = await Phases.startRig();
  const durationMs = BASELINE_MS + KINDS.length * (OUTAGE_MS + AFTERWARDS_MS);
  const get = await Phases.run(report, fleet, durationMs, async (start) => {
    await Clock.sleep(BASELINE_MS);
    for (const kind of KINDS) {
      start(`store-${kind}`);
      await fleet.platform.setFaults({ availability: kind });
      await Clock.sleep(OUTAGE_MS);
      start(`store-back-after-${kind}`);
      await fleet.platform.setFaults({ availability: "up" });
      await Clock.sleep(AFTERWARDS_MS);
    }
  });
  for (const kind of KINDS) {
    report.figure({
      figure: `refused_in_store_outage_${kind}`,
      value: get(`store-${kind}`).bad + get(`store-back-after-${kind}`).bad,
      unit: "requests",
      bound: 0,
      limit: "at-most",
    });
  }
  await fleet.stop();
}
