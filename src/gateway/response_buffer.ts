/**
 * Bounds the memory of responses that are buffered until they are complete, and then
 * until their callers have taken them. Load pattern: several targets send bytes
 * without end, at the speed of their links, or callers don't read what they asked
 * for, while others respond and read as usual.
 *
 * When the responses together exceed the limit, the longest one is aborted, so an
 * endless response never displaces ordinary ones.
 */

/** Longest single response, bytes. */
export const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** A response that is being received, or sent to its caller. */
export interface BufferedResponse {
  /** Records that `bytes` more were buffered; may abort this or another response. */
  add(bytes: number): void;
  /** Releases the memory of the response. */
  close(): void;
}

/** All responses that are being received, or sent to their callers. */
export interface ResponseBuffer {
  /** Begins a response; `abort` is called when it has to give up its memory. */
  open(abort: (reason: string) => void): BufferedResponse;
  /** Bytes buffered now. */
  getBytes(): number;
}

interface Entry {
  bytes: number;
  readonly abort: (reason: string) => void;
}

/** Creates an empty buffer for `maxBytes` in total. */
export function createResponseBuffer(maxBytes: number): ResponseBuffer {
  const entries = new Set<Entry>();
  let totalBytes = 0;

  function release(entry: Entry): void {
    if (entries.delete(entry)) totalBytes -= entry.bytes;
  }

  function abort(entry: Entry, reason: string): void {
    release(entry);
    entry.abort(reason);
  }

  function abortLongest(): void {
    const longest = [...entries].reduce((a, b) => b.bytes > a.bytes ? b : a);
    abort(longest, "responses exceed the memory for them");
  }

  return {
    open(abortResponse) {
      const entry: Entry = { bytes: 0, abort: abortResponse };
      entries.add(entry);
      return {
        add(bytes) {
          if (!entries.has(entry)) return;
          entry.bytes += bytes;
          totalBytes += bytes;
          if (entry.bytes > MAX_RESPONSE_BYTES) {
            return abort(entry, "response body exceeds the size limit");
          }
          while (totalBytes > maxBytes && entries.size > 0) abortLongest();
        },
        close: () => release(entry),
      };
    },
    getBytes: () => totalBytes,
  };
}
