/** Judges a run from outside: what targets executed and saw, what callers received. */
import * as Hdr from "hdr-histogram-js";
import type * as Fleet from "../fleet/fleet.ts";
import type * as Layout from "../fleet/layout.ts";
import type * as Records from "../target/records.ts";
import type * as Traffic from "./traffic.ts";

/** What happened, for people, and the promises that broke. */
export interface Verdict {
  readonly lines: readonly string[];
  readonly broken: readonly string[];
}

/** One entry instance of eight dies: what it had in flight may stay unanswered, no more. */
const MIN_ANSWERED_SHARE = 0.97;

type Seen = ReadonlyMap<string, readonly Records.ExecutionRecord[]>;

/** Records of the targets that still run, by the mark in their path. */
async function collect(fleet: Fleet.Fleet): Promise<{
  readonly all: readonly Records.ExecutionRecord[];
  readonly byMark: Seen;
}> {
  const running = fleet.targets.filter((one) => one.process.isRunning());
  const lists = await Promise.all(running.map((one) => one.getRecords()));
  const all = lists.flat();
  const byMark = new Map<string, Records.ExecutionRecord[]>();
  for (const record of all) {
    if (record.outcome === "shed") continue;
    const mark = record.path.split("/").at(-1) ?? "";
    byMark.set(mark, [...byMark.get(mark) ?? [], record]);
  }
  return { all, byMark };
}

function format(ms: number): string {
  return ms.toFixed(1).padStart(8);
}

function describe(
  name: string,
  results: readonly Traffic.TrafficResult[],
): string {
  const histogram = Hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
  });
  for (const one of results) {
    if (one.kind === "answered") {
      histogram.recordValue(Math.round(one.latencyMs * 1_000));
    }
  }
  const count = (kind: string) =>
    String(results.filter((one) => one.kind === kind).length).padStart(9);
  const at = (p: number) => format(histogram.getValueAtPercentile(p) / 1_000);
  return `${name.padEnd(8)}${count("answered")}${count("not-run")}${
    count("unknown")
  }` +
    `${count("failed")}${at(50)}${at(99)}${format(histogram.maxValue / 1_000)}`;
}

function findBroken(
  fleet: Fleet.Fleet,
  results: readonly Traffic.TrafficResult[],
  all: readonly Records.ExecutionRecord[],
  byMark: Seen,
): readonly string[] {
  const broken: string[] = [];
  for (const one of results) {
    const ran = byMark.get(one.mark)?.length ?? 0;
    if (one.action === "order" && ran > 1) {
      broken.push(`${one.mark} ran ${ran} times`);
    }
    if (one.kind === "not-run" && ran > 0) {
      broken.push(`${one.mark} was refused as not run, but ran`);
    }
    if (one.kind === "answered" && !one.body.includes(one.mark)) {
      broken.push(`${one.mark} got another request's answer`);
    }
  }
  const answered = results.filter((one) => one.kind === "answered").length;
  if (answered < results.length * MIN_ANSWERED_SHARE) {
    broken.push(`only ${answered} of ${results.length} requests were answered`);
  }
  const keys = [...fleet.keys.values()];
  for (const record of all) {
    const text = JSON.stringify(record);
    if (keys.some((key) => text.includes(key))) {
      broken.push(`${record.path} carried a key`);
    }
  }
  return broken;
}

/** Refusals by result code, for people. */
function describeRefusals(results: readonly Traffic.TrafficResult[]): string {
  const counts = new Map<number, number>();
  for (const one of results) {
    if (one.kind === "not-run" || one.kind === "unknown") {
      counts.set(one.codeNumber, (counts.get(one.codeNumber) ?? 0) + 1);
    }
  }
  const list = [...counts].toSorted(([a], [b]) => a - b)
    .map(([number, count]) => `${number} x ${count}`);
  return `refusals by result code: ${list.join(", ") || "none"}`;
}

/** Judges a run. */
export async function judge(
  fleet: Fleet.Fleet,
  _layout: Layout.FleetLayout,
  results: readonly Traffic.TrafficResult[],
): Promise<Verdict> {
  const { all, byMark } = await collect(fleet);
  const broken = findBroken(fleet, results, all, byMark);
  const doubled =
    results.filter((one) =>
      one.action === "order" && (byMark.get(one.mark)?.length ?? 0) > 1
    ).length;
  const head =
    "action   answered  not-run  unknown   failed  p50 ms  p99 ms  max ms";
  const lines = [
    head,
    describe("browse", results.filter((one) => one.action === "browse")),
    describe("order", results.filter((one) => one.action === "order")),
    describeRefusals(results),
    `doubled orders at the targets: ${doubled}`,
    ...broken.slice(0, 10).map((one) => `BROKEN: ${one}`),
    broken.length === 0
      ? "every promise checked here held"
      : `${broken.length} promises broke`,
  ];
  return { lines, broken };
}
