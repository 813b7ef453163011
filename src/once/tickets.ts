/**
 * Tickets for routes with at-most-once execution. A ticket names the only
 * instance that may run its request, so no consensus is needed. Guarantee: a
 * ticket that verifies was issued by an instance that knows the peers' secret,
 * for this account and service.
 */
import * as Crypto from "node:crypto";
import { Ok } from "ts-results-es";
import type * as Clock from "../clock.ts";
import type * as Contracts from "../contracts.ts";
import * as ResultCodes from "../result_codes.ts";

const VERSION = "v1";
const FIELD_COUNT = 8;
const NONCE_BYTES = 12;
const MAC_CHARS = 32;
const MAX_TICKET_CHARS = 512;

/** Options of `createTickets`. */
export interface TicketOptions {
  readonly self: string;
  readonly incarnation: string;
  readonly secret: string;
  readonly ttlMs: number;
  readonly clock: Clock.Clock;
}

/** Creates an issuer and verifier of tickets. */
export function createTickets(opts: TicketOptions): Contracts.Tickets {
  // A separate key, so that a MAC created for another purpose never verifies here.
  const macKey = Crypto.createHmac("sha256", opts.secret)
    .update("anvilroute ticket v1").digest();

  function computeMac(payload: string): string {
    return Crypto.createHmac("sha256", macKey).update(payload)
      .digest("base64url").slice(0, MAC_CHARS);
  }

  function createTicketText(account: string, service: string): string {
    const expiresAt = Math.round(opts.clock.wallMs() + opts.ttlMs).toString(36);
    const nonce = Crypto.randomBytes(NONCE_BYTES).toString("base64url");
    const payload = [
      VERSION,
      opts.self,
      opts.incarnation,
      account,
      service,
      expiresAt,
      nonce,
    ].join(".");
    return `${payload}.${computeMac(payload)}`;
  }

  const tickets: Contracts.Tickets = {
    issue(account, service, count) {
      return Array.from(
        { length: count },
        () => createTicketText(account, service),
      );
    },
    read(ticketText) {
      const fields = ticketText.length > MAX_TICKET_CHARS
        ? []
        : ticketText.split(".");
      if (fields.length !== FIELD_COUNT || fields[0] !== VERSION) {
        return ResultCodes.fail("ticketInvalid", "malformed");
      }
      const payload = fields.slice(0, -1).join(".");
      if (!isEqualInConstantTime(fields.at(-1) ?? "", computeMac(payload))) {
        return ResultCodes.fail("ticketInvalid", "not issued here");
      }
      const [, issuer = "", incarnation = "", account = "", service = ""] =
        fields;
      const expiresAtMs = parseInt(fields[5] ?? "0", 36);
      return Ok({
        id: payload,
        issuer,
        incarnation,
        account,
        service,
        expiresAtMs,
        isExpired: expiresAtMs <= opts.clock.wallMs(),
      });
    },
    verify(ticketText, account, service) {
      return tickets.read(ticketText).andThen((ticket) =>
        ticket.account === account && ticket.service === service
          ? Ok(ticket)
          : ResultCodes.fail(
            "ticketInvalid",
            "issued for another account or service",
          )
      );
    },
  };
  return tickets;
}

function isEqualInConstantTime(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && Crypto.timingSafeEqual(left, right);
}
