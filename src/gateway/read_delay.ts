/**
 * Measures how late this instance reads callers' connections. Load pattern: a burst
 * exceeds the processor's capacity. Requests then stay unread for up to a second.
 * The end of a connection is queued behind its request, so a caller that has already
 * disconnected still looks connected.
 *
 * The event loop accepts a connection in one iteration and reads its first request
 * in the next, so the time between the two is the duration of an iteration.
 */
import type * as Clock from "../clock.ts";
import type * as HttpConnections from "../http_connections.ts";

/** Well below the 500 ms within which a caller's disconnect must reach its target. */
const DELAY_THRESHOLD_MS = 40;
/** The delayed state lasts this long after a late read, as a slow iteration also delays connections that were accepted before it. */
const DELAYED_STATE_MS = 2_000;
/**
 * Requests that resume in one event-loop iteration. Each takes about 1 ms, or 2 ms
 * with half a core, and disconnects during that time are read only in the next
 * iteration.
 */
const MAX_PER_ITERATION = 16;

/** Measures the delay between accepting and reading connections. */
export interface ReadDelay {
  /** Records how late the first request of a connection was read. */
  record(read: HttpConnections.FirstRead): void;
  /** True if callers may have disconnected without this instance having read it. */
  isDelayed(): boolean;
  /** Resolves, in order of the calls, after the event loop has read everything that has arrived by now. */
  waitUntilRead(): Promise<void>;
}

/** Creates a measurement without delay; `onDelayed` receives the delay when a delayed period begins. */
export function createReadDelay(
  clock: Clock.Clock,
  onDelayed: (read: HttpConnections.FirstRead) => void = () => {},
): ReadDelay {
  let lastDelayAtMs = -Infinity;
  /** Requests that began to wait after the event loop last read connections. */
  let newWaiters: (() => void)[] = [];
  /** Requests that began to wait before the event loop last read connections. */
  let readyWaiters: (() => void)[] = [];
  let isScheduled = false;

  /** Runs in the check phase of the event loop, after it has read connections. */
  function resumeWaiters(): void {
    for (const resume of readyWaiters.splice(0, MAX_PER_ITERATION)) resume();
    readyWaiters = readyWaiters.concat(newWaiters);
    newWaiters = [];
    isScheduled = readyWaiters.length > 0;
    if (isScheduled) setImmediate(resumeWaiters);
  }

  function isDelayed(): boolean {
    return readyWaiters.length > 0 ||
      clock.nowMs() - lastDelayAtMs < DELAYED_STATE_MS;
  }

  return {
    record(read) {
      if (read.readMs <= DELAY_THRESHOLD_MS) return;
      if (!isDelayed()) onDelayed(read);
      lastDelayAtMs = clock.nowMs();
    },
    isDelayed,
    waitUntilRead() {
      if (!isScheduled) setImmediate(resumeWaiters);
      isScheduled = true;
      return new Promise((resolve) => newWaiters.push(resolve));
    },
  };
}
