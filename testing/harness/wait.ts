/** Waiting for conditions instead of fixed times. */
import * as Clock from "../../src/clock.ts";

const POLL_INTERVAL_MS = 10;

/** A condition; undefined, false and a rejection mean "not yet". */
export type Condition<T> = () => T | Promise<T>;

/** Undefined when the condition itself takes too long. */
async function withLimit<T>(
  condition: Condition<T>,
  limitMs: number,
): Promise<T | undefined> {
  const answered = new AbortController();
  const late = Clock.sleep(limitMs, answered.signal).then(() => undefined);
  try {
    return await Promise.race([condition(), late]);
  } finally {
    answered.abort();
  }
}

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
      const value = await withLimit(condition, leftMs + POLL_INTERVAL_MS);
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
