/** The burn report: how fast each account's error budget is used up. */
import type * as Hdr from "hdr-histogram-js";
import * as Latency from "../metrics/latency.ts";
import type * as Metrics from "../metrics/metrics.ts";
import * as Windows from "../metrics/windows.ts";
import type * as Types from "../types.ts";
import * as Classify from "./classify.ts";
import * as Merge from "./merge.ts";

/** What the service promises; what is over it uses up the error budget. */
export interface Objectives {
  /** Share of requests that must be answered, in percent. */
  readonly answeredPct: number;
  /** Bound for 99% of answers in ms; undefined: a quarter of the service's deadline. */
  readonly p99Ms: number | undefined;
}

/** Objectives unless options say otherwise. */
export const DEFAULT_OBJECTIVES: Objectives = {
  answeredPct: 99.9,
  p99Ms: undefined,
};

/** Burn rates: 1 uses the error budget exactly; undefined when nothing was counted. */
export interface BurnRates {
  readonly last5m: number | undefined;
  readonly last1h: number | undefined;
  readonly last30m: number | undefined;
  /** Over all that the instances hold, at most an hour. */
  readonly full: number | undefined;
}

/** A window's counts for the plots. */
export interface Point {
  readonly wallMs: number;
  readonly verdict: Classify.Verdict;
}

/** One service and account. */
export interface BurnRow {
  readonly service: Types.Service;
  readonly account: Types.Account;
  /** Undefined when the table does not have the account. */
  readonly limit: Classify.Limit | undefined;
  readonly totals: Classify.Verdict;
  readonly cancelled: number;
  readonly unknown: number;
  readonly refusedByCode: ReadonlyMap<number, number>;
  /** Answered of all that should have been, 0 to 1; 1 when there was nothing. */
  readonly served: number;
  /** Milliseconds; undefined without answers. */
  readonly latency:
    | { readonly p50: number; readonly p99: number; readonly p999: number }
    | undefined;
  readonly p99ObjectiveMs: number | undefined;
  readonly answeredBurn: BurnRates;
  readonly latencyBurn: BurnRates;
  /** Both the 5 minute and the 1 hour rate are above 14.4. */
  readonly isFast: boolean;
  /** Both the 30 minute and the full rate are above 6. */
  readonly isSlow: boolean;
  readonly points: readonly Point[];
}

/** The whole report. */
export interface BurnReport {
  readonly atWallMs: number;
  readonly tableRevision: number;
  readonly objectives: Objectives;
  readonly instances: readonly {
    readonly instance: Types.InstanceId;
    readonly sinceWallMs: number;
  }[];
  /** Instances that did not answer: their requests are not in the report. */
  readonly missing: readonly {
    readonly instance: string;
    readonly reason: string;
  }[];
  /** Worst-served first. */
  readonly rows: readonly BurnRow[];
}

/** What a report is made of. */
export interface BurnInput {
  readonly table: Types.Table;
  readonly objectives: Objectives;
  readonly snapshots: readonly Metrics.BurnSnapshot[];
  readonly missing: BurnReport["missing"];
  /** Used when there is no snapshot. */
  readonly nowWallMs: number;
}

// The usual pair for alerts: 14.4 uses 2% of a 30 day budget in an hour, 6 uses 5% in six hours.
/** Burn rate over which the fast windows raise an alarm. */
export const FAST_BURN = 14.4;
/** Burn rate over which the slow windows raise an alarm. */
export const SLOW_BURN = 6;
const MINUTE_MS = 60_000;
const SLOW_ANSWER_SHARE = 0.01;

/** Computes the report. */
export function createReport(input: BurnInput): BurnReport {
  const atWallMs = input.snapshots.length === 0
    ? input.nowWallMs
    : Math.max(...input.snapshots.map((one) => one.nowWallMs));
  const rows = Merge.mergeSnapshots(input.snapshots)
    .map((series) => createRow(series, input, atWallMs));
  return {
    atWallMs,
    tableRevision: input.table.revision,
    objectives: input.objectives,
    instances: input.snapshots.map(({ instance, sinceWallMs }) => ({
      instance,
      sinceWallMs,
    })),
    missing: input.missing,
    rows: rows.sort(compareRows),
  };
}

/** Worst-served first; among equals the one furthest over its latency objective. */
function compareRows(a: BurnRow, b: BurnRow): number {
  const slowness = (row: BurnRow) =>
    (row.latency?.p99 ?? 0) / (row.p99ObjectiveMs ?? Infinity);
  return a.served - b.served || slowness(b) - slowness(a) ||
    a.service.localeCompare(b.service) || a.account.localeCompare(b.account);
}

function createRow(
  series: Merge.MergedSeries,
  input: BurnInput,
  atWallMs: number,
): BurnRow {
  const { service, account } = series;
  const limit = Classify.tryGetLimit(input.table, service, account);
  const verdicts = Classify.judgeWindows(series.windows, limit);
  const points = series.windows.map((window, index) => ({
    wallMs: window.number * Windows.WINDOW_MS,
    verdict: verdicts[index]!,
  }));
  const totals = sumVerdicts(points);
  const deadlineMs = input.table.services.get(service)?.deadlineMs;
  const p99ObjectiveMs = input.objectives.p99Ms ??
    (deadlineMs === undefined ? undefined : deadlineMs / 4);
  const answeredBurn = getRates((ms) =>
    getAnsweredBurn(points, atWallMs - ms, input.objectives)
  );
  const latencyBurn = getRates((ms) =>
    getLatencyBurn(series.latency, atWallMs - ms, p99ObjectiveMs)
  );
  const both = [answeredBurn, latencyBurn];
  const eligible = totals.good + totals.bad;
  return {
    service,
    account,
    limit,
    totals,
    cancelled: sum(series.windows.map((one) => one.cancelled)),
    unknown: sum(series.windows.map((one) => one.unknown)),
    refusedByCode: sumCodes(series.windows),
    served: eligible === 0 ? 1 : totals.good / eligible,
    latency: getLatency(series.latency),
    p99ObjectiveMs,
    answeredBurn,
    latencyBurn,
    isFast: both.some((one) => isOver(one.last5m, one.last1h, FAST_BURN)),
    isSlow: both.some((one) => isOver(one.last30m, one.full, SLOW_BURN)),
    points,
  };
}

function isOver(
  short: number | undefined,
  long: number | undefined,
  bound: number,
): boolean {
  return (short ?? 0) > bound && (long ?? 0) > bound;
}

function getRates(
  getRate: (backMs: number) => number | undefined,
): BurnRates {
  return {
    last5m: getRate(5 * MINUTE_MS),
    last1h: getRate(60 * MINUTE_MS),
    last30m: getRate(30 * MINUTE_MS),
    full: getRate(Infinity),
  };
}

function getAnsweredBurn(
  points: readonly Point[],
  sinceWallMs: number,
  objectives: Objectives,
): number | undefined {
  const inside = points.filter((point) =>
    point.wallMs + Windows.WINDOW_MS > sinceWallMs
  );
  const { good, bad } = sumVerdicts(inside);
  if (good + bad === 0) return undefined;
  return bad / (good + bad) / (1 - objectives.answeredPct / 100);
}

/** Latency windows are 5 minutes long, so the last 5 minutes cover up to 10. */
function getLatencyBurn(
  latency: ReadonlyMap<number, Hdr.Histogram>,
  sinceWallMs: number,
  p99Ms: number | undefined,
): number | undefined {
  if (p99Ms === undefined) return undefined;
  let slow = 0;
  let all = 0;
  for (const [number, histogram] of latency) {
    const endMs = (number + 1) * Latency.LATENCY_WINDOW_MS;
    if (endMs <= sinceWallMs) continue;
    all += histogram.totalCount;
    slow += countAbove(histogram, p99Ms * 1000);
  }
  return all === 0 ? undefined : slow / all / SLOW_ANSWER_SHARE;
}

/** Number of values above `us`, as exact as the histogram. */
function countAbove(histogram: Hdr.Histogram, us: number): number {
  if (histogram.maxValue <= us) return 0;
  let low = 0;
  let high = 100;
  // The library gives values at percentiles only; 40 halvings find the share to 1e-10 percent.
  for (let i = 0; i < 40; i++) {
    const middle = (low + high) / 2;
    if (histogram.getValueAtPercentile(middle) <= us) low = middle;
    else high = middle;
  }
  return Math.round(histogram.totalCount * (1 - low / 100));
}

function getLatency(
  latency: ReadonlyMap<number, Hdr.Histogram>,
): BurnRow["latency"] {
  const all = Latency.createHistogram();
  for (const one of latency.values()) all.add(one);
  if (all.totalCount === 0) return undefined;
  const at = (percentile: number) => all.getValueAtPercentile(percentile) / 1e3;
  return { p50: at(50), p99: at(99), p999: at(99.9) };
}

function sum(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0);
}

function sumVerdicts(points: readonly Point[]): Classify.Verdict {
  const add = (key: keyof Classify.Verdict) =>
    sum(points.map((point) => point.verdict[key]));
  return {
    good: add("good"),
    bad: add("bad"),
    rightful: add("rightful"),
    wrongful: add("wrongful"),
    callerFaults: add("callerFaults"),
  };
}

function sumCodes(
  windows: readonly Merge.MergedWindow[],
): ReadonlyMap<number, number> {
  const codes = new Map<number, number>();
  for (const [code, count] of windows.flatMap((one) => [...one.refused])) {
    codes.set(code, (codes.get(code) ?? 0) + count);
  }
  return new Map([...codes].sort(([a], [b]) => a - b));
}
