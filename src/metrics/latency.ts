/** Latency histograms per 5 minute window over the last hour. */
import type * as Hdr from "hdr-histogram-js";
// The index compiles the library's WebAssembly variant, which nobody here uses.
import * as HistogramFactory from "hdr-histogram-js/dist/JsHistogramFactory.js";

/** Length of a histogram's window in ms; windows are aligned to the wall clock. */
export const LATENCY_WINDOW_MS = 300_000;
/** Windows kept: one hour and the current one. */
export const LATENCY_WINDOW_COUNT = 13;
/** Histograms count in this unit, so that a loopback latency has a value above 0. */
export const LATENCY_UNIT_US = 1;

const MAX_LATENCY_US = 600_000_000;
const LEAST_DISCERNED_US = 16;
const SIGNIFICANT_DIGITS = 2;

/** One window in a snapshot: window number (wall ms / 300 000) and the compressed histogram. */
export type EncodedLatency = readonly [number, string];

/** Latencies of one service and account: two histograms of 11 KB and 13 compressed ones of 1 to 2.4 KB. */
export interface Latency {
  record(wallMs: number, latencyMs: number): void;
  encode(wallMs: number): readonly EncodedLatency[];
  /** Seconds at the quantiles over the current and the previous window. */
  getQuantiles(
    wallMs: number,
    quantiles: readonly number[],
  ): readonly number[];
  /** Since start. */
  getTotal(): { readonly count: number; readonly sumMs: number };
}

/** A histogram as all of ours are: microseconds, two significant digits, 11 KB. */
export function createHistogram(): Hdr.Histogram {
  const Int32Histogram = HistogramFactory.constructorFromBucketSize(32);
  const histogram = new Int32Histogram(
    LEAST_DISCERNED_US,
    MAX_LATENCY_US,
    SIGNIFICANT_DIGITS,
  );
  histogram.autoResize = false;
  return histogram;
}

/** Turns a histogram into text for reports. */
export type EncodeHistogram = (histogram: Hdr.Histogram) => string;

/** Creates an empty series; without `encode` it keeps no windows for reports. */
export function createLatency(encode?: EncodeHistogram): Latency {
  let live = { number: -1, histogram: createHistogram() };
  let previous: typeof live | undefined;
  let closed: readonly EncodedLatency[] = [];
  let count = 0;
  let sumMs = 0;

  /** Starts a new window when the time has come; a clock that went back stays in the newest one. */
  function advance(wallMs: number): void {
    const number = Math.floor(wallMs / LATENCY_WINDOW_MS);
    if (number <= live.number) return;
    if (live.histogram.totalCount > 0 && encode !== undefined) {
      const text = encode(live.histogram);
      closed = [...closed, [live.number, text] as const];
    }
    const oldest = number - LATENCY_WINDOW_COUNT;
    closed = closed.filter(([at]) => at > oldest);
    previous = live.number === number - 1 ? live : undefined;
    live = { number, histogram: createHistogram() };
  }

  return {
    record(wallMs, latencyMs) {
      advance(wallMs);
      const us = Math.round(latencyMs * 1000 / LATENCY_UNIT_US);
      const value = Math.min(Math.max(us, 0), MAX_LATENCY_US);
      live.histogram.recordValue(Number.isFinite(value) ? value : 0);
      count++;
      sumMs += latencyMs;
    },
    encode(wallMs) {
      advance(wallMs);
      if (live.histogram.totalCount === 0 || encode === undefined) {
        return closed;
      }
      const text = encode(live.histogram);
      return [...closed, [live.number, text]];
    },
    getQuantiles(wallMs, quantiles) {
      advance(wallMs);
      const both = createHistogram();
      both.add(live.histogram);
      if (previous !== undefined) both.add(previous.histogram);
      return quantiles.map((q) => both.getValueAtPercentile(q * 100) / 1e6);
    },
    getTotal: () => ({ count, sumMs }),
  };
}
