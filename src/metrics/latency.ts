/** Records latency histograms in 5 minute windows over the last hour. */
import type * as Hdr from "hdr-histogram-js";
// The library's index module compiles its WebAssembly variant, which is not used here.
import * as HistogramFactory from "hdr-histogram-js/dist/JsHistogramFactory.js";

/** Length of a histogram's window in ms; windows are aligned to the wall clock. */
export const LATENCY_WINDOW_MS = 300_000;
/** Number of windows kept: one hour and the current window. */
export const LATENCY_WINDOW_COUNT = 13;
/** Unit of histogram values in µs, small enough for a loopback latency to be above 0. */
export const LATENCY_UNIT_US = 1;

const MAX_LATENCY_US = 600_000_000;
const MIN_RESOLVED_US = 16;
const SIGNIFICANT_DIGITS = 2;

/** One window in a snapshot: the window number (wall-clock ms / 300 000) and the compressed histogram. */
export type EncodedLatency = readonly [number, string];

/** Latencies of one service and account; holds two histograms of 11 KB and 13 compressed ones of 1 to 2.4 KB. */
export interface Latency {
  record(wallMs: number, latencyMs: number): void;
  encode(wallMs: number): readonly EncodedLatency[];
  /** Returns the latency in seconds at each quantile over the current and the previous window. */
  getQuantiles(
    wallMs: number,
    quantiles: readonly number[],
  ): readonly number[];
  /** Returns the totals since the instance started. */
  getTotal(): { readonly count: number; readonly sumMs: number };
}

/** Creates a histogram of microseconds with two significant digits; it takes 11 KB. */
export function createHistogram(): Hdr.Histogram {
  const Int32Histogram = HistogramFactory.constructorFromBucketSize(32);
  const histogram = new Int32Histogram(
    MIN_RESOLVED_US,
    MAX_LATENCY_US,
    SIGNIFICANT_DIGITS,
  );
  histogram.autoResize = false;
  return histogram;
}

/** Encodes a histogram as text for reports. */
export type EncodeHistogram = (histogram: Hdr.Histogram) => string;

/** Creates an empty latency series; without `encode` it keeps no closed windows for reports. */
export function createLatency(encode?: EncodeHistogram): Latency {
  let currentWindow = { number: -1, histogram: createHistogram() };
  let previousWindow: typeof currentWindow | undefined;
  let encodedWindows: readonly EncodedLatency[] = [];
  let count = 0;
  let sumMs = 0;

  /** Starts a new window once the current one has ended; when the clock steps back, the newest window stays current. */
  function advance(wallMs: number): void {
    const windowNumber = Math.floor(wallMs / LATENCY_WINDOW_MS);
    if (windowNumber <= currentWindow.number) return;
    if (currentWindow.histogram.totalCount > 0 && encode !== undefined) {
      const encoded = encode(currentWindow.histogram);
      encodedWindows = [
        ...encodedWindows,
        [currentWindow.number, encoded] as const,
      ];
    }
    const newestExpiredNumber = windowNumber - LATENCY_WINDOW_COUNT;
    encodedWindows = encodedWindows.filter(([closedNumber]) =>
      closedNumber > newestExpiredNumber
    );
    previousWindow = currentWindow.number === windowNumber - 1
      ? currentWindow
      : undefined;
    currentWindow = { number: windowNumber, histogram: createHistogram() };
  }

  return {
    record(wallMs, latencyMs) {
      advance(wallMs);
      const us = Math.round(latencyMs * 1000 / LATENCY_UNIT_US);
      const value = Math.min(Math.max(us, 0), MAX_LATENCY_US);
      currentWindow.histogram.recordValue(Number.isFinite(value) ? value : 0);
      count++;
      sumMs += latencyMs;
    },
    encode(wallMs) {
      advance(wallMs);
      if (currentWindow.histogram.totalCount === 0 || encode === undefined) {
        return encodedWindows;
      }
      const encoded = encode(currentWindow.histogram);
      return [...encodedWindows, [currentWindow.number, encoded]];
    },
    getQuantiles(wallMs, quantiles) {
      advance(wallMs);
      const combined = createHistogram();
      combined.add(currentWindow.histogram);
      if (previousWindow !== undefined) combined.add(previousWindow.histogram);
      return quantiles.map((quantile) =>
        combined.getValueAtPercentile(quantile * 100) / 1e6
      );
    },
    getTotal: () => ({ count, sumMs }),
  };
}
