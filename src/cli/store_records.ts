/** Reads and writes the `table` and `keys` records in the store. */
import { Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
import * as PlatformClient from "../platform/client.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";

/** A record and its revision, which a write must name to replace the record. */
export interface Versioned<T> {
  /** 0 when the store does not have the record yet. */
  readonly revision: number;
  readonly record: T | undefined;
}

const WRITE_ATTEMPTS = 3;

function isTableRecord(value: unknown): boolean {
  return Json.isObject(value) && typeof value["writeId"] === "string" &&
    typeof value["by"] === "string" && typeof value["csv"] === "string";
}

function isKeyEntry(value: unknown): boolean {
  return Json.isObject(value) && typeof value["id"] === "string" &&
    typeof value["digest"] === "string";
}

function isKeysRecord(value: unknown): boolean {
  return Json.isObject(value) && typeof value["writeId"] === "string" &&
    Json.isObject(value["accounts"]) &&
    Object.values(value["accounts"]).every((keys) =>
      Array.isArray(keys) && keys.every(isKeyEntry)
    ) &&
    Array.isArray(value["withdrawn"]) &&
    value["withdrawn"].every((digest) => typeof digest === "string");
}

async function readRecord<T>(
  platform: Contracts.PlatformClient,
  key: string,
  isRecord: (value: unknown) => boolean,
): Promise<Result<Versioned<T>, ResultCodes.Failure>> {
  const entry = await platform.get(key);
  if (entry.isErr()) return entry;
  if (entry.value === undefined) {
    return Ok({ revision: 0, record: undefined });
  }
  const { value, version } = entry.value;
  const parsed = tryParseJson(value);
  if (isRecord(parsed)) return Ok({ revision: version, record: parsed as T });
  const detail = `the record ${key} at revision ${version} is not readable`;
  return ResultCodes.fail("storeError", detail);
}

function tryParseJson(json: string): unknown {
  try {
    return JSON.parse(json);
  } catch {
    // Undefined fails the checks in `readRecord` and `hasWriteId`.
    return undefined;
  }
}

/** Reads the `table` record. Fails with `storeError` when the record is malformed. */
export function readTable(
  platform: Contracts.PlatformClient,
): Promise<Result<Versioned<Types.TableRecord>, ResultCodes.Failure>> {
  return readRecord(platform, "table", isTableRecord);
}

/** Reads the `keys` record. Fails with `storeError` when the record is malformed. */
export function readKeys(
  platform: Contracts.PlatformClient,
): Promise<Result<Versioned<Types.KeysRecord>, ResultCodes.Failure>> {
  return readRecord(platform, "keys", isKeysRecord);
}

/** Returns true for a well-formed keys record. */
export function isReadableKeys(value: unknown): value is Types.KeysRecord {
  return isKeysRecord(value);
}

/**
 * Replaces a record by compare-and-swap and returns its new revision. When the
 * response is lost, the record is read back and its write id is compared. An
 * unchanged record is written again with the same expected revision, because
 * the first attempt may still reach the store. Fails with `storeConflict` when
 * another write came first, and with `storeWriteUnknown` when it is unknown
 * whether the write took effect.
 */
export async function writeRecord(
  platform: Contracts.PlatformClient,
  key: "table" | "keys",
  expectedRevision: number,
  record: Types.TableRecord | Types.KeysRecord,
): Promise<Result<number, ResultCodes.Failure>> {
  const value = JSON.stringify(record);
  const bytes = Buffer.byteLength(value);
  if (bytes > PlatformClient.MAX_VALUE_BYTES) {
    const detail =
      `${key}: ${bytes} bytes of at most ${PlatformClient.MAX_VALUE_BYTES}`;
    return ResultCodes.fail("valueTooLarge", detail);
  }
  const { writeId } = record;
  let lostResponse: ResultCodes.Failure | undefined;
  for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
    const written = await platform.cas(key, expectedRevision, value, {
      writeId,
    });
    if (written.isOk()) return written;
    const isConflict = written.error.code === ResultCodes.codes.storeConflict;
    if (isConflict && lostResponse === undefined) return written;
    if (!isConflict && !isResponseLost(written.error)) return written;
    if (!isConflict) lostResponse = written.error;
    const stored = await platform.get(key);
    if (stored.isErr()) continue;
    const version = stored.value?.version ?? 0;
    const isThisWrite = stored.value !== undefined &&
      hasWriteId(stored.value.value, writeId);
    if (isThisWrite) return Ok(version);
    // Another write took effect, either after this one or instead of it.
    if (version !== expectedRevision) break;
  }
  return ResultCodes.fail(
    "storeWriteUnknown",
    `${key}: ${lostResponse?.detail ?? ""}`,
  );
}

function isResponseLost(err: ResultCodes.Failure): boolean {
  return err.code === ResultCodes.codes.storeUnreachable ||
    err.code === ResultCodes.codes.storeWriteUnknown;
}

function hasWriteId(value: string, writeId: string): boolean {
  const parsed = tryParseJson(value);
  return Json.isObject(parsed) && parsed["writeId"] === writeId;
}
