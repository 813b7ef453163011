/** Counts of requests per 10 s window over the last hour, in a ring buffer. */
import * as ResultCodes from "../result_codes.ts";

/** Length of a window in ms; windows are aligned to the wall clock. */
export const WINDOW_MS = 10_000;
/** Number of windows that are kept: one hour and the current window. */
export const WINDOW_COUNT = 361;

/** Outcomes of requests that were not rejected. */
export type RunOutcome = "answered" | "ran" | "unknown" | "cancelled";

/**
 * A window in a snapshot: window number (wall ms / 10 000), then the numbers of
 * requests that were answered, that ran without a complete response, that have an
 * unknown outcome and that were cancelled, then the rejections by code number.
 */
export type EncodedWindow = readonly [
  number,
  number,
  number,
  number,
  number,
  Readonly<Record<string, number>>,
];

const OUTCOME_COLUMN: Readonly<Record<RunOutcome, number>> = {
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
const COLUMNS = FIRST_CODE_COLUMN + CALLER_CODES.length;

/** Counts of one service and account; they always take about 53 KB. */
export interface Windows {
  countOutcome(wallMs: number, outcome: RunOutcome): void;
  /** Counts a rejection; a code that callers never receive counts as `internal`. */
  countRejection(wallMs: number, codeNumber: number): void;
  /** Returns the non-empty windows of the last hour, oldest first. */
  encode(wallMs: number): readonly EncodedWindow[];
}

/** Creates empty windows. */
export function createWindows(): Windows {
  const counts = new Uint32Array(WINDOW_COUNT * COLUMNS);
  /** Number of the window at each index of the ring; -1 before the first. */
  const windowNumbers = new Float64Array(WINDOW_COUNT).fill(-1);

  function add(wallMs: number, column: number): void {
    const number = Math.floor(wallMs / WINDOW_MS);
    const ringIndex = number % WINDOW_COUNT;
    const start = ringIndex * COLUMNS;
    if (windowNumbers[ringIndex] !== number) {
      counts.fill(0, start, start + COLUMNS);
      windowNumbers[ringIndex] = number;
    }
    counts[start + column]!++;
  }

  function encodeWindow(ringIndex: number): EncodedWindow {
    const row = counts.subarray(ringIndex * COLUMNS, (ringIndex + 1) * COLUMNS);
    const rejected: Record<string, number> = {};
    CALLER_CODES.forEach((code, index) => {
      const count = row[FIRST_CODE_COLUMN + index]!;
      if (count > 0) rejected[code] = count;
    });
    return [
      windowNumbers[ringIndex]!,
      row[0]!,
      row[1]!,
      row[2]!,
      row[3]!,
      rejected,
    ];
  }

  return {
    countOutcome: (wallMs, outcome) => add(wallMs, OUTCOME_COLUMN[outcome]),
    countRejection(wallMs, codeNumber) {
      const internal = ResultCodes.codes.internal.number;
      const column = CODE_COLUMN.get(codeNumber) ?? CODE_COLUMN.get(internal);
      add(wallMs, column!);
    },
    encode(wallMs) {
      const newestNumber = Math.floor(wallMs / WINDOW_MS);
      const ringIndexes: number[] = [];
      windowNumbers.forEach((number, ringIndex) => {
        const isRecent = number > newestNumber - WINDOW_COUNT &&
          number <= newestNumber;
        if (isRecent) ringIndexes.push(ringIndex);
      });
      ringIndexes.sort((a, b) => windowNumbers[a]! - windowNumbers[b]!);
      return ringIndexes.map(encodeWindow);
    },
  };
}
