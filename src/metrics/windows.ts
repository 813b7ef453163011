/** Counts requests in 10 s windows over the last hour, in a ring buffer. */
import * as ResultCodes from "../result_codes.ts";

/** Length of a window in ms; windows are aligned to the wall clock. */
export const WINDOW_MS = 10_000;
/** Number of windows kept: one hour and the current window. */
export const WINDOW_COUNT = 361;

/** Outcomes of requests that were not rejected. */
export type CompletionKind = "answered" | "ran" | "unknown" | "cancelled";

/**
 * One window in a snapshot: the window number (wall-clock ms / 10 000), then the
 * counts of requests that were answered, that ran without a complete response,
 * whose outcome is unknown, that were cancelled, and the rejections by code number.
 */
export type EncodedWindow = readonly [
  number,
  number,
  number,
  number,
  number,
  Readonly<Record<string, number>>,
];

const COMPLETION_COLUMN: Readonly<Record<CompletionKind, number>> = {
  answered: 0,
  ran: 1,
  unknown: 2,
  cancelled: 3,
};
const FIRST_CODE_COLUMN = 4;
// Codes from 200 on never reach a caller, so no request is rejected with them.
const CALLER_CODES: readonly number[] = Object.values(ResultCodes.codes)
  .map((info) => info.number)
  .filter((number) => number < 200);
const CODE_COLUMN: ReadonlyMap<number, number> = new Map(
  CALLER_CODES.map((number, index) => [number, FIRST_CODE_COLUMN + index]),
);
const COLUMN_COUNT = FIRST_CODE_COLUMN + CALLER_CODES.length;

/** Counts of one service and account; takes about 53 KB regardless of the counts. */
export interface Windows {
  countCompletion(wallMs: number, kind: CompletionKind): void;
  /** Counts a rejection; a code that never reaches a caller counts as `internal`. */
  countRejection(wallMs: number, codeNumber: number): void;
  /** Returns the windows of the last hour that have requests, oldest first. */
  encode(wallMs: number): readonly EncodedWindow[];
}

/** Creates empty windows. */
export function createWindows(): Windows {
  const counts = new Uint32Array(WINDOW_COUNT * COLUMN_COUNT);
  /** Window number that each slot of the ring buffer holds; -1 for an empty slot. */
  const windowNumbers = new Float64Array(WINDOW_COUNT).fill(-1);

  function increment(wallMs: number, column: number): void {
    const number = Math.floor(wallMs / WINDOW_MS);
    const slot = number % WINDOW_COUNT;
    const start = slot * COLUMN_COUNT;
    if (windowNumbers[slot] !== number) {
      counts.fill(0, start, start + COLUMN_COUNT);
      windowNumbers[slot] = number;
    }
    counts[start + column]!++;
  }

  function encodeSlot(slot: number): EncodedWindow {
    const row = counts.subarray(slot * COLUMN_COUNT, (slot + 1) * COLUMN_COUNT);
    const refused: Record<string, number> = {};
    CALLER_CODES.forEach((code, index) => {
      const count = row[FIRST_CODE_COLUMN + index]!;
      if (count > 0) refused[code] = count;
    });
    return [windowNumbers[slot]!, row[0]!, row[1]!, row[2]!, row[3]!, refused];
  }

  return {
    countCompletion: (wallMs, kind) =>
      increment(wallMs, COMPLETION_COLUMN[kind]),
    countRejection(wallMs, codeNumber) {
      const internal = ResultCodes.codes.internal.number;
      const column = CODE_COLUMN.get(codeNumber) ?? CODE_COLUMN.get(internal);
      increment(wallMs, column!);
    },
    encode(wallMs) {
      const newestNumber = Math.floor(wallMs / WINDOW_MS);
      const usedSlots: number[] = [];
      windowNumbers.forEach((number, slot) => {
        const isRecent = number > newestNumber - WINDOW_COUNT &&
          number <= newestNumber;
        if (isRecent) usedSlots.push(slot);
      });
      usedSlots.sort((a, b) => windowNumbers[a]! - windowNumbers[b]!);
      return usedSlots.map(encodeSlot);
    },
  };
}
