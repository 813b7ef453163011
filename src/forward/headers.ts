/**
 * Header filter in both directions. Promise: the caller's key and hop-by-hop
 * headers never reach a target, and a target can't forge the system's headers.
 */

/** Raw headers as pairs, order and repetition kept. */
export type HeaderPairs = readonly (readonly [string, string])[];

/** Headers that concern one connection only. */
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

/** `host` is set for the target, `expect` was answered by this instance, the length is set by the body's framing. */
const REPLACED_IN_REQUEST: ReadonlySet<string> = new Set([
  "host",
  "expect",
  "content-length",
]);

const OWN_PREFIX = "anvilroute-";
const TARGET_PREFIX = "target-";

/** Pairs of Node's flat raw header list. */
export function toPairs(raw: readonly string[]): HeaderPairs {
  const pairs: [string, string][] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    pairs.push([raw[i] ?? "", raw[i + 1] ?? ""]);
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
 * Headers that a target may see. A header that contains the key, or for which
 * `hasKnownKey` holds, is dropped whatever its name, because callers put keys in
 * odd places.
 */
export function filterRequestHeaders(
  pairs: HeaderPairs,
  key: string | undefined,
  hasKnownKey: (text: string) => boolean = () => false,
): HeaderPairs {
  const tokens = getConnectionTokens(pairs);
  return pairs.filter(([name, value]) => {
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || tokens.has(lower)) return false;
    if (REPLACED_IN_REQUEST.has(lower) || lower.startsWith(OWN_PREFIX)) {
      return false;
    }
    return [name, value]
      .every((text) => !containsKey(text, key) && !hasKnownKey(text));
  });
}

/** True when the text carries the key, percent-encoded or not. */
export function containsKey(text: string, key: string | undefined): boolean {
  if (key === undefined || key === "") return false;
  return text.includes(key) || tryDecode(text).includes(key);
}

function tryDecode(text: string): string {
  try {
    return text.includes("%") ? decodeURIComponent(text) : text;
  } catch {
    return text;
  }
}

/** Headers of a target's answer that the caller may see. */
export function filterResponseHeaders(pairs: HeaderPairs): HeaderPairs {
  const tokens = getConnectionTokens(pairs);
  return pairs.filter(([name]) => {
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || tokens.has(lower)) return false;
    return !lower.startsWith(OWN_PREFIX) && !lower.startsWith(TARGET_PREFIX);
  });
}

/** First value of a header. */
export function tryGetHeader(
  pairs: HeaderPairs,
  name: string,
): string | undefined {
  return pairs.find(([one]) => one.toLowerCase() === name)?.[1];
}
