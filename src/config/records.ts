/** The two records of the operators' configuration: the table and the keys. */
import { Err, Ok, type Result } from "ts-results-es";
import * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";

/** Key of a record in the store. */
export type RecordKey = "table" | "keys";

/** The keys of both records. */
export const RECORD_KEYS: readonly RecordKey[] = ["table", "keys"];

/** A record with its revision, as peers and the operators' tool exchange them. */
export interface VersionedRecord {
  readonly revision: number;
  /** A `Types.TableRecord` or `Types.KeysRecord` that is not validated yet. */
  readonly record: unknown;
}

/** Parameters of `config.get`. */
export interface GetParams {
  readonly key: RecordKey;
}

/**
 * Parameters of `config.push`. A message with `record` asks the receiver to apply
 * the record if it is newer; a message without announces that the sender has the
 * revision. `withdrawn` lists digests of withdrawn keys that the stored record may
 * not contain yet.
 */
export interface PushParams {
  readonly key: RecordKey;
  readonly revision: number;
  readonly record?: unknown;
  readonly withdrawn?: readonly string[];
}

/** Response to `config.push`: the revision in force at the receiver afterwards. */
export interface PushResponse {
  readonly key: RecordKey;
  readonly revision: number;
}

/** True for a revision: a non-negative safe integer. */
export function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

/** Parses a stored value; storeError when it is not JSON. */
export function parseJson(
  json: string,
): Result<unknown, ResultCodes.Failure> {
  try {
    return Ok(JSON.parse(json));
  } catch {
    return ResultCodes.fail("storeError", "the record is not JSON");
  }
}

/** Validates the fields of a table record; storeError when malformed. */
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

/** Parses the parameters of `config.get`; peerMessage when malformed. */
export function parseGet(
  raw: unknown,
): Result<GetParams, ResultCodes.Failure> {
  const key = Json.isObject(raw) ? raw.key : undefined;
  if (key === "table" || key === "keys") return Ok({ key });
  return ResultCodes.fail("peerMessage", "config: key");
}

/** Parses the parameters of `config.push`; peerMessage when malformed. */
export function parsePush(
  raw: unknown,
): Result<PushParams, ResultCodes.Failure> {
  const getParams = parseGet(raw);
  if (getParams.isErr()) return Err(getParams.error);
  const { revision, record, withdrawn } = raw as Partial<PushParams>;
  if (!isRevision(revision)) {
    return ResultCodes.fail("peerMessage", "config: revision");
  }
  return Ok({
    key: getParams.value.key,
    revision,
    record,
    withdrawn: Array.isArray(withdrawn) ? withdrawn : [],
  });
}
