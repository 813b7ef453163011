/**
 * One line for each decision about a request. Lines are gathered and written
 * together; what comes faster than the limit is counted and left out, so that
 * logging neither blocks nor takes the processor from the requests.
 */
import type * as Clock from "../clock.ts";
import * as Log from "../log.ts";

/** Time between writes. */
const FLUSH_MS = 200;
/** Lines between two writes; 2,000 a second cost about 2% of a core. */
const MAX_LINES = 400;

/** Writes lines about requests. */
export interface RequestLog {
  write(event: string, fields: Log.LogFields): void;
  flush(): void;
}

/** Creates the log. `writeText` gets whole lines and must not block. */
export function createRequestLog(opts: {
  readonly clock: Clock.Clock;
  readonly writeText: (text: string) => void;
}): RequestLog {
  let lines: string[] = [];
  let left = 0;

  function flush(): void {
    timer = undefined;
    if (left > 0) {
      lines.push(`event=request-lines-left-out count=${left}`);
      left = 0;
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
        left++;
        return;
      }
      timer ??= setTimeout(flush, FLUSH_MS).unref();
      const at = Math.round(opts.clock.wallMs());
      lines.push(`at=${at} event=${event} ${Log.formatFields(fields)}`);
    },
    flush,
  };
}
