/**
 * Verdicts on limits, taken from what the targets recorded. Times are wall-clock
 * ms of one machine, so the records of all targets can be compared.
 */
import * as PerfHooks from "node:perf_hooks";
import type * as Records from "../target/records.ts";
import type * as Fleet from "./fleet.ts";

const SENT_AT_HEADER = "anvilroute-sent-at-ms";

/** One execution that started at a target. */
export interface Start {
  readonly atMs: number;
  /**
   * When the instance sent it. Limits hold here: how long requests are on their
   * way differs on a busy machine, and some that were sent apart start together.
   */
  readonly sentAtMs: number;
  readonly endedAtMs: number | undefined;
  readonly account: string;
  readonly requestId: string;
  readonly target: string;
  /** Region of the target. */
  readonly region: string;
  /** Entry instance that the request was sent to: `from` in its query. */
  readonly from: string;
  readonly answerBytes: number;
}

/** Collects the records of a fleet's targets, also of those that end later. */
export interface Observer {
  /** Reads the records of all running targets; call it before a target is ended. */
  collect(): Promise<void>;
  /** Everything collected, oldest first. */
  getStarts(): readonly Start[];
}

/** Wall-clock ms at which the instance sent a recorded request; throws when it did not say. */
export function getSentAtMs(record: Records.ExecutionRecord): number {
  const [, text] =
    record.headers.find(([name]) => name.toLowerCase() === SENT_AT_HEADER) ??
      [];
  if (text === undefined) {
    throw new Error(`no ${SENT_AT_HEADER}: ${record.path}`);
  }
  return Number(text);
}

/** Creates an observer without records. */
export function createObserver(fleet: Fleet.Fleet): Observer {
  const starts = new Map<string, Start>();

  async function collectFrom(target: Fleet.FleetTarget): Promise<void> {
    for (const record of await target.getRecords()) {
      if (record.execution === 0) continue;
      const query = new URL(record.path, "http://target.invalid").searchParams;
      starts.set(`${target.id}/${record.seq}`, {
        atMs: record.startedWallMs,
        sentAtMs: getSentAtMs(record),
        endedAtMs: record.endedWallMs,
        account: record.account ?? "",
        requestId: record.requestId ?? "",
        target: target.id,
        region: target.region,
        from: query.get("from") ?? "",
        answerBytes: record.responseBodyBytes,
      });
    }
  }

  return {
    async collect() {
      const live = fleet.targets.filter((one) => one.hasRecords());
      await Promise.all(live.map(collectFrom));
    },
    getStarts: () => [...starts.values()].toSorted((a, b) => a.atMs - b.atMs),
  };
}

/** Times at which an account's requests were sent; a retried read counts once. */
export function getAdmissions(
  starts: readonly Start[],
  account: string,
): readonly number[] {
  const first = new Map<string, number>();
  for (const start of starts) {
    if (start.account !== account || first.has(start.requestId)) continue;
    first.set(start.requestId, start.sentAtMs);
  }
  return [...first.values()].toSorted((a, b) => a - b);
}

/**
 * The smallest burst for which no window of t seconds has more than
 * burst + rate x t events. `times` are ascending ms; a window is widened by 1 ms
 * because they are rounded.
 */
export function getNeededBurst(
  times: readonly number[],
  ratePerS: number,
): number {
  const perMs = ratePerS / 1_000;
  let least = Infinity;
  let needed = 0;
  times.forEach((atMs, i) => {
    least = Math.min(least, i - perMs * atMs);
    needed = Math.max(needed, i + 1 - perMs * (atMs + 1) - least);
  });
  return needed;
}

/** Most that falls into any window of `windowMs`; every event counts `amount`. */
export function getMaxInWindow(
  events: readonly { readonly atMs: number; readonly amount: number }[],
  windowMs: number,
): number {
  const sorted = events.toSorted((a, b) => a.atMs - b.atMs);
  let first = 0;
  let sum = 0;
  let most = 0;
  for (const { atMs, amount } of sorted) {
    sum += amount;
    while (sorted[first]!.atMs <= atMs - windowMs) {
      sum -= sorted[first++]!.amount;
    }
    most = Math.max(most, sum);
  }
  return most;
}

/** Most requests that were sent to a region in any one-second window. */
export function getMaxSentPerS(
  starts: readonly Start[],
  region: string,
): number {
  const events = starts.filter((one) => one.region === region)
    .map(({ sentAtMs }) => ({ atMs: sentAtMs, amount: 1 }));
  return getMaxInWindow(events, 1_000);
}

/** Requests in each bin of `binMs`, and the percentage of them that ran in `region`. */
export function getShares(
  starts: readonly Start[],
  region: string,
  binMs: number,
): readonly { readonly count: number; readonly pct: number }[] {
  const firstMs = starts[0]?.atMs ?? 0;
  const bins: { count: number; there: number }[] = [];
  for (const start of starts) {
    const at = Math.floor((start.atMs - firstMs) / binMs);
    while (bins.length <= at) bins.push({ count: 0, there: 0 });
    bins[at]!.count++;
    if (start.region === region) bins[at]!.there++;
  }
  return bins.map(({ count, there }) => ({
    count,
    pct: count === 0 ? 0 : there / count * 100,
  }));
}

/**
 * Longest stall of this process's event loop, in ms. All connections of the test
 * network go through it, so requests that were admitted apart start together
 * after a stall: a verdict on windows allows for it.
 */
export interface StallMeter {
  reset(): void;
  getMaxMs(): number;
}

/** Starts to measure. */
export function createStallMeter(): StallMeter {
  const delays = PerfHooks.monitorEventLoopDelay({ resolution: 10 });
  delays.enable();
  return {
    reset: () => delays.reset(),
    getMaxMs: () => Math.max(0, delays.max / 1e6 - 10),
  };
}
