/** Time that only moves when a test advances it. */

/** Manual time; `advance` runs due timers in order and drains promises after each. */
export function createTime() {
  let now = 1_000;
  let order = 0;
  let timers: { at: number; order: number; fn: () => void }[] = [];
  const settle = () => new Promise<void>((done) => setImmediate(done));
  return {
    nowMs: () => now,
    wallMs: () => now,
    sleep: (ms: number) =>
      new Promise<void>((fn) => {
        timers.push({ at: now + Math.max(0, ms), order: order++, fn });
      }),
    async advance(ms: number): Promise<void> {
      const end = now + ms;
      await settle();
      for (;;) {
        let at = Infinity;
        for (const timer of timers) at = Math.min(at, timer.at);
        if (at > end) break;
        now = Math.max(now, at);
        const due = timers.filter((timer) => timer.at <= at);
        timers = timers.filter((timer) => timer.at > at);
        due.sort((a, b) => a.order - b.order).forEach((timer) => timer.fn());
        await settle();
      }
      now = end;
    },
  };
}

/** A clock that `advance` moves. */
export type Time = ReturnType<typeof createTime>;
