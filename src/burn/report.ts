/** Computes the burn report, which shows how fast each account uses its error budget. */
import type * as Hdr from "hdr-histogram-js";
import * as Latency from "../metrics/latency.ts";
import type * as Metrics from "../metrics/metrics.ts";
import * as Windows from "../metrics/windows.ts";
import type * as Types from "../types.ts";
import * as Classify from "./classify.ts";
import * as Merge from "./merge.ts";

/** Service level objectives; requests that miss them use the error budget. */
export interface Objectives {
  /** Percentage of requests that must be answered. */
  readonly answeredPct: number;
  /** Latency limit of 99% of the responses in ms; when undefined, a quarter of the service's deadline. */
  readonly p99Ms: number | undefined;
}

/** Objectives that apply when no option sets others. */
export const DEFAULT_OBJECTIVES: Objectives = {
  answeredPct: 99.9,
  p99Ms: undefined,
};

/** Burn rates over several periods. A rate of 1 uses exactly the error budget; undefined when there were no requests. */
export interface BurnRates {
  readonly last5m: number | undefined;
  readonly last1h: number | undefined;
  readonly last30m: number | undefined;
  /** Rate over all windows that the instances keep, at most an hour. */
  readonly full: number | undefined;
}

/** Counts of one window, for the plots; `wallMs` is the start of the window. */
export interface Point {
  readonly wallMs: number;
  readonly verdict: Classify.Verdict;
}

/** Results for one service and account. */
export interface BurnRow {
  readonly service: Types.Service;
  readonly account: Types.Account;
  /** Undefined when the table lacks the account or service. */
  readonly limit: Classify.Limit | undefined;
  readonly totals: Classify.Verdict;
  readonly cancelled: number;
  readonly unknown: number;
  readonly refusedByCode: ReadonlyMap<number, number>;
  /** Fraction of good requests among the good and the bad ones, 0 to 1; 1 when there were none. */
  readonly served: number;
  /** Latency percentiles in ms; undefined when there were no responses. */
  readonly latency:
    | { readonly p50: number; readonly p99: number; readonly p999: number }
    | undefined;
  readonly p99ObjectiveMs: number | undefined;
  readonly answeredBurn: BurnRates;
  readonly latencyBurn: BurnRates;
  /** True when the 5 minute and the 1 hour rate of the same objective both exceed 14.4. */
  readonly isFast: boolean;
  /** True when the 30 minute and the full rate of the same objective both exceed 6. */
  readonly isSlow: boolean;
  readonly points: readonly Point[];
}

/** Burn report over all instances. */
export interface BurnReport {
  readonly atWallMs: number;
  readonly tableRevision: number;
  readonly objectives: Objectives;
  readonly instances: readonly {
    readonly instance: Types.InstanceId;
    readonly sinceWallMs: number;
  }[];
  /** Instances that did not respond; the report lacks their requests. */
  readonly missing: readonly {
    readonly instance: string;
    readonly reason: string;
  }[];
  /** Rows sorted by `served`, lowest first. */
  readonly rows: readonly BurnRow[];
}

/** Input of `createReport`. */
export interface BurnInput {
  readonly table: Types.Table;
  readonly objectives: Objectives;
  readonly snapshots: readonly Metrics.BurnSnapshot[];
  readonly missing: BurnReport["missing"];
  /** Time of the report in wall-clock ms when there is no snapshot. */
  readonly nowWallMs: number;
}

// Customary alert thresholds: 14.4 uses 2% of a 30 day budget in one hour, 6 uses 5% in six hours.
/** Burn rate above which the 5 minute and 1 hour periods raise the fast alarm. */
export const FAST_BURN = 14.4;
/** Burn rate above which the 30 minute and full periods raise the slow alarm. */
export const SLOW_BURN = 6;
const MINUTE_MS = 60_000;
/** Share of the responses that may exceed the p99 objective. */
const SLOW_RESPONSE_SHARE = 0.01;

/** Computes the report from the snapshots of the instances. */
export function createReport(input: BurnInput): BurnReport {
  const atWallMs = input.snapshots.length === 0
    ? input.nowWallMs
    : Math.max(...input.snapshots.map((snapshot) => snapshot.nowWallMs));
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

/** Sorts the lowest `served` first, then the highest ratio of p99 latency to its objective. */
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
  const verdicts = Classify.classifyWindows(series.windows, limit);
  const points = series.windows.map((window, index) => ({
    wallMs: window.number * Windows.WINDOW_MS,
    verdict: verdicts[index]!,
  }));
  const totals = sumVerdicts(points);
  const deadlineMs = input.table.services.get(service)?.deadlineMs;
  const p99ObjectiveMs = input.objectives.p99Ms ??
    (deadlineMs === undefined ? undefined : deadlineMs / 4);
  const answeredBurn = getBurnRates((lookbackMs) =>
    getAnsweredBurn(points, atWallMs - lookbackMs, input.objectives)
  );
  const latencyBurn = getBurnRates((lookbackMs) =>
    getLatencyBurn(series.latency, atWallMs - lookbackMs, p99ObjectiveMs)
  );
  const burnRates = [answeredBurn, latencyBurn];
  const eligible = totals.good + totals.bad;
  return {
    service,
    account,
    limit,
    totals,
    cancelled: sum(series.windows.map((window) => window.cancelled)),
    unknown: sum(series.windows.map((window) => window.unknown)),
    refusedByCode: sumRejectionsByCode(series.windows),
    served: eligible === 0 ? 1 : totals.good / eligible,
    latency: getLatencyPercentiles(series.latency),
    p99ObjectiveMs,
    answeredBurn,
    latencyBurn,
    isFast: burnRates.some((rates) =>
      exceedsBoth(rates.last5m, rates.last1h, FAST_BURN)
    ),
    isSlow: burnRates.some((rates) =>
      exceedsBoth(rates.last30m, rates.full, SLOW_BURN)
    ),
    points,
  };
}

function exceedsBoth(
  shortRate: number | undefined,
  longRate: number | undefined,
  limit: number,
): boolean {
  return (shortRate ?? 0) > limit && (longRate ?? 0) > limit;
}

function getBurnRates(
  getRate: (lookbackMs: number) => number | undefined,
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
  const recentPoints = points.filter((point) =>
    point.wallMs + Windows.WINDOW_MS > sinceWallMs
  );
  const { good, bad } = sumVerdicts(recentPoints);
  if (good + bad === 0) return undefined;
  return bad / (good + bad) / (1 - objectives.answeredPct / 100);
}

/** Computes the latency burn rate. Latency windows are 5 minutes long, so the last 5 minutes cover up to 10 minutes. */
function getLatencyBurn(
  latency: ReadonlyMap<number, Hdr.Histogram>,
  sinceWallMs: number,
  p99Ms: number | undefined,
): number | undefined {
  if (p99Ms === undefined) return undefined;
  let slowCount = 0;
  let totalCount = 0;
  for (const [number, histogram] of latency) {
    const endMs = (number + 1) * Latency.LATENCY_WINDOW_MS;
    if (endMs <= sinceWallMs) continue;
    totalCount += histogram.totalCount;
    slowCount += countAbove(histogram, p99Ms * 1000);
  }
  return totalCount === 0
    ? undefined
    : slowCount / totalCount / SLOW_RESPONSE_SHARE;
}

/** Counts the values above `boundUs`, within the precision of the histogram. */
function countAbove(histogram: Hdr.Histogram, boundUs: number): number {
  if (histogram.maxValue <= boundUs) return 0;
  let lowPct = 0;
  let highPct = 100;
  // The library only returns values at percentiles; 40 bisection steps find the percentile to 1e-10.
  for (let i = 0; i < 40; i++) {
    const midPct = (lowPct + highPct) / 2;
    if (histogram.getValueAtPercentile(midPct) <= boundUs) lowPct = midPct;
    else highPct = midPct;
  }
  return Math.round(histogram.totalCount * (1 - lowPct / 100));
}

function getLatencyPercentiles(
  latency: ReadonlyMap<number, Hdr.Histogram>,
): BurnRow["latency"] {
  const combined = Latency.createHistogram();
  for (const histogram of latency.values()) combined.add(histogram);
  if (combined.totalCount === 0) return undefined;
  const getMs = (percentile: number) =>
    combined.getValueAtPercentile(percentile) / 1e3;
  return { p50: getMs(50), p99: getMs(99), p999: getMs(99.9) };
}

function sum(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0);
}

function sumVerdicts(points: readonly Point[]): Classify.Verdict {
  const sumField = (key: keyof Classify.Verdict) =>
    sum(points.map((point) => point.verdict[key]));
  return {
    good: sumField("good"),
    bad: sumField("bad"),
    rightful: sumField("rightful"),
    wrongful: sumField("wrongful"),
    callerFaults: sumField("callerFaults"),
  };
}

function sumRejectionsByCode(
  windows: readonly Merge.MergedWindow[],
): ReadonlyMap<number, number> {
  const countByCode = new Map<number, number>();
  for (
    const [code, count] of windows.flatMap((window) => [...window.refused])
  ) {
    countByCode.set(code, (countByCode.get(code) ?? 0) + count);
  }
  return new Map([...countByCode].sort(([a], [b]) => a - b));
}
