/**
 * Finds known keys in text that would go to a target. A caller with several
 * keys may send one of them where it does not belong: a second header, a cookie,
 * basic authentication, the path.
 */

/** Issued keys are longer; shorter words are not worth a digest. */
const MIN_KEY_CHARS = 16;
const SEPARATORS = /[\s,;:"'<>(){}[\]&?/=@|\\]+/;
const BASIC = /^\s*basic\s+(\S+)\s*$/i;

function tryDecodeUri(text: string): string | undefined {
  try {
    return text.includes("%") ? decodeURIComponent(text) : undefined;
  } catch {
    return undefined;
  }
}

/** The text and what it decodes to. */
function getReadings(text: string): readonly string[] {
  const decoded = tryDecodeUri(text);
  const [, credentials] = BASIC.exec(text) ?? [];
  const basic = credentials === undefined
    ? undefined
    : Buffer.from(credentials, "base64").toString("utf8");
  return [text, decoded, basic].filter((one) => one !== undefined);
}

/** True when a word of the text, plain, percent-encoded or as basic credentials, is a known key. */
export function hasKnownKey(
  text: string,
  isKnownKey: (text: string) => boolean,
): boolean {
  if (text.length < MIN_KEY_CHARS) return false;
  return getReadings(text)
    .flatMap((reading) => reading.split(SEPARATORS))
    .some((word) => word.length >= MIN_KEY_CHARS && isKnownKey(word));
}
