/**
 * Counters, gauges and latency histograms of one instance.
 *
 * Memory is bounded: at most 32 pairs of service and account and a few shared
 * ones (5.7 MB measured with 33), and 512 names of counters and gauges. Further
 * pairs are counted under the account `(other)`; further names are not counted.
 * Everything is lost on a restart.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as Exposition from "./exposition.ts";
import * as Latency from "./latency.ts";
import * as Windows from "./windows.ts";

/** Account under which everything past the bound is counted; no client account can have this name. */
export const OTHER_ACCOUNT = "(other)";
// 33 series with six refusal codes in every window give a snapshot of 1.1 MB; a peer message holds 2 MB.
const MAX_SERIES = 32;
const MAX_NAMES = 512;
const QUANTILES = [0.5, 0.9, 0.99, 0.999];

/** One service and account in a snapshot. */
export interface SeriesSnapshot {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly windows: readonly Windows.EncodedWindow[];
  readonly latency: readonly Latency.EncodedLatency[];
}

/** What `report.burn` returns. */
export interface BurnSnapshot {
  readonly instance: Types.InstanceId;
  /** Wall ms since which this instance counts. */
  readonly sinceWallMs: number;
  readonly nowWallMs: number;
  readonly series: readonly SeriesSnapshot[];
}

/** What the metrics need. */
export interface MetricsOptions {
  readonly clock: Clock.Clock;
  readonly instance: Types.InstanceId;
  /** Encodes latencies for `getBurnSnapshot`; without it snapshots have none. */
  readonly encodeLatency?: Latency.EncodeHistogram;
}

interface Series {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly windows: Windows.Windows;
  readonly latency: Latency.Latency;
  /** Requests since start by outcome and code. */
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
    const found = series.get(key);
    if (found !== undefined) return found;
    // One place is left for each service's `(other)`, of which there are few.
    const isOver = series.size >= MAX_SERIES && account !== OTHER_ACCOUNT;
    if (isOver) return getSeries(service, OTHER_ACCOUNT);
    const isServiceOver = series.size >= MAX_SERIES + MAX_SERIES / 8;
    if (isServiceOver && service !== OTHER_ACCOUNT) {
      return getSeries(OTHER_ACCOUNT, OTHER_ACCOUNT);
    }
    const added: Series = {
      service,
      account,
      windows: Windows.createWindows(),
      latency: Latency.createLatency(opts.encodeLatency),
      totals: new Map(),
    };
    series.set(key, added);
    return added;
  }

  return {
    record(rec) {
      const one = getSeries(rec.service, rec.account);
      countTotal(one.totals, rec);
      const now = clock.wallMs();
      if (rec.outcome === "not-run") {
        one.windows.countRefusal(now, rec.codeNumber);
        return;
      }
      one.windows.countEnd(now, rec.outcome);
      if (rec.outcome === "answered") one.latency.record(now, rec.latencyMs);
    },
    count(name, by = 1) {
      const before = counters.get(name);
      if (before === undefined && counters.size >= MAX_NAMES) return;
      counters.set(name, (before ?? 0) + by);
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
      const snapshots = [...series.values()].map((one) => ({
        service: one.service,
        account: one.account,
        windows: one.windows.encode(nowWallMs),
        latency: one.latency.encode(nowWallMs),
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
  const found = totals.get(key);
  if (found !== undefined) found.count++;
  else totals.set(key, { outcome, codeNumber, count: 1 });
}

function formatNames(
  out: Exposition.Exposition,
  type: "counter" | "gauge",
  values: ReadonlyMap<string, number>,
): void {
  for (const [name, value] of [...values].sort()) {
    const full = Exposition.formatName(name) +
      (type === "counter" ? "_total" : "");
    out.family(full, type, `${type} ${name}`);
    out.sample(full, {}, value);
  }
}

function formatRequests(
  out: Exposition.Exposition,
  all: readonly Series[],
): void {
  const name = "anvilroute_requests_total";
  out.family(name, "counter", "Requests by outcome and result code");
  for (const { service, account, totals } of all) {
    for (const { outcome, codeNumber, count } of totals.values()) {
      const code = String(codeNumber);
      out.sample(name, { service, account, outcome, code }, count);
    }
  }
}

function formatLatency(
  out: Exposition.Exposition,
  all: readonly Series[],
  wallMs: number,
): void {
  const name = "anvilroute_latency_seconds";
  out.family(name, "summary", "Latency of answered requests, last 5-10 min");
  for (const { service, account, latency } of all) {
    // Without answers the quantiles would read as a latency of 0.
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
