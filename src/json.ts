/** JSON objects received from other processes, whose content has not been checked. */

/** A JSON object whose content has not been checked. */
export type JsonObject = { readonly [key: string]: unknown };

/** True for a JSON object; false for arrays and null. */
export function isObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Parses a JSON object; undefined when the input is malformed or another JSON value. */
export function tryParseObject(json: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(json);
    return isObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}
