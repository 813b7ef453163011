/**
 * Bounds the memory of what is received: responses until their callers have taken
 * them, and request bodies until their requests have ended. Load pattern: several
 * targets send bytes without end, callers don't read what they asked for, or some
 * send large bodies at once, while others behave as usual.
 *
 * When all together exceed the limit, the longest one that may be given up is
 * aborted, of equal ones the newest. So an endless response never displaces ordinary
 * ones, and a body that doesn't fit is rejected rather than those that nearly arrived.
 */

/** Memory of one response or body. */
export interface MemoryHolding {
  /** Records that `bytes` more are held; may abort this or another holding. */
  add(bytes: number): void;
  /** Records that `bytes` are held in total; may abort this or another holding. */
  set(bytes: number): void;
  /** Keeps the memory until it is closed, as what it holds can't be given up any more. */
  keep(): void;
  /** Releases the memory. */
  close(): void;
}

/** The memory of one kind of data. */
export interface MemoryBudget {
  /** Begins a holding; `abort` is called when it has to give up its memory. */
  open(abort: (reason: string) => void): MemoryHolding;
  /** Bytes held now. */
  getBytes(): number;
}

interface Entry {
  bytes: number;
  isKept: boolean;
  readonly abort: (reason: string) => void;
}

/** Creates a budget of `maxBytes` in total and `maxEntryBytes` for each holding. */
export function createMemoryBudget(
  maxBytes: number,
  maxEntryBytes = Infinity,
): MemoryBudget {
  const entries = new Set<Entry>();
  let totalBytes = 0;

  function release(entry: Entry): void {
    if (entries.delete(entry)) totalBytes -= entry.bytes;
  }

  function abort(entry: Entry, reason: string): void {
    release(entry);
    entry.abort(reason);
  }

  /** Aborts the longest entry, of equal ones the newest; returns false if all are kept. */
  function tryAbortLongest(): boolean {
    const candidates = [...entries].filter(({ isKept }) => !isKept);
    if (candidates.length === 0) return false;
    const longest = candidates.reduce((a, b) => b.bytes >= a.bytes ? b : a);
    abort(longest, "the memory is needed");
    return true;
  }

  return {
    open(abortEntry) {
      const entry: Entry = { bytes: 0, isKept: false, abort: abortEntry };
      entries.add(entry);

      function set(bytes: number): void {
        if (!entries.has(entry)) return;
        totalBytes += bytes - entry.bytes;
        entry.bytes = bytes;
        if (entry.bytes > maxEntryBytes) {
          return abort(entry, "the size limit is exceeded");
        }
        while (totalBytes > maxBytes && tryAbortLongest());
      }

      return {
        add: (bytes) => set(entry.bytes + bytes),
        set,
        keep() {
          entry.isKept = true;
        },
        close: () => release(entry),
      };
    },
    getBytes: () => totalBytes,
  };
}
