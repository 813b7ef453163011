/**
 * Log with one line for each decision about a request. Lines are buffered and
 * written together. Lines beyond a rate limit are dropped and counted, so that
 * logging neither blocks nor takes processor time from requests.
 */
import type * as Clock from "../clock.ts";
import * as Log from "../log.ts";

/** Time between two writes. */
const FLUSH_MS = 200;
/** Maximum number of lines per write. 2,000 lines per second cost about 2% of a core. */
const MAX_LINES = 400;

/** Log of requests. */
export interface RequestLog {
  /** Adds a line, or counts it as dropped if the buffer is full. */
  write(event: string, fields: Log.LogFields): void;
  /** Writes the buffered lines now. */
  flush(): void;
}

/** Creates the log. `writeText` receives complete lines and must not block. */
export function createRequestLog(opts: {
  readonly clock: Clock.Clock;
  readonly writeText: (text: string) => void;
}): RequestLog {
  let lines: string[] = [];
  let droppedCount = 0;

  function flush(): void {
    timer = undefined;
    if (droppedCount > 0) {
      lines.push(`event=request-lines-left-out count=${droppedCount}`);
      droppedCount = 0;
    }
    if (lines.length === 0) return;
    const text = lines.join("\n") + "\n";
    lines = [];
    opts.writeText(text);
  }

  let timer: NodeJS.Timeout | undefined;

  return {
    write(event, fields) {
      if (lines.length >= MAX_LINES) {
        droppedCount++;
        return;
      }
      timer ??= setTimeout(flush, FLUSH_MS).unref();
      const wallMs = Math.round(opts.clock.wallMs());
      lines.push(`at=${wallMs} event=${event} ${Log.formatFields(fields)}`);
    },
    flush,
  };
}
