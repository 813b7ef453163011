/** Counts and logs the messages that are discarded: received ones that are malformed, and ones too long to send. */
import type * as Clock from "../clock.ts";
import * as Log from "../log.ts";
import type * as Types from "../types.ts";

/** Time for which further messages of the same method are counted without a line of their own. */
const LOG_INTERVAL_MS = 10_000;
const MAX_DETAIL_CHARS = 200;
/** Names of methods come from peers, so lines are limited per method only up to this many methods. */
const MAX_METHODS = 64;
const OTHER_METHODS = "(other)";

/** A message that was discarded. */
export interface Discard {
  readonly method: string;
  /** The sender of a received message; undefined for one that could not be sent. */
  readonly peer?: Types.InstanceId | undefined;
  readonly reason: string;
}

/** The discarded messages of an instance. */
export interface Discards {
  record(discard: Discard): void;
  /** Messages discarded since the start. */
  getCount(): number;
}

/** Creates the record of discarded messages; it logs at most one line per method and 10 s. */
export function createDiscards(opts: {
  readonly clock: Clock.Clock;
  readonly log: Log.Logger;
}): Discards {
  const limitRepeats = Log.createRepeatLimit(LOG_INTERVAL_MS, opts.clock.nowMs);
  const methods = new Set<string>();
  let count = 0;

  return {
    record({ method, peer, reason }) {
      count++;
      if (methods.size < MAX_METHODS) methods.add(method);
      const repeat = limitRepeats(methods.has(method) ? method : OTHER_METHODS);
      if (repeat === undefined) return;
      opts.log.warn("peer-message-discarded", {
        method: method.slice(0, MAX_DETAIL_CHARS),
        peer,
        detail: reason.slice(0, MAX_DETAIL_CHARS),
        suppressed: repeat.suppressed,
      });
    },
    getCount: () => count,
  };
}
