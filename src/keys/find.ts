/**
 * Finds known keys in text that is forwarded to a target. A caller with several
 * keys may send one in the wrong part of a request: a second header, a cookie,
 * basic authentication or the path.
 */

/** Issued keys are longer than this, so shorter words are not hashed. */
const MIN_KEY_CHARS = 16;
const SEPARATOR_PATTERN = /[\s,;:"'<>(){}[\]&?/=@|\\]+/;
const BASIC_PATTERN = /^\s*basic\s+(\S+)\s*$/i;

function tryDecodeUri(text: string): string | undefined {
  try {
    return text.includes("%") ? decodeURIComponent(text) : undefined;
  } catch {
    return undefined;
  }
}

/** The text itself, and its percent-decoded and basic-credentials forms where it has them. */
function getDecodings(text: string): readonly string[] {
  const decoded = tryDecodeUri(text);
  const [, credentials] = BASIC_PATTERN.exec(text) ?? [];
  const basic = credentials === undefined
    ? undefined
    : Buffer.from(credentials, "base64").toString("utf8");
  return [text, decoded, basic].filter((item) => item !== undefined);
}

/** True when a word of the text, plain, percent-encoded or as basic credentials, is a known key. */
export function hasKnownKey(
  text: string,
  isKnownKey: (word: string) => boolean,
): boolean {
  if (text.length < MIN_KEY_CHARS) return false;
  return getDecodings(text)
    .flatMap((decoding) => decoding.split(SEPARATOR_PATTERN))
    .some((word) => word.length >= MIN_KEY_CHARS && isKnownKey(word));
}
