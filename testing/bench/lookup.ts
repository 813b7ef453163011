/** Lookups a second of one instance, the cost of an answer by members, and the client block map at three sizes. */
import * as BlockMap from "../../src/lookup/block_map.ts";
import * as Load from "../harness/load.ts";
import * as LookupAnswers from "./lookup_answers.ts";
import type * as Report from "./report.ts";
import * as Rig from "./rig.ts";
import * as Usage from "./usage.ts";

const ACCOUNT = "bench";
const SITES = 91;
const BLOCKS = [10_000, 100_000, 1_600_000] as const;
const BLOCK_LOOKUPS = 2_000_000;
const WARM_UP_MS = 2_000;
const LOAD_MS = 8_000;
const CONCURRENCY = 32;
/** Section 1.6: 240,000 lookups a second over 620 nodes. */
const TARGET_PER_S = 387;

async function measureRequests(report: Report.Report): Promise<number> {
  const fleet = await Rig.startRig({
    table: {
      regions: [{ region: "north" }, { region: "south" }],
      accounts: { [ACCOUNT]: { rate: 100, burst: 200 } },
    },
    instances: [1, 1],
    workers: 0,
    slots: 1,
    serviceMs: 1,
  });
  const instance = fleet.instances[0];
  if (instance === undefined) throw new Error("no instance");
  const send = async (durationMs: number) =>
    await (await Load.startLoad({
      callers: [{
        name: "lookup",
        addresses: [instance.caller],
        arrivals: { kind: "closed", concurrency: CONCURRENCY },
        request: {
          method: "GET",
          path: `/v1/lookup?service=${Rig.SERVICE}&tickets=1`,
          headers: { "anvilroute-key": Rig.getKey(fleet, ACCOUNT) },
        },
      }],
      durationMs,
      maxRequests: 1e6,
      timeoutMs: 5_000,
    })).report;
  await send(WARM_UP_MS);
  const from = Usage.readUsage(instance.process.pid);
  const { total } = await send(LOAD_MS);
  const to = Usage.readUsage(instance.process.pid);
  const good = total.byStatus["200"] ?? 0;
  const cpuMs = to.cpuMs - from.cpuMs;
  report.line({
    lookupsPerS: Math.round(total.answeredPerS),
    lookupsPerCoreS: Math.round(good / cpuMs * 1_000),
    cpuUsPerLookup: Math.round(cpuMs * 1_000 / good),
    p50: total.goodLatency.p50,
    p99: total.goodLatency.p99,
    other: total.sent - good,
  });
  await fleet.stop();
  return total.answeredPerS;
}

function createBlocks(size: number): Uint8Array {
  const starts = new Uint32Array(size);
  const sites = new Uint16Array(size);
  const step = Math.floor(2 ** 32 / size);
  for (let i = 0; i < size; i++) {
    starts[i] = i * step;
    sites[i] = Math.floor(Math.random() * SITES);
  }
  return BlockMap.encodeBlocks(starts, sites);
}

function measureBlocks(report: Report.Report, size: number): void {
  const encoded = createBlocks(size);
  const before = process.memoryUsage();
  const startedAtMs = performance.now();
  const map = BlockMap.decodeBlocks(encoded).unwrap();
  const buildMs = performance.now() - startedAtMs;
  const after = process.memoryUsage();
  const addresses = Uint32Array.from(
    { length: 1 << 16 },
    () => Math.floor(Math.random() * 2 ** 32),
  );
  let found = 0;
  const lookedUpAtMs = performance.now();
  for (let i = 0; i < BLOCK_LOOKUPS; i++) {
    const address = addresses[i & 0xffff] ?? 0;
    if (map.tryGetSite(address) !== undefined) found++;
  }
  const lookupNs = (performance.now() - lookedUpAtMs) * 1e6 / BLOCK_LOOKUPS;
  report.line({
    blocks: map.size,
    mapBytes: map.bytes,
    bytesPerBlock: (map.bytes / map.size).toFixed(1),
    encodedBytes: encoded.length,
    buildMs: buildMs.toFixed(1),
    buildRssMb: ((after.rss - before.rss) / 1e6).toFixed(1),
    lookupNs: lookupNs.toFixed(0),
    found,
  });
}

/** Runs the bench. */
export async function run(report: Report.Report): Promise<void> {
  for (const size of BLOCKS) measureBlocks(report, size);
  LookupAnswers.measureAnswers(report);
  const value = await measureRequests(report);
  report.figure({
    figure: "lookups_per_s",
    value,
    unit: "1/s",
    bound: TARGET_PER_S,
    limit: "at-least",
  });
}
