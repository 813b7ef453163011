/**
 * Cost of one lookup answer by the number of members: order, weights by held
 * budget, and the JSON text, as `GET /v1/lookup` makes them.
 */
import * as AllocationPlan from "../../src/budget/allocation_plan.ts";
import * as Order from "../../src/lookup/order.ts";
import * as Table from "../../src/table/table.ts";
import type * as Types from "../../src/types.ts";
import type * as Report from "./report.ts";
import * as Rig from "./rig.ts";

const SIZES = [4, 16, 64, 620] as const;
const DOMAINS = 4;
const ANSWERS = 300;
/** Lookups a second and node of section 1.6. */
const NODE_RATE_PER_S = 387;

/** A shard has one holder, so most members of a large fleet hold none. */
function getShards(i: number): readonly number[] {
  const inDomain = Math.floor(i / DOMAINS);
  return inDomain < AllocationPlan.SHARDS_PER_DOMAIN ? [inDomain] : [];
}

function createMember(i: number): Types.Heartbeat {
  const region = i % 2 === 0 ? "north" : "south";
  return {
    id: `${region}-${1 + (i >> 1) % 2}-${i}`,
    incarnation: `incarnation-${i}`,
    domain: `${region}-${1 + (i >> 1) % 2}`,
    region,
    state: "live",
    tableRevision: 1,
    isTableSettled: false,
    keysRevision: 1,
    storeSeenMsAgo: 0,
    isStoreFailing: false,
    relayedStoreSeenMsAgo: 0,
    load: Math.random() / 2,
    capacity: 0,
    shards: getShards(i),
    callerAddress: `10.0.${i >> 8}.${i & 255}:8080`,
    peerAddress: `10.0.${i >> 8}.${i & 255}:9090`,
    isStranded: false,
  };
}

/** Measures one number of members and prints one line. */
function measure(
  report: Report.Report,
  allocationPlan: AllocationPlan.AllocationPlan,
  count: number,
): void {
  const candidates = Array.from({ length: count }, (_, i) => createMember(i));
  const key = `acct/${Rig.SERVICE}/bench`;
  const answer = () =>
    JSON.stringify({
      service: Rig.SERVICE,
      instances: Order.orderInstances({
        domain: "north-1",
        region: "north",
        candidates,
        getAllocatedRate: (candidate) =>
          candidate.shards.length === 0 ? 0 : allocationPlan.getShardsShare(
            candidate.domain,
            candidate.shards,
            key,
          ).rate,
      }),
      maxAgeMs: 5_000,
      tickets: [],
    });
  let bytes = 0;
  for (let i = 0; i < ANSWERS; i++) bytes = answer().length;
  const from = process.cpuUsage();
  for (let i = 0; i < ANSWERS; i++) bytes = answer().length;
  const cpu = process.cpuUsage(from);
  const us = (cpu.user + cpu.system) / ANSWERS;
  report.line({
    members: count,
    answerBytes: bytes,
    cpuUsPerAnswer: us.toFixed(0),
    cpuPercentAtNodeRate: (us * NODE_RATE_PER_S / 1e4).toFixed(2),
    bytesPerSAtNodeRate: bytes * NODE_RATE_PER_S,
  });
}

/** Prints one line per number of members. */
export function measureAnswers(report: Report.Report): void {
  const csv = Rig.formatTable({
    regions: [{ region: "north" }, { region: "south" }],
    accounts: { bench: { rate: 100, burst: 200 } },
  });
  const allocationPlan = AllocationPlan.createAllocationPlan(
    Table.parseTable(csv, 1).unwrap(),
  );
  for (const count of SIZES) measure(report, allocationPlan, count);
}
