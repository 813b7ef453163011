/**
 * Counters, gauges and latency histograms of one instance.
 *
 * Memory is bounded: at most 32 series (pairs of service and account), a few
 * shared series, 512 counters and 512 gauges. 33 series take 5.7 MB.
 * Further pairs are counted under the account `(other)`; further names are
 * ignored. A restart loses all metrics.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as Exposition from "./exposition.ts";
import * as Latency from "./latency.ts";
import * as Windows from "./windows.ts";

/** Account that requests are counted under once `MAX_SERIES` is reached; no client account can have this name. */
export const OTHER_ACCOUNT = "(other)";
// Keeps a snapshot within a peer message of 2 MB: 33 series with six rejection codes in every window take 1.1 MB.
const MAX_SERIES = 32;
const MAX_NAMES = 512;
const QUANTILES = [0.5, 0.9, 0.99, 0.999];

/** Counts and latencies of one service and account in a snapshot. */
export interface SeriesSnapshot {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly windows: readonly Windows.EncodedWindow[];
  readonly latency: readonly Latency.EncodedLatency[];
}

/** What `report.burn` returns. */
export interface BurnSnapshot {
  readonly instance: Types.InstanceId;
  /** Wall-clock time in ms at which this instance started to count. */
  readonly sinceWallMs: number;
  readonly nowWallMs: number;
  readonly series: readonly SeriesSnapshot[];
}

/** Options of `createMetrics`. */
export interface MetricsOptions {
  readonly clock: Clock.Clock;
  readonly instance: Types.InstanceId;
  /** Encodes latencies for `getBurnSnapshot`; when undefined, snapshots have no latencies. */
  readonly encodeLatency?: Latency.EncodeHistogram;
}

interface Series {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly windows: Windows.Windows;
  readonly latency: Latency.Latency;
  /** Requests since the instance started, by outcome and code. */
  readonly totals: Map<string, Total>;
}

interface Total {
  readonly outcome: Contracts.RequestRecord["outcome"];
  readonly codeNumber: number;
  count: number;
}

/** Creates the metrics of one instance. */
export function createMetrics(opts: MetricsOptions): Contracts.Metrics {
  const { clock } = opts;
  const sinceWallMs = clock.wallMs();
  const series = new Map<string, Series>();
  const counters = new Map<string, number>();
  const gauges = new Map<string, number>();

  function getSeries(service: string, account: string): Series {
    const key = `${service} ${account}`;
    const existing = series.get(key);
    if (existing !== undefined) return existing;
    // The `(other)` series of each service may exceed MAX_SERIES, as there are few services. When
    // they exceed it by an eighth, all further services share one series.
    const isFull = series.size >= MAX_SERIES && account !== OTHER_ACCOUNT;
    if (isFull) return getSeries(service, OTHER_ACCOUNT);
    const isReserveFull = series.size >= MAX_SERIES + MAX_SERIES / 8;
    if (isReserveFull && service !== OTHER_ACCOUNT) {
      return getSeries(OTHER_ACCOUNT, OTHER_ACCOUNT);
    }
    const newSeries: Series = {
      service,
      account,
      windows: Windows.createWindows(),
      latency: Latency.createLatency(opts.encodeLatency),
      totals: new Map(),
    };
    series.set(key, newSeries);
    return newSeries;
  }

  return {
    record(rec) {
      const entry = getSeries(rec.service, rec.account);
      countTotal(entry.totals, rec);
      const now = clock.wallMs();
      if (rec.outcome === "not-run") {
        entry.windows.countRejection(now, rec.codeNumber);
        return;
      }
      entry.windows.countCompletion(now, rec.outcome);
      if (rec.outcome === "answered") entry.latency.record(now, rec.latencyMs);
    },
    count(name, increment = 1) {
      const oldCount = counters.get(name);
      if (oldCount === undefined && counters.size >= MAX_NAMES) return;
      counters.set(name, (oldCount ?? 0) + increment);
    },
    gauge(name, value) {
      if (!gauges.has(name) && gauges.size >= MAX_NAMES) return;
      gauges.set(name, value);
    },
    formatText() {
      const out = Exposition.createExposition();
      formatNames(out, "counter", counters);
      formatNames(out, "gauge", gauges);
      formatRequests(out, [...series.values()]);
      formatLatency(out, [...series.values()], clock.wallMs());
      return out.finish();
    },
    getBurnSnapshot(): BurnSnapshot {
      const nowWallMs = clock.wallMs();
      const snapshots = [...series.values()].map((entry) => ({
        service: entry.service,
        account: entry.account,
        windows: entry.windows.encode(nowWallMs),
        latency: entry.latency.encode(nowWallMs),
      }));
      const { instance } = opts;
      return { instance, sinceWallMs, nowWallMs, series: snapshots };
    },
  };
}

function countTotal(
  totals: Map<string, Total>,
  rec: Contracts.RequestRecord,
): void {
  const { outcome, codeNumber } = rec;
  const key = `${outcome} ${codeNumber}`;
  const existing = totals.get(key);
  if (existing !== undefined) existing.count++;
  else totals.set(key, { outcome, codeNumber, count: 1 });
}

function formatNames(
  out: Exposition.Exposition,
  type: "counter" | "gauge",
  values: ReadonlyMap<string, number>,
): void {
  for (const [name, value] of [...values].sort()) {
    const metricName = Exposition.formatName(name) +
      (type === "counter" ? "_total" : "");
    out.family(metricName, type, `${type} ${name}`);
    out.sample(metricName, {}, value);
  }
}

function formatRequests(
  out: Exposition.Exposition,
  seriesList: readonly Series[],
): void {
  const name = "anvilroute_requests_total";
  out.family(name, "counter", "Requests by outcome and result code");
  for (const { service, account, totals } of seriesList) {
    for (const { outcome, codeNumber, count } of totals.values()) {
      const code = String(codeNumber);
      out.sample(name, { service, account, outcome, code }, count);
    }
  }
}

function formatLatency(
  out: Exposition.Exposition,
  seriesList: readonly Series[],
  wallMs: number,
): void {
  const name = "anvilroute_latency_seconds";
  out.family(name, "summary", "Latency of answered requests, last 5-10 min");
  for (const { service, account, latency } of seriesList) {
    // Without responses the quantiles would be exported as a latency of 0.
    if (latency.getTotal().count === 0) continue;
    const values = latency.getQuantiles(wallMs, QUANTILES);
    QUANTILES.forEach((quantile, index) => {
      const labels = { service, account, quantile: String(quantile) };
      out.sample(name, labels, values[index]!);
    });
    const { count, sumMs } = latency.getTotal();
    out.sample(`${name}_sum`, { service, account }, sumMs / 1000);
    out.sample(`${name}_count`, { service, account }, count);
  }
}
