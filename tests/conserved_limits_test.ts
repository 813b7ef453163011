import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import type * as Types from "../src/types.ts";
import * as Fakes from "../testing/fakes/budget_fleet.ts";
import type * as BudgetInstance from "../testing/fakes/budget_instance.ts";
import * as Tables from "../testing/fakes/budget_tables.ts";
import * as Excess from "../testing/fakes/excess.ts";

const SEED = Number(process.env.ANVILROUTE_SEED ?? Date.now() % 1e9);
const RUNS = Number(process.env.ANVILROUTE_RUNS ?? 40);
const REGIONS = { r: ["da", "db"] };
const NODES = ["a1", "a2", "a3", "b1", "b2", "b3"];
/** Rounding error tolerated over thousands of acquisitions, in tokens. */
const ROUNDING = 1e-3;
const TTL_MS = 3_000;
const STALENESS_MS = 1_000;

/** Account cells of the tables that the script switches between. */
const TABLES: readonly Readonly<Record<string, Types.AccountCell>>[] = [
  { x: { rate: 20, burst: 7 }, y: { rate: 3, burst: 2.5 } },
  { x: { rate: 8, burst: 16 }, y: { rate: 6, burst: 1 } },
  { x: { rate: 30, burst: 3 }, y: { rate: 0, burst: 0 } },
];

const ENDS = ["kill", "restart", "leave"] as const;
const createDuration = (min: number, max: number) =>
  FastCheck.integer({ min, max });
const node = FastCheck.constantFrom(...NODES);
const endpoint = FastCheck.constantFrom(...NODES, "store", "*");
const step = FastCheck.oneof(
  FastCheck.tuple(FastCheck.constantFrom(...ENDS), node)
    .map(([kind, node]) => ({ kind, node })),
  FastCheck.tuple(node, createDuration(300, 9_000))
    .map(([node, ms]) => ({ kind: "pause" as const, node, ms })),
  FastCheck.tuple(endpoint, endpoint)
    .map(([from, to]) => ({ kind: "cut" as const, from, to })),
  FastCheck.constant({ kind: "heal" as const }),
  FastCheck.boolean().map((isUp) => ({ kind: "store" as const, isUp })),
  FastCheck.nat(TABLES.length - 1)
    .map((index) => ({ kind: "table" as const, index })),
);

const script = FastCheck.record({
  seed: FastCheck.integer(),
  noise: FastCheck.record({
    loss: FastCheck.constantFrom(0, 0.05, 0.2),
    delayed: FastCheck.constantFrom(0, 0.05),
    duplicated: FastCheck.constantFrom(0, 0.2),
  }),
  steps: FastCheck.array(
    FastCheck.record({ step, thenMs: createDuration(50, 7_000) }),
    { minLength: 3, maxLength: 14 },
  ),
});

type Sample<A> = A extends FastCheck.Arbitrary<infer T> ? T : never;

/** Drives a fleet through a script under overload and records what it admits. */
async function runScript(input: Sample<typeof script>) {
  const fleet = Fakes.createFleet({
    seed: input.seed,
    noise: { loss: 0, delayed: 0, duplicated: 0 },
    ttlMs: TTL_MS,
    renewMs: 600,
    stalenessLimitMs: STALENESS_MS,
  });
  const { time, random } = fleet;
  const admitted = new Map<string, Excess.Admission[]>();
  const tables: { readonly atMs: number; readonly index: number }[] = [
    { atMs: time.nowMs(), index: 0 },
  ];
  let revision = 1;
  let table = Tables.createTable(revision, REGIONS, TABLES[0]!);

  const record = (target: BudgetInstance.Instance, key: string) => {
    const admission = { atMs: time.nowMs(), tokens: 1, isRefunded: false };
    admitted.set(key, [...(admitted.get(key) ?? []), admission]);
    if (random() > 0.2) return;
    const acquiredAtMs = random() < 0.5 ? time.nowMs() : undefined;
    const isReacquired = acquiredAtMs !== undefined && random() < 0.5;
    void time.sleep(random() * 2_500).then(() => {
      if (!fleet.canRun(target.id) || fleet.get(target.id) !== target) return;
      admission.isRefunded = true;
      if (isReacquired) {
        // A request that waited for a slot starts now, not when it was admitted.
        if (target.budgets.reacquire(key, 1, acquiredAtMs)) record(target, key);
        return;
      }
      target.budgets.refund(key, 1, acquiredAtMs);
    });
  };
  const sendRequests = (id: string) => {
    if (!fleet.canRun(id)) return;
    const target = fleet.get(id);
    for (const account of ["x", "y"]) {
      const key = `acct/s/${account}`;
      // Idle from time to time, so that buckets fill and lenders have tokens.
      if (Math.sin(time.nowMs() / 1_500 + id.charCodeAt(1)) > 0.3) continue;
      while (target.budgets.tryAcquire(key, 1)) record(target, key);
      void target.budgets.acquire(key, 1, 300).then((result) => {
        if (result.isOk()) record(target, key);
      });
    }
  };
  const advance = async (ms: number) => {
    const end = time.nowMs() + ms;
    while (time.nowMs() < end) {
      for (const id of NODES) sendRequests(id);
      await time.advance(Math.min(90 + random() * 40, end - time.nowMs()));
    }
  };
  const applyStep = (next: Sample<typeof step>) => {
    switch (next.kind) {
      case "kill":
        return fleet.kill(next.node);
      case "restart":
        fleet.kill(next.node);
        fleet.addInstance(next.node, `d${next.node[0]}`, table);
        return;
      case "leave": {
        if (!fleet.canRun(next.node)) return;
        const target = fleet.get(next.node);
        target.state = "leaving";
        void target.budgets.transferAll().then(() => target.budgets.stop());
        return;
      }
      case "pause":
        fleet.pause(next.node);
        void time.sleep(next.ms).then(() => fleet.resume(next.node));
        return;
      case "cut":
        return fleet.cut(next.from, next.to);
      case "heal":
        return fleet.heal();
      case "store":
        return fleet.setStoreReachable(next.isUp);
      case "table": {
        table = Tables.createTable(++revision, REGIONS, TABLES[next.index]!);
        tables.push({ atMs: time.nowMs(), index: next.index });
        const newTable = table;
        for (const id of NODES) {
          const target = fleet.get(id);
          const delayMs = random() * STALENESS_MS * 0.9;
          // A paused instance reads the table before it resumes serving.
          void time.sleep(delayMs).then(() => {
            if (fleet.get(id) === target) fleet.setTable(id, newTable);
          });
        }
        return;
      }
    }
  };

  for (const id of NODES) fleet.addInstance(id, `d${id[0]}`, table);
  await advance(6_000);
  fleet.setNoise(input.noise);
  for (const { step: next, thenMs } of input.steps) {
    applyStep(next);
    await advance(thenMs);
  }
  return { fleet, admitted, tables };
}

/** Returns the larger of the old and new limits while a table change spreads, then the new ones. */
function getLimits(
  tables: readonly { readonly atMs: number; readonly index: number }[],
  account: string,
): readonly Excess.TimedLimit[] {
  const spreadMs = STALENESS_MS + 1_000;
  const edges = tables.flatMap(({ atMs }) => [atMs, atMs + spreadMs])
    .toSorted((a, b) => a - b);
  return edges.map((fromMs) => {
    const current = tables.filter((table, i) => {
      const endMs = tables[i + 1]?.atMs ?? Infinity;
      return table.atMs <= fromMs && endMs + spreadMs > fromMs;
    }).map((table) => TABLES[table.index]![account]!);
    return {
      fromMs,
      rate: Math.max(...current.map((cell) => cell.rate)),
      burst: Math.max(...current.map((cell) => cell.burst)),
    };
  });
}

describe("conserved limits of a fleet", () => {
  it(
    "a fleet never admits more than burst + rate x t in any window, whatever fails",
    async () => {
      let total = 0;
      await FastCheck.assert(
        FastCheck.asyncProperty(script, async (input) => {
          const { admitted, tables } = await runScript(input);
          for (const [key, list] of admitted) {
            total += list.length;
            // With one region, the fleet-wide limit is the cell itself.
            const limits = getLimits(tables, key.split("/")[2]!);
            expect(Excess.getMaxExcess(list, limits), key).toBeLessThan(
              ROUNDING,
            );
          }
        }),
        { seed: SEED, numRuns: RUNS, endOnFailure: true },
      );
      console.log(`seed=${SEED} runs=${RUNS} admitted=${total}`);
      expect(total).toBeGreaterThan(RUNS * 50);
    },
    300_000,
  );
});
