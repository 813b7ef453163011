/**
 * Signed header of requests that an entry instance forwards to the instance that
 * owns the ticket. The caller's key is not forwarded: the header contains account
 * and key digest, is signed with a key derived from the peers' secret, and is
 * valid for `MAX_AGE_MS`.
 */
import * as Crypto from "node:crypto";
import type * as Clock from "../clock.ts";

/** Header between entry instances; dropped if a caller sends it without a valid signature. */
export const RELAY_HEADER = "anvilroute-relay";

const VERSION = "v1";
/** Covers the offset between two instances' wall clocks and the network latency. */
const MAX_AGE_MS = 10_000;

/** The caller's account and key digest, as checked by the instance that received the request. */
export interface RelayIdentity {
  readonly account: string;
  readonly digest: string;
}

/** Signs and verifies relay headers. */
export interface RelaySigner {
  sign(identity: RelayIdentity, method: string, path: string): string;
  /** Undefined if the header is malformed, forged, expired, or signed for another method or path. */
  tryVerify(
    header: string,
    method: string,
    path: string,
  ): RelayIdentity | undefined;
}

/** Creates a signer from the peers' secret. */
export function createRelaySigner(
  secret: string,
  clock: Clock.Clock,
): RelaySigner {
  const macKey = Crypto.createHmac("sha256", secret)
    .update("anvilroute relay v1").digest();

  function computeMac(payload: string, method: string, path: string): string {
    return Crypto.createHmac("sha256", macKey)
      .update(`${payload}\n${method}\n${path}`).digest("base64url");
  }

  return {
    sign(identity, method, path) {
      const payload = [
        VERSION,
        identity.account,
        identity.digest,
        clock.wallMs().toString(36),
      ].join(".");
      return `${payload}.${computeMac(payload, method, path)}`;
    },
    tryVerify(header, method, path) {
      const fields = header.split(".");
      const [version, account, digest, sentAt, mac] = fields;
      if (fields.length !== 5 || version !== VERSION) return undefined;
      if (!account || !digest || !sentAt || !mac) return undefined;
      const payload = fields.slice(0, 4).join(".");
      const expectedMac = Buffer.from(computeMac(payload, method, path));
      const givenMac = Buffer.from(mac);
      const isMacValid = givenMac.length === expectedMac.length &&
        Crypto.timingSafeEqual(givenMac, expectedMac);
      const ageMs = Math.abs(clock.wallMs() - parseInt(sentAt, 36));
      return isMacValid && ageMs <= MAX_AGE_MS
        ? { account, digest }
        : undefined;
    },
  };
}
