/** Definitions that the modules for `once` routes share. */
import type * as Contracts from "../contracts.ts";
import * as Respond from "../forward/respond.ts";
import type * as Attempt from "./attempt.ts";
import type * as Context from "./context.ts";

/** Header that carries the caller's ticket. */
export const TICKET_HEADER = "idempotency-key";

/** A ticket with a valid MAC that belongs to the caller's account and the route's service. */
export type VerifiedTicket = Contracts.Ticket & { readonly isExpired: boolean };

/** Rejects the request with a code and an outcome; the arguments are those of `createRejection`. */
export function rejectWithCode(
  ctx: Context.Context,
  ...args: Parameters<typeof Respond.createRejection>
): Attempt.RunResult {
  return sendRejection(ctx, Respond.createRejection(...args));
}

/** Writes a rejection as the response. */
export function sendRejection(
  ctx: Context.Context,
  rejection: Respond.Rejection,
): Attempt.RunResult {
  Respond.sendRejection(ctx.res, rejection, ctx.id);
  return { kind: "rejected", rejection };
}
