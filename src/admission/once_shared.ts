/** What the steps of a request on a `once` route share. */
import type * as Contracts from "../contracts.ts";
import * as Respond from "../forward/respond.ts";
import type * as Attempt from "./attempt.ts";
import type * as Context from "./context.ts";

/** Header in which the caller sends its ticket. */
export const TICKET_HEADER = "idempotency-key";

/** A ticket with a good MAC, of the caller's account and the route's service. */
export type VerifiedTicket = Contracts.Ticket & { readonly isExpired: boolean };

/** Writes a refusal with a code and an outcome. */
export function refuse(
  ctx: Context.Context,
  ...args: Parameters<typeof Respond.createRejection>
): Attempt.RunResult {
  return finishRefused(ctx, Respond.createRejection(...args));
}

/** Writes a refusal. */
export function finishRefused(
  ctx: Context.Context,
  refusal: Respond.Rejection,
): Attempt.RunResult {
  Respond.sendRejection(ctx.res, refusal, ctx.id);
  return { kind: "refused", refusal };
}
