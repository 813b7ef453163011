/** Checks the content of the platform's answers. */
import { type Err, Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as Json from "../json.ts";
import * as ResultCodes from "../result_codes.ts";
import type * as Types from "../types.ts";
import type * as Exchange from "./exchange.ts";

type Answer = Extract<Exchange.Reply, { kind: "answered" }>;

/** A stored record and the id of the write that made it. */
export interface WrittenEntry {
  readonly entry: Contracts.StoreEntry;
  readonly writeId: string | undefined;
}

/** True for a version or revision: an integer that is not negative. */
export function isVersion(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

/** Reads an entry; undefined when it is not one. */
export function tryEntry(value: unknown): WrittenEntry | undefined {
  if (!Json.isObject(value)) return undefined;
  const { key, value: text, version, writeId } = value;
  if (typeof key !== "string" || typeof text !== "string") return undefined;
  if (!isVersion(version)) return undefined;
  const id = typeof writeId === "string" ? writeId : undefined;
  return { entry: { key, value: text, version }, writeId: id };
}

/** Reads a list of entries; undefined when one of them is not an entry. */
export function tryEntries(
  value: unknown,
): readonly Contracts.StoreEntry[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const found = value.flatMap((one) => tryEntry(one)?.entry ?? []);
  return found.length === value.length ? found : undefined;
}

/** Reads the instance list, without the instances whose registration is malformed. */
export function tryInstances(
  value: unknown,
): readonly Types.PlatformInstance[] | undefined {
  if (!Array.isArray(value)) return undefined;
  return value.flatMap((one) => tryInstance(one) ?? []);
}

function tryInstance(value: unknown): Types.PlatformInstance | undefined {
  if (!Json.isObject(value)) return undefined;
  const { id, service, domain, region, address, slots, state } = value;
  const texts = [id, service, domain, region, address];
  if (!texts.every((text) => typeof text === "string")) return undefined;
  if (!isVersion(slots)) return undefined;
  if (state !== "live" && state !== "leaving") return undefined;
  const checked = { id, service, domain, region, address, slots, state };
  return checked as Types.PlatformInstance;
}

/** The write id of the record that a conflict names. */
export function tryConflictingWrite(
  answer: Answer,
): { readonly version: number; readonly writeId: string } | undefined {
  const { error } = answer.body;
  const current = Json.isObject(error) ? error["current"] : undefined;
  if (!Json.isObject(current)) return undefined;
  const { version, writeId } = current;
  if (!isVersion(version) || typeof writeId !== "string") return undefined;
  return { version, writeId };
}

/**
 * True when the platform says that a key does not exist. The status alone is
 * not enough: any other HTTP server answers 404, too.
 */
export function isAbsent(reply: Exchange.Reply): boolean {
  if (reply.kind !== "answered" || reply.status !== 404) return false;
  const { error } = reply.body;
  return Json.isObject(error) && error["code"] === "absent";
}

/** The failure that a refusing answer stands for. */
export function toFailure(answer: Answer): Err<ResultCodes.Failure> {
  switch (answer.status) {
    case 409:
      return ResultCodes.fail("storeConflict");
    case 410:
      return ResultCodes.fail("leaseLapsed");
    case 413:
      return ResultCodes.fail("valueTooLarge");
    default: {
      const { error } = answer.body;
      const message = Json.isObject(error) ? error["message"] : undefined;
      const detail = `status ${answer.status}: ${message ?? ""}`;
      return ResultCodes.fail("storeError", detail);
    }
  }
}

/** Turns a reply into a value that `read` finds in the body of a 200 answer. */
export function toResult<T>(
  reply: Exchange.Reply,
  read: (body: Json.JsonObject) => T | undefined,
): Result<T, ResultCodes.Failure> {
  if (reply.kind !== "answered") {
    return ResultCodes.fail("storeUnreachable", reply.detail);
  }
  if (reply.status !== 200) return toFailure(reply);
  const value = read(reply.body);
  return value === undefined
    ? ResultCodes.fail("storeError", "malformed answer")
    : Ok(value);
}
