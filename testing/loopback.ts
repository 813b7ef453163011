/**
 * Loopback addresses of this process. The operating system gives out ports of
 * 127.0.0.1 to all processes of a test run, also one that a listener has released
 * because it refuses connections or its process was killed. On an address of its own
 * a listener can be opened again at its port, and nobody else answers there.
 */

/** First of the 64 blocks of addresses that are used here. */
const FIRST_BLOCK = 128;

/** Returns the `index`th loopback address of this process, from 1 to 254. */
export function getOwnIp(index: number): string {
  const high = FIRST_BLOCK + (process.pid >> 8 & 0x3f);
  return `127.${high}.${process.pid & 0xff}.${index}`;
}
