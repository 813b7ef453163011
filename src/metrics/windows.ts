/** Counts per 10 s window over the last hour, in a ring of fixed size. */
import * as ResultCodes from "../result_codes.ts";

/** Length of a window in ms; windows are aligned to the wall clock. */
export const WINDOW_MS = 10_000;
/** Windows kept: one hour and the current one. */
export const WINDOW_COUNT = 361;

/** Kinds of ends that are not refusals. */
export type EndKind = "answered" | "ran" | "unknown" | "cancelled";

/**
 * One window in a snapshot: window number (wall ms / 10 000), answered, ran
 * without the whole answer, unknown, cancelled, refused by code number.
 */
export type EncodedWindow = readonly [
  number,
  number,
  number,
  number,
  number,
  Readonly<Record<string, number>>,
];

const END_COLUMN: Readonly<Record<EndKind, number>> = {
  answered: 0,
  ran: 1,
  unknown: 2,
  cancelled: 3,
};
const FIRST_CODE_COLUMN = 4;
// Codes from 200 on never reach a caller, so requests are not refused with them.
const CALLER_CODES: readonly number[] = Object.values(ResultCodes.codes)
  .map((info) => info.number)
  .filter((number) => number < 200);
const CODE_COLUMN: ReadonlyMap<number, number> = new Map(
  CALLER_CODES.map((number, index) => [number, FIRST_CODE_COLUMN + index]),
);
const COLUMNS = FIRST_CODE_COLUMN + CALLER_CODES.length;

/** Counts of one service and account; about 53 KB, whatever is counted. */
export interface Windows {
  countEnd(wallMs: number, kind: EndKind): void;
  countRefusal(wallMs: number, codeNumber: number): void;
  /** The windows of the last hour that have any count, oldest first. */
  encode(wallMs: number): readonly EncodedWindow[];
}

/** Creates empty windows. */
export function createWindows(): Windows {
  const counts = new Uint32Array(WINDOW_COUNT * COLUMNS);
  /** Window number that a place of the ring holds now. */
  const numbers = new Float64Array(WINDOW_COUNT).fill(-1);

  function add(wallMs: number, column: number): void {
    const number = Math.floor(wallMs / WINDOW_MS);
    const place = number % WINDOW_COUNT;
    const start = place * COLUMNS;
    if (numbers[place] !== number) {
      counts.fill(0, start, start + COLUMNS);
      numbers[place] = number;
    }
    counts[start + column]!++;
  }

  function encodeOne(place: number): EncodedWindow {
    const row = counts.subarray(place * COLUMNS, (place + 1) * COLUMNS);
    const refused: Record<string, number> = {};
    CALLER_CODES.forEach((code, index) => {
      const count = row[FIRST_CODE_COLUMN + index]!;
      if (count > 0) refused[code] = count;
    });
    return [numbers[place]!, row[0]!, row[1]!, row[2]!, row[3]!, refused];
  }

  return {
    countEnd: (wallMs, kind) => add(wallMs, END_COLUMN[kind]),
    countRefusal(wallMs, codeNumber) {
      const internal = ResultCodes.codes.internal.number;
      const column = CODE_COLUMN.get(codeNumber) ?? CODE_COLUMN.get(internal);
      add(wallMs, column!);
    },
    encode(wallMs) {
      const newest = Math.floor(wallMs / WINDOW_MS);
      const places: number[] = [];
      numbers.forEach((number, place) => {
        const isHeld = number > newest - WINDOW_COUNT && number <= newest;
        if (isHeld) places.push(place);
      });
      places.sort((a, b) => numbers[a]! - numbers[b]!);
      return places.map(encodeOne);
    },
  };
}
