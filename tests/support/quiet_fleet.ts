/** A fleet on a network without random faults, for tests that cause specific faults. */
import { expect } from "vitest";
import type * as Types from "../../src/types.ts";
import * as Fakes from "../../testing/fakes/budget_fleet.ts";
import * as Tables from "../../testing/fakes/budget_tables.ts";

const SEED = Number(process.env.ANVILROUTE_SEED ?? Date.now() % 1e9);

/** One region with two failure domains. */
export const REGIONS = { r: ["da", "db"] };
/** Limit of the account x. */
export const CELLS: Readonly<Record<string, Types.AccountCell>> = {
  x: { rate: 20, burst: 16 },
};
/** Budget key of the account x. */
export const X = "acct/s/x";

/** Creates a fleet without instances; `start` adds instances. */
export function createQuietFleet(opts: Partial<Fakes.FleetOptions> = {}) {
  const noFaults = { loss: 0, delayed: 0, duplicated: 0 };
  const fleet = Fakes.createFleet({ seed: SEED, noise: noFaults, ...opts });
  const table = Tables.createTable(1, REGIONS, CELLS);
  return {
    ...fleet,
    table,
    /** Starts the instances `names` and waits until the shards are distributed among them. */
    async start(...names: readonly string[]): Promise<void> {
      for (const id of names) fleet.addInstance(id, `d${id[0]}`, table);
      await fleet.time.advance(20_000);
    },
    budgets: (id: string) => fleet.get(id).budgets,
    /** Checks that no shard of domain a is held by two instances with valid budgets. */
    expectSoleHolders(): void {
      const heldShards = ["a1", "a2"].map((id) => fleet.get(id).budgets)
        .flatMap((budgets) => (budgets.isValid() ? budgets.getShards() : []));
      expect(new Set(heldShards).size).toBe(heldShards.length);
    },
    cutBothWays(domainA: string, domainB: string): void {
      fleet.cut(domainA, domainB);
      fleet.cut(domainB, domainA);
    },
  };
}
