import * as FastCheck from "fast-check";
import { describe, expect, it } from "vitest";
import type * as Types from "../src/types.ts";
import * as Fakes from "./budget_fakes.ts";

const SEED = Number(process.env.ANVILROUTE_SEED ?? Date.now() % 1e9);
const RUNS = Number(process.env.ANVILROUTE_RUNS ?? 40);
const REGIONS = { r: ["da", "db"] };
const NODES = ["a1", "a2", "a3", "b1", "b2", "b3"];
/** Float rounding over thousands of takes. */
const ROUNDING = 1e-3;
const TTL_MS = 3_000;
const STALENESS_MS = 1_000;

/** Cells of the tables that the property switches between. */
const TABLES: readonly Readonly<Record<string, Types.AccountCell>>[] = [
  { x: { rate: 20, burst: 7 }, y: { rate: 3, burst: 2.5 } },
  { x: { rate: 8, burst: 16 }, y: { rate: 6, burst: 1 } },
  { x: { rate: 30, burst: 3 }, y: { rate: 0, burst: 0 } },
];

type Step =
  | { readonly kind: "kill" | "restart" | "leave"; readonly node: string }
  | { readonly kind: "pause"; readonly node: string; readonly ms: number }
  | { readonly kind: "cut"; readonly from: string; readonly to: string }
  | { readonly kind: "heal" }
  | { readonly kind: "store"; readonly isUp: boolean }
  | { readonly kind: "table"; readonly index: number };

const node = FastCheck.constantFrom(...NODES);
const place = FastCheck.constantFrom(...NODES, "store", "*");
const step: FastCheck.Arbitrary<Step> = FastCheck.oneof(
  FastCheck.record({
    kind: FastCheck.constantFrom("kill", "restart", "leave"),
    node,
  }),
  FastCheck.record({
    kind: FastCheck.constant("pause" as const),
    node,
    ms: FastCheck.integer({ min: 300, max: 9_000 }),
  }),
  FastCheck.record({
    kind: FastCheck.constant("cut" as const),
    from: place,
    to: place,
  }),
  FastCheck.record({ kind: FastCheck.constant("heal" as const) }),
  FastCheck.record({
    kind: FastCheck.constant("store" as const),
    isUp: FastCheck.boolean(),
  }),
  FastCheck.record({
    kind: FastCheck.constant("table" as const),
    index: FastCheck.integer({ min: 0, max: TABLES.length - 1 }),
  }),
);

const script = FastCheck.record({
  seed: FastCheck.integer(),
  noise: FastCheck.record({
    loss: FastCheck.constantFrom(0, 0.05, 0.2),
    late: FastCheck.constantFrom(0, 0.05),
    twice: FastCheck.constantFrom(0, 0.2),
  }),
  steps: FastCheck.array(
    FastCheck.record({
      step,
      thenMs: FastCheck.integer({ min: 50, max: 7_000 }),
    }),
    { minLength: 3, maxLength: 14 },
  ),
});

/** Drives a fleet through a script under overload and records what it admits. */
async function runScript(input: {
  readonly seed: number;
  readonly noise: Fakes.Noise;
  readonly steps: readonly { readonly step: Step; readonly thenMs: number }[];
}) {
  const fleet = Fakes.createFleet({
    seed: input.seed,
    noise: { loss: 0, late: 0, twice: 0 },
    ttlMs: TTL_MS,
    renewMs: 600,
    stalenessLimitMs: STALENESS_MS,
  });
  const { time, random } = fleet;
  const admitted = new Map<string, Fakes.Admission[]>();
  const tables: { readonly atMs: number; readonly index: number }[] = [
    { atMs: time.nowMs(), index: 0 },
  ];
  let revision = 1;
  let table = Fakes.createTable(revision, REGIONS, TABLES[0]!);

  const note = (target: Fakes.Node, key: string) => {
    const one = { atMs: time.nowMs(), tokens: 1, isRefunded: false };
    admitted.set(key, [...(admitted.get(key) ?? []), one]);
    if (random() > 0.2) return;
    const takenAtMs = random() < 0.5 ? time.nowMs() : undefined;
    const isRetaken = takenAtMs !== undefined && random() < 0.5;
    void time.sleep(random() * 2_500).then(() => {
      if (!fleet.canRun(target.id) || fleet.get(target.id) !== target) return;
      one.isRefunded = true;
      if (isRetaken) {
        // A request that waited for a slot starts now and not when it was admitted.
        if (target.budgets.retake(key, 1, takenAtMs)) note(target, key);
        return;
      }
      target.budgets.giveBack(key, 1, takenAtMs);
    });
  };
  const load = (id: string) => {
    if (!fleet.canRun(id)) return;
    const target = fleet.get(id);
    for (const account of ["x", "y"]) {
      const key = `acct/s/${account}`;
      // Now and then idle, so that buckets fill and lenders have tokens.
      if (Math.sin(time.nowMs() / 1_500 + id.charCodeAt(1)) > 0.3) continue;
      while (target.budgets.tryTake(key, 1)) note(target, key);
      void target.budgets.take(key, 1, 300).then((result) => {
        if (result.isOk()) note(target, key);
      });
    }
  };
  const advance = async (ms: number) => {
    const end = time.nowMs() + ms;
    while (time.nowMs() < end) {
      for (const id of NODES) load(id);
      await time.advance(Math.min(90 + random() * 40, end - time.nowMs()));
    }
  };
  const apply = (next: Step) => {
    switch (next.kind) {
      case "kill":
        return fleet.kill(next.node);
      case "restart":
        fleet.kill(next.node);
        fleet.addNode(next.node, `d${next.node[0]}`, table);
        return;
      case "leave": {
        if (!fleet.canRun(next.node)) return;
        const target = fleet.get(next.node);
        target.state = "leaving";
        void target.budgets.handOverAll().then(() => target.budgets.stop());
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
        return fleet.setStoreUp(next.isUp);
      case "table": {
        table = Fakes.createTable(++revision, REGIONS, TABLES[next.index]!);
        tables.push({ atMs: time.nowMs(), index: next.index });
        const sent = table;
        for (const id of NODES) {
          const target = fleet.get(id);
          const delayMs = random() * STALENESS_MS * 0.9;
          // A paused instance reads the table before it serves again.
          void time.sleep(delayMs).then(() => {
            if (fleet.get(id) === target) fleet.setTable(id, sent);
          });
        }
        return;
      }
    }
  };

  for (const id of NODES) fleet.addNode(id, `d${id[0]}`, table);
  await advance(6_000);
  fleet.setNoise(input.noise);
  for (const { step: next, thenMs } of input.steps) {
    apply(next);
    await advance(thenMs);
  }
  return { fleet, admitted, tables };
}

/** The larger of the old and new limits while a change spreads, then the new one. */
function getLimits(
  tables: readonly { readonly atMs: number; readonly index: number }[],
  account: string,
): readonly Fakes.TimedLimit[] {
  const spreadMs = STALENESS_MS + 1_000;
  const edges = tables.flatMap(({ atMs }) => [atMs, atMs + spreadMs])
    .toSorted((a, b) => a - b);
  return edges.map((fromMs) => {
    const current = tables.filter((one, i) => {
      const endMs = tables[i + 1]?.atMs ?? Infinity;
      return one.atMs <= fromMs && endMs + spreadMs > fromMs;
    }).map((one) => TABLES[one.index]![account]!);
    return {
      fromMs,
      rate: Math.max(...current.map((cell) => cell.rate)),
      burst: Math.max(...current.map((cell) => cell.burst)),
    };
  });
}

describe("conserved limits of a fleet", () => {
  it(
    "guards against admitting more than burst + rate x t in any window, whatever fails",
    async () => {
      let total = 0;
      await FastCheck.assert(
        FastCheck.asyncProperty(script, async (input) => {
          const { admitted, tables } = await runScript(input);
          for (const [key, list] of admitted) {
            total += list.length;
            // One region: the fleet-wide limit is the cell itself.
            const limits = getLimits(tables, key.split("/")[2]!);
            expect(Fakes.findExcess(list, limits), key).toBeLessThan(ROUNDING);
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
