/** Simulated time: what is scheduled runs in order, without waiting. */

/** A queue of events by time. */
export interface Events {
  nowMs(): number;
  after(ms: number, fn: () => void): void;
  /** Runs everything up to a time. */
  run(untilMs: number): void;
}

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly fn: () => void;
}

function isBefore(a: Scheduled, b: Scheduled): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Creates an empty queue at time 0; a binary heap, as runs have many thousands of events. */
export function createEvents(): Events {
  const heap: Scheduled[] = [];
  let now = 0;
  let order = 0;

  function push(one: Scheduled): void {
    let at = heap.length;
    heap.push(one);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(one, heap[parent]!)) break;
      heap[at] = heap[parent]!;
      at = parent;
    }
    heap[at] = one;
  }

  function pop(): Scheduled | undefined {
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) {
      return first;
    }
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, last)) break;
      heap[at] = heap[child]!;
      at = child;
    }
    heap[at] = last;
    return first;
  }

  return {
    nowMs: () => now,
    after: (ms, fn) =>
      push({ atMs: now + Math.max(0, ms), order: order++, fn }),
    run(untilMs) {
      for (;;) {
        if (heap[0] === undefined || heap[0].atMs > untilMs) break;
        const next = pop()!;
        now = next.atMs;
        next.fn();
      }
      now = untilMs;
    },
  };
}
