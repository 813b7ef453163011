/** Faults to bring about in random pairs. */
import * as Clock from "../../src/clock.ts";
import type * as Proof from "./proof.ts";

/** A fault's name, and what brings it about. */
export type Fault = readonly [string, () => Promise<unknown>];

/** The faults of a fleet; `pick` chooses among its instances. */
export function getFaults(
  fleet: Proof.ProofFleet,
  pick: <T>(list: readonly T[]) => T,
): readonly Fault[] {
  return [
    ["late", () => fleet.setTargetFaults({ lateMs: 400 })],
    [
      "reset",
      () => fleet.setTargetFaults({ resetAfterExecuting: true }),
    ],
    ["truncated", () => fleet.setTargetFaults({ truncateAfterBytes: 30 })],
    [
      "store down",
      () => fleet.platform.setFaults({ availability: "refuse" }),
    ],
    ["cut", () => fleet.network.cut("north-1", "south-1")],
    ["cut off", () => fleet.network.isolate("north-2")],
    ["frozen", async () => {
      const victim = pick(fleet.getRunning());
      victim.process.freeze();
      await Clock.sleep(700);
      victim.process.resume();
    }],
  ];
}
