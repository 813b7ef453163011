/**
 * Fingerprints of requests. Equal requests of an account have the same one at all
 * instances, so that reports about them can be compared. It has a fixed length,
 * whatever a caller sends: instances keep thousands of fingerprints and exchange them.
 */
import * as Crypto from "node:crypto";

/** Length of every fingerprint, in characters: a SHA-256 digest in base64url. */
export const FINGERPRINT_LENGTH = 43;

/**
 * Returns the fingerprint of a request with these fields, in this order; undefined
 * and an empty string differ. `body` is the body, or the part of it that is known.
 */
export function createFingerprint(
  fields: readonly (string | undefined)[],
  body: Buffer | undefined,
): string {
  const hash = Crypto.createHash("sha256");
  // JSON delimits the fields, so that no text of a caller moves from one to the next.
  hash.update(JSON.stringify(fields.map((field) => field ?? null)));
  if (body !== undefined) hash.update(body);
  return hash.digest("base64url");
}
