/** A clock and timers that move only when a test advances them. */

/** Creates a clock at 1,000 ms. `advance` runs due timers in order and pending promise callbacks after each time step. */
export function createTime() {
  let nowMs = 1_000;
  let nextOrder = 0;
  let timers: { atMs: number; order: number; callback: () => void }[] = [];
  const runPendingCallbacks = () =>
    new Promise<void>((resolve) => setImmediate(resolve));
  return {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    sleep: (ms: number) =>
      new Promise<void>((callback) => {
        timers.push({
          atMs: nowMs + Math.max(0, ms),
          order: nextOrder++,
          callback,
        });
      }),
    async advance(ms: number): Promise<void> {
      const endMs = nowMs + ms;
      await runPendingCallbacks();
      for (;;) {
        let dueAtMs = Infinity;
        for (const timer of timers) dueAtMs = Math.min(dueAtMs, timer.atMs);
        if (dueAtMs > endMs) break;
        nowMs = Math.max(nowMs, dueAtMs);
        const dueTimers = timers.filter((timer) => timer.atMs <= dueAtMs);
        timers = timers.filter((timer) => timer.atMs > dueAtMs);
        dueTimers.sort((a, b) => a.order - b.order).forEach((timer) =>
          timer.callback()
        );
        await runPendingCallbacks();
      }
      nowMs = endMs;
    },
  };
}

/** Return type of `createTime`. */
export type Time = ReturnType<typeof createTime>;
