/** Time, injected so that tests can control it. */

/** Source of time for measurements and timeouts. */
export interface Clock {
  /** Monotonic time in milliseconds; it advances while the process is suspended. */
  nowMs(): number;
  /** Wall-clock time in milliseconds since the epoch; may jump. */
  wallMs(): number;
}

/** Clock of the operating system. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
};

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
