/**
 * Wakes queues whose entries wait for tokens that refill over time. The timer runs
 * only while entries wait, so that it does not wake an idle process.
 */
import type * as Contracts from "../contracts.ts";
import type * as Types from "../types.ts";

/** Tokens refill continuously; a shorter interval would start requests only slightly sooner. */
const WAKE_INTERVAL_MS = 10;

/** Wraps a queue so that services with waiting entries are woken periodically. */
export function createWakingQueue<T>(
  queue: Contracts.FairQueue<T>,
): Contracts.FairQueue<T> {
  const waitingServices = new Set<Types.Service>();
  let timer: NodeJS.Timeout | undefined;

  function wakeServices(): void {
    for (const service of waitingServices) {
      queue.wake(service);
      if (queue.getLength(service) === 0) waitingServices.delete(service);
    }
    if (waitingServices.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  }

  return {
    ...queue,
    wait(entry, tryStart) {
      const result = queue.wait(entry, tryStart);
      if (queue.getLength(entry.service) > 0) {
        waitingServices.add(entry.service);
        timer ??= setInterval(wakeServices, WAKE_INTERVAL_MS);
      }
      return result;
    },
  };
}
