/** Validates the platform's responses and converts them to results. */
import { type Err, Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as Exchange from "./exchange.ts";

type StoreResponse = Extract<Exchange.CallOutcome, { kind: "answered" }>;

/** A store entry and the id of the write that created its current version. */
export interface WrittenEntry {
  readonly entry: Contracts.StoreEntry;
  readonly writeId: string | undefined;
}

/** True for a version or revision: a non-negative safe integer. */
export function isVersion(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

/** Parses an entry; undefined when malformed. */
export function tryParseEntry(raw: unknown): WrittenEntry | undefined {
  if (!Json.isObject(raw)) return undefined;
  const { key, value, version, writeId } = raw;
  if (typeof key !== "string" || typeof value !== "string") return undefined;
  if (!isVersion(version)) return undefined;
  const id = typeof writeId === "string" ? writeId : undefined;
  return { entry: { key, value, version }, writeId: id };
}

/** Parses a list of entries; undefined when any of them is malformed. */
export function tryParseEntries(
  value: unknown,
): readonly Contracts.StoreEntry[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const entries = value.flatMap((item) => tryParseEntry(item)?.entry ?? []);
  return entries.length === value.length ? entries : undefined;
}

/** Parses the instance list and skips malformed registrations; undefined when it is not a list. */
export function tryParseInstances(
  value: unknown,
): readonly Types.PlatformInstance[] | undefined {
  if (!Array.isArray(value)) return undefined;
  return value.flatMap((item) => tryParseInstance(item) ?? []);
}

function tryParseInstance(value: unknown): Types.PlatformInstance | undefined {
  if (!Json.isObject(value)) return undefined;
  const { id, service, domain, region, address, slots, state } = value;
  const strings = [id, service, domain, region, address];
  if (!strings.every((field) => typeof field === "string")) return undefined;
  if (!isVersion(slots)) return undefined;
  if (state !== "live" && state !== "leaving") return undefined;
  const instance = { id, service, domain, region, address, slots, state };
  return instance as Types.PlatformInstance;
}

/** Version and write id of the current record, from a conflict response; undefined when absent. */
export function tryGetConflictingWrite(
  response: StoreResponse,
): { readonly version: number; readonly writeId: string } | undefined {
  const { error } = response.body;
  const current = Json.isObject(error) ? error["current"] : undefined;
  if (!Json.isObject(current)) return undefined;
  const { version, writeId } = current;
  if (!isVersion(version) || typeof writeId !== "string") return undefined;
  return { version, writeId };
}

/**
 * True when the platform reports that a key does not exist. Status 404 alone is
 * not enough, because any other HTTP server at the address returns it, too.
 */
export function isAbsent(outcome: Exchange.CallOutcome): boolean {
  if (outcome.kind !== "answered" || outcome.status !== 404) return false;
  const { error } = outcome.body;
  return Json.isObject(error) && error["code"] === "absent";
}

/** Converts a rejection by the platform to a failure. */
export function toFailure(response: StoreResponse): Err<ResultCodes.Failure> {
  switch (response.status) {
    case 409:
      return ResultCodes.fail("storeConflict");
    case 410:
      return ResultCodes.fail("leaseLapsed");
    case 413:
      return ResultCodes.fail("valueTooLarge");
    default: {
      const { error } = response.body;
      const message = Json.isObject(error) ? error["message"] : undefined;
      const detail = `status ${response.status}: ${message ?? ""}`;
      return ResultCodes.fail("storeError", detail);
    }
  }
}

/**
 * Returns what `parseBody` finds in the body of a 200 response. storeUnreachable
 * without a response, storeError when `parseBody` returns undefined.
 */
export function toResult<T>(
  outcome: Exchange.CallOutcome,
  parseBody: (body: Json.JsonObject) => T | undefined,
): Result<T, ResultCodes.Failure> {
  if (outcome.kind !== "answered") {
    return ResultCodes.fail("storeUnreachable", outcome.detail);
  }
  if (outcome.status !== 200) return toFailure(outcome);
  const value = parseBody(outcome.body);
  return value === undefined
    ? ResultCodes.fail("storeError", "malformed answer")
    : Ok(value);
}
