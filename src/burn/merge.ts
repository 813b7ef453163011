/** Sums the snapshots of all instances. */
import * as Hdr from "hdr-histogram-js";
import * as Latency from "../metrics/latency.ts";
import type * as Metrics from "../metrics/metrics.ts";
import type * as Types from "../types.ts";

/** Counts of one 10 s window, summed over all instances. */
export interface MergedWindow {
  readonly number: number;
  readonly answered: number;
  readonly ran: number;
  readonly unknown: number;
  readonly cancelled: number;
  readonly refused: ReadonlyMap<number, number>;
}

/** Counts and latencies of one service and account, summed over all instances. */
export interface MergedSeries {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly windows: readonly MergedWindow[];
  /** Histograms of microseconds, by the number of the 5 minute window. */
  readonly latency: ReadonlyMap<number, Hdr.Histogram>;
}

interface SeriesBuilder {
  readonly service: Types.Service;
  readonly account: Types.Account;
  readonly windows: Map<number, MergedWindow>;
  readonly latency: Map<number, Hdr.Histogram>;
}

/** Merges snapshots by service and account; skips histograms that cannot be decoded. */
export function mergeSnapshots(
  snapshots: readonly Metrics.BurnSnapshot[],
): readonly MergedSeries[] {
  const seriesByKey = new Map<string, SeriesBuilder>();
  for (const series of snapshots.flatMap((snapshot) => snapshot.series)) {
    const { service, account } = series;
    const key = `${service} ${account}`;
    const merged = seriesByKey.get(key) ??
      { service, account, windows: new Map(), latency: new Map() };
    seriesByKey.set(key, merged);
    addWindows(merged, series);
    addLatency(merged, series);
  }
  return [...seriesByKey.values()].map((merged) => ({
    ...merged,
    windows: [...merged.windows.values()].sort((a, b) => a.number - b.number),
  }));
}

function addWindows(
  merged: SeriesBuilder,
  snapshot: Metrics.SeriesSnapshot,
): void {
  for (
    const [number, answered, ran, unknown, cancelled, refused] of snapshot
      .windows
  ) {
    const existing = merged.windows.get(number);
    const refusedByCode = new Map(existing?.refused);
    for (const [code, count] of Object.entries(refused)) {
      refusedByCode.set(
        Number(code),
        (refusedByCode.get(Number(code)) ?? 0) + count,
      );
    }
    merged.windows.set(number, {
      number,
      answered: answered + (existing?.answered ?? 0),
      ran: ran + (existing?.ran ?? 0),
      unknown: unknown + (existing?.unknown ?? 0),
      cancelled: cancelled + (existing?.cancelled ?? 0),
      refused: refusedByCode,
    });
  }
}

function addLatency(
  merged: SeriesBuilder,
  snapshot: Metrics.SeriesSnapshot,
): void {
  for (const [number, encoded] of snapshot.latency) {
    const decoded = tryDecode(encoded);
    if (decoded === undefined) continue;
    const sum = merged.latency.get(number) ?? Latency.createHistogram();
    sum.add(decoded);
    merged.latency.set(number, sum);
  }
}

function tryDecode(encoded: string): Hdr.Histogram | undefined {
  try {
    return Hdr.decodeFromCompressedBase64(encoded);
  } catch {
    // The library throws on malformed input.
    return undefined;
  }
}
