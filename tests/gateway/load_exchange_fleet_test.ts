import { afterEach, describe, expect, it } from "vitest";
import * as Clock from "../../src/clock.ts";
import * as Rig from "../support/gateway_rig.ts";

/** The usage line with the counts is written every 10 s. */
const WAIT_MS = 20_000;
const USAGE_PATTERN = /loadReportsSent=(\d+) loadReportsApplied=(\d+)/;

describe("instances of one region", () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const cleanup of cleanups.splice(0).toReversed()) await cleanup();
  });

  // Guards against reports that are read but do not reach the other instances.
  it("pass on what only one of them reads of a target's load", async () => {
    const fleet = await Rig.startFleet(
      (cleanup) => void cleanups.push(cleanup),
      { instances: 3 },
    );
    for (const target of fleet.targets) {
      target.setHeaders({ "x-server-load": "4,6,4" });
    }
    const getCounts = () =>
      fleet.instances.map(({ lines }) => {
        const usage = lines.findLast((line) => USAGE_PATTERN.test(line)) ?? "";
        const [, sent, applied] = USAGE_PATTERN.exec(usage) ?? [];
        return { sent: Number(sent), applied: Number(applied) };
      });
    const isPassedOn = () => {
      const [front, ...others] = getCounts();
      return front!.sent > 0 && others.every(({ applied }) => applied > 0);
    };
    const endMs = Date.now() + WAIT_MS;
    while (Date.now() < endMs && !isPassedOn()) {
      await Rig.send(fleet.front, "/read/x");
      await Clock.sleep(20);
    }
    expect(isPassedOn()).toBe(true);
    expect(getCounts()[0]!.applied).toBe(0);
  }, 40_000);
});
