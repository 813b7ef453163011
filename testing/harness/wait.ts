/** Waiting for conditions instead of fixed times. */
import * as Clock from "../../src/clock.ts";

const POLL_INTERVAL_MS = 10;

/** A condition; undefined, false and a rejection mean "not yet". */
export type Condition<T> = () => T | Promise<T>;

/** Polls until the condition holds and resolves with its value; rejects after `timeoutMs` naming `what`. */
export async function waitFor<T>(
  condition: Condition<T>,
  timeoutMs: number,
  what: string,
): Promise<Exclude<T, undefined | false>> {
  const deadlineMs = performance.now() + timeoutMs;
  let last: unknown;
  while (true) {
    try {
      const leftMs = Math.max(deadlineMs - performance.now(), 0);
      const late = Clock.sleep(leftMs + POLL_INTERVAL_MS);
      const value = await Promise.race([condition(), late]);
      if (value !== undefined && value !== false) {
        return value as Exclude<T, undefined | false>;
      }
      last = value;
    } catch (err) {
      last = err;
    }
    if (performance.now() >= deadlineMs) break;
    await Clock.sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`not within ${timeoutMs} ms: ${what} (last: ${last})`);
}
