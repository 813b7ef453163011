/**
 * Requests that one entry instance passes to the instance that owns the ticket.
 * The caller's key stays behind: the header names account and key digest, is
 * signed with a key derived from the peers' secret, and is good for seconds.
 */
import * as Crypto from "node:crypto";
import type * as Clock from "../clock.ts";

/** Header between entry instances; dropped when a caller sends it unsigned. */
export const RELAY_HEADER = "anvilroute-relay";

const VERSION = "v1";
/** Covers the difference between two instances' wall clocks and the way. */
const MAX_AGE_MS = 10_000;

/** What the first instance found out about the caller. */
export interface RelayClaim {
  readonly account: string;
  readonly digest: string;
}

/** Signs and checks relay headers. */
export interface RelaySigner {
  sign(claim: RelayClaim, method: string, path: string): string;
  /** Undefined when forged, stale, or for another request. */
  tryVerify(
    text: string,
    method: string,
    path: string,
  ): RelayClaim | undefined;
}

/** Creates a signer from the peers' secret. */
export function createRelaySigner(
  secret: string,
  clock: Clock.Clock,
): RelaySigner {
  const macKey = Crypto.createHmac("sha256", secret)
    .update("anvilroute relay v1").digest();

  function getMac(payload: string, method: string, path: string): string {
    return Crypto.createHmac("sha256", macKey)
      .update(`${payload}\n${method}\n${path}`).digest("base64url");
  }

  return {
    sign(claim, method, path) {
      const payload = [
        VERSION,
        claim.account,
        claim.digest,
        clock.wallMs().toString(36),
      ].join(".");
      return `${payload}.${getMac(payload, method, path)}`;
    },
    tryVerify(text, method, path) {
      const fields = text.split(".");
      const [version, account, digest, sentAt, mac] = fields;
      if (fields.length !== 5 || version !== VERSION) return undefined;
      if (!account || !digest || !sentAt || !mac) return undefined;
      const payload = fields.slice(0, 4).join(".");
      const expected = Buffer.from(getMac(payload, method, path));
      const given = Buffer.from(mac);
      const isSame = given.length === expected.length &&
        Crypto.timingSafeEqual(given, expected);
      const age = Math.abs(clock.wallMs() - parseInt(sentAt, 36));
      return isSame && age <= MAX_AGE_MS ? { account, digest } : undefined;
    },
  };
}
