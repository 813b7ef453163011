/** A call to the stand-in, and what checking it needs. */
import type * as Json from "../../src/json.ts";
import * as HttpJson from "../http_json.ts";
import type * as Instances from "./instances.ts";
import type * as Store from "./store.ts";

/** Longest key and instance id. */
export const MAX_KEY_CHARS = 512;
/** Shortest period of a lease or registration. */
export const MIN_TTL_MS = 50;
/** Longest period of a lease or registration. */
export const MAX_TTL_MS = 600_000;

/** One checked call. */
export interface Operation {
  readonly name: string;
  /** Key that a write goes to; empty for others. */
  readonly key: string;
  /** Carries it out; `signal` aborts when the caller has gone. */
  run(signal: AbortSignal): HttpJson.JsonAnswer | Promise<HttpJson.JsonAnswer>;
}

/** What the operations work on. */
export interface Services {
  readonly store: Store.Store;
  readonly instances: Instances.InstanceList;
}

/** A call as it came in. */
export interface Call {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: Json.JsonObject;
}

/** A checked call, or the answer that refuses it. */
export type Parsed = Operation | HttpJson.JsonAnswer;

/** True when the call was refused. */
export function isRefused(parsed: Parsed): parsed is HttpJson.JsonAnswer {
  return "status" in parsed;
}

/** A 200 answer. */
export function ok(body: Json.JsonObject): HttpJson.JsonAnswer {
  return { status: 200, body };
}

/** True for a text that is neither empty nor too long. */
export function isText(value: unknown, maxChars: number): value is string {
  return typeof value === "string" && value.length > 0 &&
    value.length <= maxChars;
}

/** True for an integer within the bounds. */
export function isInteger(
  value: unknown,
  min: number,
  max: number,
): value is number {
  return Number.isInteger(value) && Number(value) >= min &&
    Number(value) <= max;
}

/** Reads an integer of a query; undefined when it is missing or out of bounds. */
export function tryInteger(
  text: string | null,
  min: number,
  max: number,
): number | undefined {
  if (text === null || !/^\d{1,16}$/.test(text)) return undefined;
  const value = Number(text);
  return isInteger(value, min, max) ? value : undefined;
}

/** The answer to a method that a path does not have. */
export function wrongMethod(): HttpJson.JsonAnswer {
  return HttpJson.refuse(405, "malformed", "method");
}
