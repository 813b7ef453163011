/**
 * Cost of budget keys in one holder: time to divide a table, memory, time of a
 * periodic pass over all keys, and of taking one token. The baseline is the
 * smallest table.
 */
import * as AllocationPlan from "../../src/budget/allocation_plan.ts";
import * as Allocations from "../../src/budget/allocations.ts";
import * as Clock from "../../src/clock.ts";
import * as Table from "../../src/table/table.ts";
import type * as Types from "../../src/types.ts";
import * as Memory from "./memory.ts";
import type * as Report from "./report.ts";

/**
 * Client accounts of one service in two regions; keys are a few more. With six
 * regions, the store's values of 1 MB hold a table of about 10,000 accounts.
 */
const SIZES = [100, 1_000, 10_000] as const;
/** The tick that applies growth runs this often. */
const TICKS_PER_S = 5;
const TICKS = 200;
const TAKES = 200_000;
/** Section 1.6: control costs of a node. */
const MAX_MB = 32;

function createTable(accounts: number): { table: Types.Table; bytes: number } {
  const names = Array.from({ length: accounts }, (_, i) => `account-${i}`);
  const head = "service,region,domains,weight,cap_rps,shift_pct_per_s," +
    "link_mbps,once,open,deadline_ms," +
    names.map((name) => `rate:${name},burst:${name}`).join(",");
  const cells = names.map(() => "50,100").join(",");
  const csv = [
    head,
    `order,north,north-1 north-2,100,9000,5,1000,,,10000,${cells}`,
    `order,south,south-1 south-2,100,9000,5,1000,,,10000,${cells}`,
  ].join("\n") + "\n";
  const table = Table.parseTable(csv, 1);
  if (table.isErr()) throw new Error(table.error.detail.slice(0, 300));
  return { table: table.value, bytes: Buffer.byteLength(csv) };
}

/** Measures one size; returns the memory in MB. */
function measure(report: Report.Report, accounts: number): number {
  const parsedAtMs = performance.now();
  const { table, bytes } = createTable(accounts);
  const parseMs = performance.now() - parsedAtMs;
  const before = Memory.getUsedBytes();
  const startedAtMs = performance.now();
  const allocationPlan = AllocationPlan.createAllocationPlan(table);
  const allocations = Allocations.createAllocations({
    clock: Clock.systemClock,
    domain: "north-1",
    growDelayMs: 4_500,
  });
  allocations.setPlan(allocationPlan);
  for (let shard = 0; shard < AllocationPlan.SHARDS_PER_DOMAIN; shard++) {
    allocations.activate(shard, { kind: "full" });
  }
  const buildMs = performance.now() - startedAtMs;
  const memory = Memory.getUsedBytes() - before;
  const tickedAtMs = performance.now();
  for (let i = 0; i < TICKS; i++) allocations.applyRaisedLimits();
  const tickMs = (performance.now() - tickedAtMs) / TICKS;
  const states = allocationPlan.keys.map((key) => allocations.tryGet(key));
  const tookAtMs = performance.now();
  for (let i = 0; i < TAKES; i++) {
    states[i % states.length]?.bucket.tryAcquire(1, tookAtMs);
  }
  const takeNs = (performance.now() - tookAtMs) * 1e6 / TAKES;
  report.line({
    budgetKeys: allocationPlan.keys.length,
    tableBytes: bytes,
    parseMs: parseMs.toFixed(1),
    buildMs: buildMs.toFixed(1),
    memoryMb: (memory / 1e6).toFixed(2),
    bytesPerKey: Math.round(memory / allocationPlan.keys.length),
    tickMs: tickMs.toFixed(4),
    tickCpuPercent: (tickMs * TICKS_PER_S / 10).toFixed(4),
    takeNs: takeNs.toFixed(0),
  });
  return memory / 1e6;
}

/** Runs the bench. */
export function run(report: Report.Report): Promise<void> {
  // The first run compiles the code and is not reported.
  measure({ ...report, line: () => {} }, SIZES[0]);
  let memoryMb = 0;
  for (const size of SIZES) memoryMb = measure(report, size);
  report.figure({
    figure: "memory_of_10000_account_keys",
    value: memoryMb,
    unit: "MB",
    bound: MAX_MB,
    limit: "at-most",
  });
  return Promise.resolve();
}
