/** Reads and writes the store's `table` and `keys` records. */
import { Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
import * as PlatformClient from "../platform/client.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";

/** A record and the version to give when it is replaced. */
export interface Versioned<T> {
  /** 0 when the store has no such record yet. */
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

async function read<T>(
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
  const parsed = tryParse(value);
  if (isRecord(parsed)) return Ok({ revision: version, record: parsed as T });
  const detail = `the record ${key} at revision ${version} is not readable`;
  return ResultCodes.fail("storeError", detail);
}

function tryParse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Reported by the shape check as not readable.
    return undefined;
  }
}

/** Reads the `table` record. */
export function readTable(
  platform: Contracts.PlatformClient,
): Promise<Result<Versioned<Types.TableRecord>, ResultCodes.Failure>> {
  return read(platform, "table", isTableRecord);
}

/** Reads the `keys` record. */
export function readKeys(
  platform: Contracts.PlatformClient,
): Promise<Result<Versioned<Types.KeysRecord>, ResultCodes.Failure>> {
  return read(platform, "keys", isKeysRecord);
}

/** True for what an instance or the store gives as a keys record. */
export function isReadableKeys(value: unknown): value is Types.KeysRecord {
  return isKeysRecord(value);
}

/**
 * Replaces a record by compare-and-swap and returns its new revision. When the
 * answer is lost, the record is read back and compared by write id; an
 * unchanged record is written again with the same expected version, because
 * the first attempt may still be on its way. `storeConflict` when another
 * write came first; `storeWriteUnknown` when it cannot be told whether this
 * one took effect.
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
  let lost: ResultCodes.Failure | undefined;
  for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
    const written = await platform.cas(key, expectedRevision, value, {
      writeId,
    });
    if (written.isOk()) return written;
    const isConflict = written.error.code === ResultCodes.codes.storeConflict;
    if (isConflict && lost === undefined) return written;
    if (!isConflict && !isLost(written.error)) return written;
    if (!isConflict) lost = written.error;
    const found = await platform.get(key);
    if (found.isErr()) continue;
    const version = found.value?.version ?? 0;
    const isOwn = found.value !== undefined &&
      hasWriteId(found.value.value, writeId);
    if (isOwn) return Ok(version);
    // A later write may have replaced this one, or come before it.
    if (version !== expectedRevision) break;
  }
  return ResultCodes.fail("storeWriteUnknown", `${key}: ${lost?.detail ?? ""}`);
}

function isLost(err: ResultCodes.Failure): boolean {
  return err.code === ResultCodes.codes.storeUnreachable ||
    err.code === ResultCodes.codes.storeWriteUnknown;
}

function hasWriteId(value: string, writeId: string): boolean {
  const parsed = tryParse(value);
  return Json.isObject(parsed) && parsed["writeId"] === writeId;
}
