/** Latency histograms of the last hour, one per window of 5 minutes. */
import type * as Hdr from "hdr-histogram-js";
// The library's index module would compile its WebAssembly variant, which is not used here.
import * as HistogramFactory from "hdr-histogram-js/dist/JsHistogramFactory.js";

/** Length of a histogram's window in ms; windows are aligned to the wall clock. */
export const LATENCY_WINDOW_MS = 300_000;
/** Number of windows that are kept: one hour and the current window. */
export const LATENCY_WINDOW_COUNT = 13;
/** Unit of recorded values in microseconds; small, so that loopback latencies are above 0. */
export const LATENCY_UNIT_US = 1;

/** Longer latencies are recorded as this value. */
const MAX_LATENCY_US = 600_000_000;
const LOWEST_DISCERNIBLE_US = 16;
const SIGNIFICANT_DIGITS = 2;

/** A window in a snapshot: window number (wall ms / 300 000) and encoded histogram. */
export type EncodedLatency = readonly [number, string];

/**
 * Latencies of one service and account: two histograms of 11 KB and 13 encoded
 * histograms of 1 to 2.4 KB.
 */
export interface Latency {
  record(wallMs: number, latencyMs: number): void;
  /** Returns the non-empty windows of the last hour, oldest first. */
  encode(wallMs: number): readonly EncodedLatency[];
  /**
   * Returns the latencies in seconds at `quantiles` (0 to 1) over the current and
   * the previous window.
   */
  getQuantiles(
    wallMs: number,
    quantiles: readonly number[],
  ): readonly number[];
  /** Returns the number and the sum of all latencies since the start. */
  getTotal(): { readonly count: number; readonly sumMs: number };
}

/** Creates a histogram of microseconds with two significant digits; it takes 11 KB. */
export function createHistogram(): Hdr.Histogram {
  const Int32Histogram = HistogramFactory.constructorFromBucketSize(32);
  const histogram = new Int32Histogram(
    LOWEST_DISCERNIBLE_US,
    MAX_LATENCY_US,
    SIGNIFICANT_DIGITS,
  );
  histogram.autoResize = false;
  return histogram;
}

/** Encodes a histogram as a string for reports. */
export type EncodeHistogram = (histogram: Hdr.Histogram) => string;

/** Creates empty latencies; without `encode` no windows are kept for reports. */
export function createLatency(encode?: EncodeHistogram): Latency {
  let current = { number: -1, histogram: createHistogram() };
  let previous: typeof current | undefined;
  let closedWindows: readonly EncodedLatency[] = [];
  let count = 0;
  let sumMs = 0;

  /**
   * Starts a new window if `wallMs` is past the current one. If the clock was set
   * back, the current window continues.
   */
  function advance(wallMs: number): void {
    const number = Math.floor(wallMs / LATENCY_WINDOW_MS);
    if (number <= current.number) return;
    if (current.histogram.totalCount > 0 && encode !== undefined) {
      const encoded = encode(current.histogram);
      closedWindows = [...closedWindows, [current.number, encoded] as const];
    }
    const oldest = number - LATENCY_WINDOW_COUNT;
    closedWindows = closedWindows.filter(([closedNumber]) =>
      closedNumber > oldest
    );
    previous = current.number === number - 1 ? current : undefined;
    current = { number, histogram: createHistogram() };
  }

  return {
    record(wallMs, latencyMs) {
      advance(wallMs);
      const us = Math.round(latencyMs * 1000 / LATENCY_UNIT_US);
      const value = Math.min(Math.max(us, 0), MAX_LATENCY_US);
      current.histogram.recordValue(Number.isFinite(value) ? value : 0);
      count++;
      sumMs += latencyMs;
    },
    encode(wallMs) {
      advance(wallMs);
      if (current.histogram.totalCount === 0 || encode === undefined) {
        return closedWindows;
      }
      const encoded = encode(current.histogram);
      return [...closedWindows, [current.number, encoded]];
    },
    getQuantiles(wallMs, quantiles) {
      advance(wallMs);
      const merged = createHistogram();
      merged.add(current.histogram);
      if (previous !== undefined) merged.add(previous.histogram);
      return quantiles.map((q) => merged.getValueAtPercentile(q * 100) / 1e6);
    },
    getTotal: () => ({ count, sumMs }),
  };
}
