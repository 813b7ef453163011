/**
 * Holds each request until the event loop has read everything that had arrived when
 * the request was read. Load pattern: a burst exceeds the processor's capacity, and
 * requests stay unread for up to seconds, on kept connections and on connections
 * that the kernel holds. The end of a connection is read an iteration after its
 * request, so a caller that left long ago still looks connected.
 */
import type * as Clock from "../clock.ts";

/**
 * Time for which requests resume in one event-loop iteration, ms. Ends of connections
 * that arrive meanwhile are read in the next iteration, and each iteration accepts
 * one connection only.
 */
const MAX_RESUME_MS = 5;

/** Holds requests until connections have been read. */
export interface ReadBarrier {
  /** Resolves, in order of the calls, after the event loop has read everything that has arrived by now. */
  wait(): Promise<void>;
}

/** Creates a barrier at which no request waits. */
export function createReadBarrier(clock: Clock.Clock): ReadBarrier {
  /** Requests that began to wait after the event loop last read connections. */
  let newWaiters: (() => void)[] = [];
  /** Requests that began to wait before the event loop last read connections. */
  let readyWaiters: (() => void)[] = [];
  let isScheduled = false;

  /** Resumes requests one by one; each is sent, or waits for something else, before the next resumes. */
  async function resumeReady(): Promise<void> {
    const startedAtMs = clock.nowMs();
    let resumedCount = 0;
    for (const resume of readyWaiters) {
      resume();
      resumedCount++;
      // Runs after the microtasks of the resumed request, in the same iteration.
      await new Promise((resolve) => process.nextTick(resolve));
      if (clock.nowMs() - startedAtMs >= MAX_RESUME_MS) break;
    }
    readyWaiters.splice(0, resumedCount);
  }

  /** Runs in the check phase of the event loop, after it has read connections. */
  async function runIteration(): Promise<void> {
    const readDuringIteration = newWaiters;
    newWaiters = [];
    await resumeReady();
    readyWaiters = readyWaiters.concat(readDuringIteration);
    schedule();
  }

  function schedule(): void {
    isScheduled = readyWaiters.length + newWaiters.length > 0;
    if (isScheduled) setImmediate(() => void runIteration());
  }

  return {
    wait() {
      return new Promise((resolve) => {
        newWaiters.push(resolve);
        if (!isScheduled) schedule();
      });
    },
  };
}
