/** Output of the benches: one line of key=value pairs per result, the figures with their bounds. */
import * as Hdr from "hdr-histogram-js";
import * as Log from "../../src/log.ts";

/** Latencies above this are recorded as this. */
const MAX_LATENCY_US = 600_000_000;

type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A measured figure and the bound that `docs/design.md` gives for it. */
export interface Figure {
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
  /** Undefined where the page has no number; such a figure can't be missed. */
  readonly bound: number | undefined;
  /** Whether the bound is the highest or the lowest good value. */
  readonly limit: "at-most" | "at-least";
}

/** Prints results of one bench and remembers whether a bound was missed. */
export interface Report {
  line(fields: Fields): void;
  figure(figure: Figure): void;
  /** False when a figure missed its bound. */
  isGood(): boolean;
}

/** Rounds to three decimals, enough for every figure of the benches. */
export function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function isWithin({ value, bound, limit }: Figure): boolean {
  if (bound === undefined) return true;
  return limit === "at-most" ? value <= bound : value >= bound;
}

/** Creates the report of one bench. */
export function createReport(bench: string): Report {
  let isAllGood = true;

  function line(fields: Fields): void {
    process.stdout.write(`${Log.formatFields({ bench, ...fields })}\n`);
  }

  return {
    line,
    figure(one) {
      const ok = isWithin(one);
      isAllGood &&= ok;
      line({
        figure: one.figure,
        value: round(one.value),
        unit: one.unit,
        bound: one.bound ?? "none",
        limit: one.limit,
        ok,
      });
    },
    isGood: () => isAllGood,
  };
}

/** Latencies in ms. */
export interface Latencies {
  record(ms: number): void;
  add(other: Latencies): void;
  getCount(): number;
  getHistogram(): Hdr.Histogram;
  /** 0 when nothing was recorded. */
  getPercentile(percentile: number): number;
  getMax(): number;
}

/** Creates an empty histogram of latencies, exact to three digits. */
export function createLatencies(): Latencies {
  const histogram = Hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  return {
    record(ms) {
      const us = Math.round(Math.max(ms, 0) * 1_000);
      histogram.recordValue(Math.min(us, MAX_LATENCY_US));
    },
    add: (other) => histogram.add(other.getHistogram()),
    getCount: () => histogram.totalCount,
    getHistogram: () => histogram,
    getPercentile: (p) =>
      histogram.totalCount === 0
        ? 0
        : histogram.getValueAtPercentile(p) / 1_000,
    getMax: () => histogram.totalCount === 0 ? 0 : histogram.maxValue / 1_000,
  };
}
