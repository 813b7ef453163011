/** Adds up the snapshots of all instances. */
import * as Hdr from "hdr-histogram-js";
import * as Latency from "../metrics/latency.ts";
import type * as Metrics from "../metrics/metrics.ts";
import type * as Types from "../types.ts";

/** Counts of one 10 s window over all instances. */
export interface MergedWindow {
  readonly number: number;
  readonly answered: number;
  readonly ran: number;
  readonly unknown: number;
  readonly cancelled: number;
  readonly refused: ReadonlyMap<number, number>;
}

/** One service and account over all instances. */
export interface MergedSeries {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly windows: readonly MergedWindow[];
  /** Histograms in microseconds by 5 minute window number. */
  readonly latency: ReadonlyMap<number, Hdr.Histogram>;
}

interface Building {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly windows: Map<number, MergedWindow>;
  readonly latency: Map<number, Hdr.Histogram>;
}

/** Merges by service and account. A histogram that cannot be decoded is left out. */
export function mergeSnapshots(
  snapshots: readonly Metrics.BurnSnapshot[],
): readonly MergedSeries[] {
  const all = new Map<string, Building>();
  for (const series of snapshots.flatMap((one) => one.series)) {
    const { service, account } = series;
    const key = `${service} ${account}`;
    const into = all.get(key) ??
      { service, account, windows: new Map(), latency: new Map() };
    all.set(key, into);
    addWindows(into, series);
    addLatency(into, series);
  }
  return [...all.values()].map((one) => ({
    ...one,
    windows: [...one.windows.values()].sort((a, b) => a.number - b.number),
  }));
}

function addWindows(into: Building, from: Metrics.SeriesSnapshot): void {
  for (
    const [number, answered, ran, unknown, cancelled, refused] of from.windows
  ) {
    const was = into.windows.get(number);
    const codes = new Map(was?.refused);
    for (const [code, count] of Object.entries(refused)) {
      codes.set(Number(code), (codes.get(Number(code)) ?? 0) + count);
    }
    into.windows.set(number, {
      number,
      answered: answered + (was?.answered ?? 0),
      ran: ran + (was?.ran ?? 0),
      unknown: unknown + (was?.unknown ?? 0),
      cancelled: cancelled + (was?.cancelled ?? 0),
      refused: codes,
    });
  }
}

function addLatency(into: Building, from: Metrics.SeriesSnapshot): void {
  for (const [number, text] of from.latency) {
    const decoded = tryDecode(text);
    if (decoded === undefined) continue;
    const sum = into.latency.get(number) ?? Latency.createHistogram();
    sum.add(decoded);
    into.latency.set(number, sum);
  }
}

function tryDecode(text: string): Hdr.Histogram | undefined {
  try {
    return Hdr.decodeFromCompressedBase64(text);
  } catch {
    // The library throws on any text that it did not write.
    return undefined;
  }
}
