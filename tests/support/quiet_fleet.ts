/** A fleet on a network without faults, for tests that cause their own. */
import { expect } from "vitest";
import type * as Types from "../../src/types.ts";
import * as Fakes from "../../testing/fakes/budget_fleet.ts";
import * as Tables from "../../testing/fakes/budget_tables.ts";

const SEED = Number(process.env.ANVILROUTE_SEED ?? Date.now() % 1e9);

/** One region of two failure domains. */
export const REGIONS = { r: ["da", "db"] };
/** The limits of account x. */
export const CELLS: Readonly<Record<string, Types.AccountCell>> = {
  x: { rate: 20, burst: 16 },
};
/** Budget of account x. */
export const X = "acct/s/x";

/** Creates a fleet without instances; `start` adds them. */
export function createQuietFleet(opts: Partial<Fakes.FleetOptions> = {}) {
  const quiet = { loss: 0, delayed: 0, duplicated: 0 };
  const fleet = Fakes.createFleet({ seed: SEED, noise: quiet, ...opts });
  const table = Tables.createTable(1, REGIONS, CELLS);
  return {
    ...fleet,
    table,
    /** Starts `names` and waits until the shards are spread over them. */
    async start(...names: readonly string[]): Promise<void> {
      for (const id of names) fleet.addInstance(id, `d${id[0]}`, table);
      await fleet.time.advance(20_000);
    },
    budgets: (id: string) => fleet.get(id).budgets,
    /** Checks that no two valid instances hold one shard of domain a. */
    expectSoleHolders(): void {
      const held = ["a1", "a2"].map((id) => fleet.get(id).budgets)
        .flatMap((one) => (one.isValid() ? one.getShards() : []));
      expect(new Set(held).size).toBe(held.length);
    },
    cutBothWays(a: string, b: string): void {
      fleet.cut(a, b);
      fleet.cut(b, a);
    },
  };
}
