/**
 * Log of what a target stand-in received. Promise: every request that reached
 * the service listener has a record, until the bound is passed; then the oldest
 * go and `dropped` says how many.
 */

/** How far a request got at the target. */
export type RecordOutcome =
  /** Refused with `Target-Outcome: not-run`. */
  | "shed"
  | "running"
  /** The service time passed and the effect was made. */
  | "executed"
  /** The caller went away or the deadline passed before the effect was made. */
  | "cancelled"
  /** The target crashed while running it. */
  | "crashed";

/** One request as the target saw it. */
export interface ExecutionRecord {
  /** Counts all records from 1. */
  readonly seq: number;
  /** Counts executions from 1 as they start; 0 for shed requests. */
  readonly execution: number;
  readonly requestId: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly account: string | undefined;
  readonly method: string;
  /** Path and query as received. */
  readonly path: string;
  /** All names and values as received, in order. */
  readonly headers: readonly (readonly [string, string])[];
  readonly trailers: readonly (readonly [string, string])[];
  readonly bodySha256: string;
  readonly outcome: RecordOutcome;
  readonly status: number;
  /** True when the last byte of the answer was given to the operating system. */
  readonly isAnswerComplete: boolean;
  readonly startedMonotonicMs: number;
  readonly startedWallMs: number;
  readonly endedWallMs: number | undefined;
  /** True when the target had announced that it is leaving. */
  readonly startedWhileLeaving: boolean;
  readonly headBytes: number;
  readonly requestBodyBytes: number;
  readonly responseBodyBytes: number;
}

/** A record while its request is in progress. */
export type OpenRecord = {
  -readonly [K in keyof ExecutionRecord]: ExecutionRecord[K];
};

/** Bounded list of records. */
export interface Records {
  add(record: Omit<ExecutionRecord, "seq">): OpenRecord;
  /** Tells the listener of a change of an open record. */
  note(record: OpenRecord): void;
  /** Records with `seq` above `after`, oldest first. */
  list(after?: number): readonly ExecutionRecord[];
  getDropped(): number;
}

/** Pairs of a flat list as Node's `rawHeaders` has it. */
export function toPairs(
  flat: readonly string[],
): readonly (readonly [string, string])[] {
  const pairs: (readonly [string, string])[] = [];
  for (let i = 0; i + 1 < flat.length; i += 2) {
    pairs.push([flat[i] ?? "", flat[i + 1] ?? ""]);
  }
  return pairs;
}

/** Creates an empty list that keeps at most `maxRecords`; `onChange` gets every new and noted record. */
export function createRecords(
  maxRecords: number,
  onChange: (record: ExecutionRecord) => void = () => {},
): Records {
  let records: OpenRecord[] = [];
  let nextSeq = 1;
  let dropped = 0;

  function dropOldest(): void {
    const excess = records.length - maxRecords;
    records = records.slice(excess);
    dropped += excess;
  }

  return {
    add(record) {
      const open: OpenRecord = { ...record, seq: nextSeq++ };
      records.push(open);
      // Dropping in batches keeps the cost per record constant.
      if (records.length > maxRecords * 1.1 + 100) dropOldest();
      onChange(open);
      return open;
    },
    note: onChange,
    list: (after = 0) => records.filter((record) => record.seq > after),
    getDropped: () => dropped,
  };
}
