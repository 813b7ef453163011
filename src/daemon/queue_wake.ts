/**
 * Wakes queues whose entries wait for tokens that refill with time. The timer
 * runs only while something waits: an idle instance must not wake up for it.
 */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";

/** Tokens refill smoothly; a shorter interval would not start requests sooner by much. */
const WAKE_INTERVAL_MS = 10;

/** The same queue, with its services woken while they have waiting entries. */
export function createWakingQueue<T>(
  queue: Contracts.FairQueue<T>,
): Contracts.FairQueue<T> {
  const waiting = new Set<Types.Service>();
  let timer: NodeJS.Timeout | undefined;

  function tick(): void {
    for (const service of waiting) {
      queue.wake(service);
      if (queue.getLength(service) === 0) waiting.delete(service);
    }
    if (waiting.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  }

  return {
    ...queue,
    wait(entry, tryStart) {
      const result = queue.wait(entry, tryStart);
      if (queue.getLength(entry.service) > 0) {
        waiting.add(entry.service);
        timer ??= setInterval(tick, WAKE_INTERVAL_MS);
      }
      return result;
    },
  };
}
