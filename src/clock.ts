/** Time, injected so that tests can control it. */

/** Source of time for measurements and timeouts. */
export interface Clock {
  /** Monotonic time in milliseconds; it advances while the process is suspended. */
  nowMs(): number;
  /**
   * Time of day in whole milliseconds since the epoch, for logs, metrics and times that
   * several processes compare. It follows the monotonic time from the start of the
   * process, so a step of the machine's clock neither expires nor revives anything.
   */
  wallMs(): number;
}

/** Clock of the operating system. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Math.round(performance.timeOrigin + performance.now()),
};

/** Returns a function that caches the result of `compute` for `validMs`. */
export function createCached<T>(
  validMs: number,
  clock: Clock,
  compute: () => T,
): () => T {
  let cached: { readonly value: T; readonly atMs: number } | undefined;
  return () => {
    const now = clock.nowMs();
    if (cached === undefined || now - cached.atMs > validMs) {
      cached = { value: compute(), atMs: now };
    }
    return cached.value;
  };
}

/** A timer that fires this share of its interval too early counts as on time. */
const MAX_EARLY_SHARE = 0.1;

/**
 * Returns the delay until the next multiple of `intervalMs`, ms. Timers whose
 * intervals divide each other then fire together, in one wake-up of the process.
 */
export function getAlignedDelayMs(intervalMs: number, clock: Clock): number {
  const delayMs = intervalMs - clock.nowMs() % intervalMs;
  const isEarly = delayMs < intervalMs * MAX_EARLY_SHARE;
  return isEarly ? delayMs + intervalMs : delayMs;
}

/** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal?.addEventListener("abort", finish, { once: true });
  });
}

/**
 * Creates a sleep function whose sleeps end early when `signal` aborts. Only one
 * sleep may run at a time. The function adds one listener to the signal: a listener for each sleep
 * costs more than the sleep.
 */
export function createSleeper(
  signal: AbortSignal,
): (ms: number) => Promise<void> {
  let wakeSleeper: (() => void) | undefined;
  signal.addEventListener("abort", () => wakeSleeper?.(), { once: true });
  return (ms) =>
    new Promise((resolve) => {
      if (signal.aborted) return resolve();
      const finish = () => {
        clearTimeout(timer);
        wakeSleeper = undefined;
        resolve();
      };
      const timer = setTimeout(finish, ms);
      wakeSleeper = finish;
    });
}
