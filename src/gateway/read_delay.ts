/**
 * Reports periods in which this instance reads callers' connections late, because
 * its processor is overloaded.
 *
 * The event loop accepts a connection in one iteration and reads its first request
 * in the next, so the time between the two is the duration of an iteration.
 */
import type * as Clock from "../clock.ts";
import type * as HttpConnections from "../http_connections.ts";

/** Connections that wait longer in the kernel or in the event loop are read late. */
const DELAY_THRESHOLD_MS = 40;
/** A period ends this long after the last late read, as a slow iteration also delays connections that were accepted before it. */
const DELAYED_PERIOD_MS = 2_000;

/** Reports late reads. */
export interface ReadDelay {
  /** Records how late the first request of a connection was read. */
  record(read: HttpConnections.FirstRead): void;
}

/** Creates a measurement without delay; `onDelayed` receives the delay when a delayed period begins. */
export function createReadDelay(
  clock: Clock.Clock,
  onDelayed: (read: HttpConnections.FirstRead) => void,
): ReadDelay {
  let lastDelayAtMs = -Infinity;
  return {
    record(read) {
      if (Math.max(read.readMs, read.acceptMs) <= DELAY_THRESHOLD_MS) return;
      const isNewPeriod = clock.nowMs() - lastDelayAtMs >= DELAYED_PERIOD_MS;
      if (isNewPeriod) onDelayed(read);
      lastDelayAtMs = clock.nowMs();
    },
  };
}
