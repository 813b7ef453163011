/** Simulated time: scheduled callbacks run in order of time, without real delays. */

/** Queue of callbacks ordered by time; callbacks of the same time run in the order of scheduling. */
export interface EventQueue {
  nowMs(): number;
  /** Schedules a callback after a delay in ms; a negative delay counts as 0. */
  schedule(delayMs: number, callback: () => void): void;
  /** Runs all events up to and including `untilMs` and sets the time to it. */
  runUntil(untilMs: number): void;
}

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly callback: () => void;
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Creates an empty queue at time 0. It is a binary heap because runs have many thousands of events. */
export function createEventQueue(): EventQueue {
  const heap: ScheduledEvent[] = [];
  let nowMs = 0;
  let nextOrder = 0;

  function push(event: ScheduledEvent): void {
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  function pop(): ScheduledEvent | undefined {
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) {
      return first;
    }
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }

  return {
    nowMs: () => nowMs,
    schedule: (delayMs, callback) =>
      push({
        atMs: nowMs + Math.max(0, delayMs),
        order: nextOrder++,
        callback,
      }),
    runUntil(untilMs) {
      for (;;) {
        if (heap[0] === undefined || heap[0].atMs > untilMs) break;
        const event = pop()!;
        nowMs = event.atMs;
        event.callback();
      }
      nowMs = untilMs;
    },
  };
}
