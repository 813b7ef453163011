/** Counts answers and measures latencies of one caller. */
import * as Hdr from "hdr-histogram-js";

/** Latencies above this are recorded as this. */
const MAX_LATENCY_US = 600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Latencies in ms, counted from when the request was due. */
export interface LatencySummary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Counts by some property of the answers. */
export type Counts = Readonly<Record<string, number>>;

/** Result of one caller, or of all callers. */
export interface LoadSummary {
  readonly sent: number;
  readonly answered: number;
  /** Arrivals that were not sent, because too many requests were in progress. */
  readonly skipped: number;
  readonly maxInFlight: number;
  readonly answeredPerS: number;
  readonly byStatus: Counts;
  /** By the header `Anvilroute-Outcome`; answers of targets have none. */
  readonly byOutcome: Counts;
  /** By the header `Anvilroute-Code`. */
  readonly byCode: Counts;
  /** Requests without a complete answer, by `timeout` or the error's code. */
  readonly byError: Counts;
  readonly latency: LatencySummary;
  /** Latency of the answers with a status below 400. */
  readonly goodLatency: LatencySummary;
}

/** What an answer is counted by. */
export interface AnswerFacts {
  readonly status: number;
  readonly outcome: string | undefined;
  readonly code: string | undefined;
  readonly latencyMs: number;
}

/** Takes what happened and sums it up. */
export interface Recorder {
  countSent(): void;
  countSkipped(): void;
  countAnswer(answer: AnswerFacts): void;
  countError(code: string): void;
  getInFlight(): number;
  /** Adds what `other` recorded. */
  add(other: Recorder): void;
  getState(): RecorderState;
  summarize(elapsedMs: number): LoadSummary;
}

interface RecorderState {
  sent: number;
  skipped: number;
  inFlight: number;
  maxInFlight: number;
  readonly byStatus: Map<string, number>;
  readonly byOutcome: Map<string, number>;
  readonly byCode: Map<string, number>;
  readonly byError: Map<string, number>;
  readonly all: Hdr.Histogram;
  readonly good: Hdr.Histogram;
}

function createHistogram(): Hdr.Histogram {
  return Hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function summarizeLatency(histogram: Hdr.Histogram): LatencySummary {
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / 1_000;
  return {
    count: histogram.totalCount,
    mean: histogram.totalCount === 0 ? 0 : histogram.mean / 1_000,
    p50: at(50),
    p90: at(90),
    p99: at(99),
    p999: at(99.9),
    max: histogram.maxValue / 1_000,
  };
}

function addTo(counts: Map<string, number>, name: string, by = 1): void {
  counts.set(name, (counts.get(name) ?? 0) + by);
}

/** Creates an empty recorder. */
export function createRecorder(): Recorder {
  const state: RecorderState = {
    sent: 0,
    skipped: 0,
    inFlight: 0,
    maxInFlight: 0,
    byStatus: new Map(),
    byOutcome: new Map(),
    byCode: new Map(),
    byError: new Map(),
    all: createHistogram(),
    good: createHistogram(),
  };

  return {
    countSent() {
      state.sent++;
      state.inFlight++;
      state.maxInFlight = Math.max(state.maxInFlight, state.inFlight);
    },
    countSkipped() {
      state.skipped++;
    },
    countAnswer({ status, outcome, code, latencyMs }) {
      state.inFlight--;
      addTo(state.byStatus, String(status));
      if (outcome !== undefined) addTo(state.byOutcome, outcome);
      if (code !== undefined) addTo(state.byCode, code);
      const us = Math.round(Math.max(latencyMs, 0) * 1_000);
      state.all.recordValue(Math.min(us, MAX_LATENCY_US));
      if (status < 400) state.good.recordValue(Math.min(us, MAX_LATENCY_US));
    },
    countError(code) {
      state.inFlight--;
      addTo(state.byError, code);
    },
    getInFlight: () => state.inFlight,
    add(other) {
      const more = other.getState();
      state.sent += more.sent;
      state.skipped += more.skipped;
      state.maxInFlight += more.maxInFlight;
      for (
        const name of ["byStatus", "byOutcome", "byCode", "byError"] as const
      ) {
        for (const [key, count] of more[name]) addTo(state[name], key, count);
      }
      state.all.add(more.all);
      state.good.add(more.good);
    },
    getState: () => state,
    summarize(elapsedMs) {
      const answered = state.all.totalCount;
      return {
        sent: state.sent,
        answered,
        skipped: state.skipped,
        maxInFlight: state.maxInFlight,
        answeredPerS: answered / elapsedMs * 1_000,
        byStatus: Object.fromEntries(state.byStatus),
        byOutcome: Object.fromEntries(state.byOutcome),
        byCode: Object.fromEntries(state.byCode),
        byError: Object.fromEntries(state.byError),
        latency: summarizeLatency(state.all),
        goodLatency: summarizeLatency(state.good),
      };
    },
  };
}
