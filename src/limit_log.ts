/** Counts connections that exceed a limit, and bounds the log lines about them. */
import type * as Net from "node:net";
import type * as Limits from "./connection_limits.ts";

/** Log lines per limit and interval; the counters have all events. */
const MAX_LINES = 5;
const LINES_INTERVAL_MS = 10_000;

/** Called for a connection that exceeds a limit. `suppressed` counts events without a call since the last one. */
export type ReportExceeded = (event: {
  readonly limit: Limits.LimitName;
  readonly address: string;
  readonly suppressed: number;
}) => void;

/** Where exceeded limits are recorded. */
export interface LimitLog {
  /** Counts the event; reports it unless there were too many lately. */
  record(socket: Net.Socket, limit: Limits.LimitName): void;
}

/** Creates the log. `nowMs` is monotonic. */
export function createLimitLog(opts: {
  readonly count: (limit: Limits.LimitName) => void;
  readonly report: ReportExceeded;
  readonly nowMs: () => number;
}): LimitLog {
  const lines = new Map<Limits.LimitName, { sinceMs: number; count: number }>();

  return {
    record({ remoteAddress, remotePort }, limit) {
      opts.count(limit);
      const nowMs = opts.nowMs();
      const address = `${remoteAddress}:${remotePort}`;
      let line = lines.get(limit);
      if (line === undefined || nowMs - line.sinceMs > LINES_INTERVAL_MS) {
        const suppressed = Math.max((line?.count ?? 0) - MAX_LINES, 0);
        line = { sinceMs: nowMs, count: 0 };
        lines.set(limit, line);
        opts.report({ limit, address, suppressed });
      } else if (line.count < MAX_LINES) {
        opts.report({ limit, address, suppressed: 0 });
      }
      line.count++;
    },
  };
}
