/**
 * Header filters for requests and responses. Guarantee: the caller's key and
 * hop-by-hop headers never reach a target, and a target can't forge the headers
 * that anvilroute sets.
 */

/** Names and values of headers, in their original order and with repetitions. */
export type HeaderPairs = readonly (readonly [string, string])[];

/** Headers that apply to one connection only. */
export const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "http2-settings",
]);

/** Set anew for the target: `host` and the length. `expect` was already handled by this instance. */
const REPLACED_IN_REQUEST: ReadonlySet<string> = new Set([
  "host",
  "expect",
  "content-length",
]);

const ANVILROUTE_PREFIX = "anvilroute-";
const TARGET_PREFIX = "target-";

/** Converts Node's flat list of raw headers to pairs. */
export function toPairs(rawHeaders: readonly string[]): HeaderPairs {
  const pairs: [string, string][] = [];
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    pairs.push([rawHeaders[i] ?? "", rawHeaders[i + 1] ?? ""]);
  }
  return pairs;
}

function getConnectionTokens(pairs: HeaderPairs): ReadonlySet<string> {
  const tokens = new Set<string>();
  for (const [name, value] of pairs) {
    if (name.toLowerCase() !== "connection") continue;
    for (const token of value.split(",")) {
      tokens.add(token.trim().toLowerCase());
    }
  }
  return tokens;
}

/**
 * Returns the headers that are sent to a target. A header whose name or value
 * contains `key`, or any key that `containsKnownKey` recognizes, is dropped, because
 * callers put keys into unrelated headers.
 */
export function filterRequestHeaders(
  pairs: HeaderPairs,
  key: string | undefined,
  containsKnownKey: (value: string) => boolean = () => false,
): HeaderPairs {
  const tokens = getConnectionTokens(pairs);
  return pairs.filter(([name, value]) => {
    const lowerName = name.toLowerCase();
    if (HOP_BY_HOP.has(lowerName) || tokens.has(lowerName)) return false;
    if (
      REPLACED_IN_REQUEST.has(lowerName) ||
      lowerName.startsWith(ANVILROUTE_PREFIX)
    ) {
      return false;
    }
    return [name, value]
      .every((headerText) =>
        !containsKey(headerText, key) && !containsKnownKey(headerText)
      );
  });
}

/** True when the value contains the key, percent-encoded or not. */
export function containsKey(value: string, key: string | undefined): boolean {
  if (key === undefined || key === "") return false;
  return value.includes(key) || decodeIfValid(value).includes(key);
}

function decodeIfValid(value: string): string {
  try {
    return value.includes("%") ? decodeURIComponent(value) : value;
  } catch {
    return value;
  }
}

/** Returns the headers of a target's response that are sent to the caller. */
export function filterResponseHeaders(pairs: HeaderPairs): HeaderPairs {
  const tokens = getConnectionTokens(pairs);
  return pairs.filter(([name]) => {
    const lowerName = name.toLowerCase();
    if (HOP_BY_HOP.has(lowerName) || tokens.has(lowerName)) return false;
    return !lowerName.startsWith(ANVILROUTE_PREFIX) &&
      !lowerName.startsWith(TARGET_PREFIX);
  });
}

/** Returns the first value of a header; `name` is in lower case. */
export function tryGetHeader(
  pairs: HeaderPairs,
  name: string,
): string | undefined {
  return pairs.find(([headerName]) => headerName.toLowerCase() === name)?.[1];
}
