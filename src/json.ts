/** JSON objects from outside, whose content is not checked yet. */

/** A JSON object of unchecked content. */
export type JsonObject = { readonly [key: string]: unknown };

/** True for a JSON object; arrays are none. */
export function isObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Parses a JSON object; undefined when the text is anything else. */
export function tryParseObject(text: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}
