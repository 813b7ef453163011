/**
 * Counters, gauges and latency histograms of one instance.
 *
 * Memory is bounded. There are at most 32 series, one per service and account,
 * and a few more for `(other)`; 33 series take 5.7 MB. Requests of further
 * accounts are counted under the account `(other)`, and those of further services
 * under the service `(other)`. At most 512 counters and 512 gauges are kept, and
 * further names are ignored. All metrics are lost on a restart.
 */
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";
import * as Exposition from "./exposition.ts";
import * as Latency from "./latency.ts";
import * as Windows from "./windows.ts";

/** Account and service of requests beyond the series limit; no client account has this name. */
export const OTHER_ACCOUNT = "(other)";
// With 33 series and six rejection codes in every window, a snapshot has 1.1 MB; a peer
// message may have 2 MB.
const MAX_SERIES = 32;
const MAX_NAMES = 512;
const QUANTILES = [0.5, 0.9, 0.99, 0.999];

/** The series of one service and account in a snapshot. */
export interface SeriesSnapshot {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly windows: readonly Windows.EncodedWindow[];
  readonly latency: readonly Latency.EncodedLatency[];
}

/** Response to `report.burn`. */
export interface BurnSnapshot {
  readonly instance: Types.InstanceId;
  /** Wall ms at which this instance started to count. */
  readonly sinceWallMs: number;
  readonly nowWallMs: number;
  readonly series: readonly SeriesSnapshot[];
}

/** Dependencies of the metrics. */
export interface MetricsOptions {
  readonly clock: Clock.Clock;
  readonly instance: Types.InstanceId;
  /** Encodes latencies for `getBurnSnapshot`; without it, snapshots contain no latencies. */
  readonly encodeLatency?: Latency.EncodeHistogram;
}

interface Series {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly windows: Windows.Windows;
  readonly latency: Latency.Latency;
  /** Number of requests since the start, by outcome and code. */
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
  const seriesByKey = new Map<string, Series>();
  const counters = new Map<string, number>();
  const gauges = new Map<string, number>();

  function getSeries(service: string, account: string): Series {
    const key = `${service} ${account}`;
    const existing = seriesByKey.get(key);
    if (existing !== undefined) return existing;
    // Series of the account `(other)` may exceed the limit, as there are few services.
    const isLimitReached = seriesByKey.size >= MAX_SERIES &&
      account !== OTHER_ACCOUNT;
    if (isLimitReached) return getSeries(service, OTHER_ACCOUNT);
    const isServiceLimitReached =
      seriesByKey.size >= MAX_SERIES + MAX_SERIES / 8;
    if (isServiceLimitReached && service !== OTHER_ACCOUNT) {
      return getSeries(OTHER_ACCOUNT, OTHER_ACCOUNT);
    }
    const created: Series = {
      service,
      account,
      windows: Windows.createWindows(),
      latency: Latency.createLatency(opts.encodeLatency),
      totals: new Map(),
    };
    seriesByKey.set(key, created);
    return created;
  }

  return {
    record(request) {
      const series = getSeries(request.service, request.account);
      countTotal(series.totals, request);
      const nowWallMs = clock.wallMs();
      if (request.outcome === "not-run") {
        series.windows.countRejection(nowWallMs, request.codeNumber);
        return;
      }
      series.windows.countOutcome(nowWallMs, request.outcome);
      if (request.outcome === "answered") {
        series.latency.record(nowWallMs, request.latencyMs);
      }
    },
    count(name, increment = 1) {
      const previous = counters.get(name);
      if (previous === undefined && counters.size >= MAX_NAMES) return;
      counters.set(name, (previous ?? 0) + increment);
    },
    gauge(name, value) {
      if (!gauges.has(name) && gauges.size >= MAX_NAMES) return;
      gauges.set(name, value);
    },
    formatText() {
      const out = Exposition.createExposition();
      formatNames(out, "counter", counters);
      formatNames(out, "gauge", gauges);
      formatRequests(out, [...seriesByKey.values()]);
      formatLatency(out, [...seriesByKey.values()], clock.wallMs());
      return out.finish();
    },
    getBurnSnapshot(): BurnSnapshot {
      const nowWallMs = clock.wallMs();
      const snapshots = [...seriesByKey.values()].map((series) => ({
        service: series.service,
        account: series.account,
        windows: series.windows.encode(nowWallMs),
        latency: series.latency.encode(nowWallMs),
      }));
      const { instance } = opts;
      return { instance, sinceWallMs, nowWallMs, series: snapshots };
    },
  };
}

function countTotal(
  totals: Map<string, Total>,
  request: Contracts.RequestRecord,
): void {
  const { outcome, codeNumber } = request;
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
    const fullName = Exposition.formatName(name) +
      (type === "counter" ? "_total" : "");
    out.family(fullName, type, `${type} ${name}`);
    out.sample(fullName, {}, value);
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
    // Without responses the quantiles would show a latency of 0.
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
