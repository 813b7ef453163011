/** The two records that the operators' configuration consists of. */
import { Err, Ok, type Result } from "ts-results-es";
import * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";

/** Key of a record in the store. */
export type RecordKey = "table" | "keys";

/** Both keys, for loops. */
export const RECORD_KEYS: readonly RecordKey[] = ["table", "keys"];

/** A record with its revision, as peers and the operators' tool exchange it. */
export interface Versioned {
  readonly revision: number;
  /** A `Types.TableRecord` or `Types.KeysRecord`; not checked yet. */
  readonly record: unknown;
}

/** Parameters of `config.get`. */
export interface GetParams {
  readonly key: RecordKey;
}

/**
 * Parameters of `config.push`. With `record`, it is applied when newer; without,
 * it announces that the sender has the revision. `withdrawn` names digests of
 * withdrawn keys that the stored record may not have yet.
 */
export interface PushParams {
  readonly key: RecordKey;
  readonly revision: number;
  readonly record?: unknown;
  readonly withdrawn?: readonly string[];
}

/** Answer of `config.push`: the revision in force here afterwards. */
export interface PushAnswer {
  readonly key: RecordKey;
  readonly revision: number;
}

/** True for a revision: a whole number, 0 or more. */
export function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

/** Parses the store's text; storeError when it is not JSON. */
export function parseJson(
  text: string,
): Result<unknown, ResultCodes.Failure> {
  try {
    return Ok(JSON.parse(text));
  } catch {
    return ResultCodes.fail("storeError", "the record is not JSON");
  }
}

/** Checks the shape of a table record; storeError when malformed. */
export function parseTableRecord(
  raw: unknown,
): Result<Types.TableRecord, ResultCodes.Failure> {
  if (!Json.isObject(raw)) {
    return ResultCodes.fail("storeError", "table record");
  }
  const { writeId, by, csv } = raw;
  const fields = [writeId, by, csv];
  if (fields.every((field) => typeof field === "string")) {
    return Ok(raw as unknown as Types.TableRecord);
  }
  return ResultCodes.fail("storeError", "table record: writeId, by or csv");
}

/** Reads the parameters of `config.get`; peerMessage when malformed. */
export function parseGet(
  raw: unknown,
): Result<GetParams, ResultCodes.Failure> {
  const key = Json.isObject(raw) ? raw.key : undefined;
  if (key === "table" || key === "keys") return Ok({ key });
  return ResultCodes.fail("peerMessage", "config: key");
}

/** Reads the parameters of `config.push`; peerMessage when malformed. */
export function parsePush(
  raw: unknown,
): Result<PushParams, ResultCodes.Failure> {
  const get = parseGet(raw);
  if (get.isErr()) return Err(get.error);
  const { revision, record, withdrawn } = raw as Partial<PushParams>;
  if (!isRevision(revision)) {
    return ResultCodes.fail("peerMessage", "config: revision");
  }
  return Ok({
    key: get.value.key,
    revision,
    record,
    withdrawn: Array.isArray(withdrawn) ? withdrawn : [],
  });
}
