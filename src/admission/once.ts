/**
 * Requests on `once` routes. Guarantee: at-most-once execution. The ticket names
 * the only instance that may run the request; every other instance relays the
 * request to that owner. When the owner is unreachable, the caller receives the
 * outcome `unknown` and no other instance runs the request.
 */
import { setTimeout as delay } from "node:timers/promises";
import * as Headers from "../forward/headers.ts";
import type * as Types from "../types.ts";
import type * as Attempt from "./attempt.ts";
import type * as Context from "./context.ts";
import * as OnceRelay from "./once_relay.ts";
import * as OnceRun from "./once_run.ts";
import * as Shared from "./once_shared.ts";

const HANDOVER_POLL_MS = 20;

/**
 * Returns the outcome of a request that is rejected before the ledger is
 * consulted. If its ticket was sent before, the earlier request may have run,
 * and only the owner of the ticket knows.
 */
export function getEarlyOutcome(
  deps: Context.Deps,
  pairs: Headers.HeaderPairs,
): Types.Outcome {
  const ticketHeader = Headers.tryGetHeader(pairs, Shared.TICKET_HEADER);
  const ticket = ticketHeader === undefined
    ? undefined
    : deps.tickets.read(ticketHeader);
  if (ticket === undefined || ticket.isErr()) return "not-run";
  return deps.ledger.mayHaveRun(ticket.value) ? "unknown" : "not-run";
}

/** Serves a request on a `once` route and writes the response. */
export async function serveOnce(
  deps: Context.Deps,
  ctx: Context.Context,
): Promise<Attempt.RunResult> {
  const ticketHeader = Headers.tryGetHeader(ctx.headers, Shared.TICKET_HEADER);
  if (ticketHeader === undefined) {
    return Shared.rejectWithCode(ctx, "ticketMissing", "not-run");
  }
  const verified = deps.tickets.verify(
    ticketHeader,
    ctx.caller.account,
    ctx.route.service,
  );
  if (verified.isErr()) {
    return Shared.sendRejection(ctx, {
      failure: verified.error,
      outcome: "not-run",
    });
  }
  const ticket = verified.value;
  await waitForHandover(deps, ctx, ticket);
  if (deps.ledger.isOwner(ticket.issuer, ticket.incarnation)) {
    return await OnceRun.serveAsOwner(deps, ctx, ticket);
  }
  // A relayed request is relayed again only to an instance that is known to have
  // taken over the ledger. Handovers lead only to later owners, so there is no loop.
  const { issuer, incarnation } = ticket;
  const isTransferred =
    deps.ledger.tryGetOwner(issuer, incarnation) !== undefined;
  if (ctx.caller.isRelayed && !isTransferred) {
    return Shared.rejectWithCode(ctx, "issuerUnreachable", "unknown");
  }
  return await OnceRelay.relayToOwner(deps, ctx, ticket);
}

/** Delays new requests while the ledger is being transferred, until the receiving peer owns it. */
async function waitForHandover(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: Shared.VerifiedTicket,
): Promise<void> {
  const { issuer, incarnation } = ticket;
  while (
    deps.ledger.isTransferring() && !ctx.signal.aborted &&
    deps.ledger.isOwner(issuer, incarnation)
  ) {
    await delay(HANDOVER_POLL_MS);
  }
}
