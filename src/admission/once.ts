/**
 * Requests on `once` routes. Promise: at-most-once execution. The ticket names
 * the one instance that may run the request; any other instance passes it on.
 * When the owner cannot be reached the caller learns `unknown`, and nobody
 * else runs it.
 */
import { setTimeout as delay } from "node:timers/promises";
import * as Headers from "../forward/headers.ts";
import type * as Types from "../types.ts";
import type * as Attempt from "./attempt.ts";
import type * as Context from "./context.ts";
import * as OnceRelay from "./once_relay.ts";
import * as OnceRun from "./once_run.ts";
import * as Shared from "./once_shared.ts";

const HAND_OVER_POLL_MS = 20;

/**
 * Outcome of a request that is refused before the ledger is asked. A ticket
 * that was sent before may have run, and only its owner knows.
 */
export function getEarlyOutcome(
  deps: Context.Deps,
  pairs: Headers.HeaderPairs,
): Types.Outcome {
  const text = Headers.tryGetHeader(pairs, Shared.TICKET_HEADER);
  const ticket = text === undefined ? undefined : deps.tickets.read(text);
  if (ticket === undefined || ticket.isErr()) return "not-run";
  return deps.ledger.mayHaveRun(ticket.value) ? "unknown" : "not-run";
}

/** Serves a request of a `once` route and writes the answer. */
export async function serveOnce(
  deps: Context.Deps,
  ctx: Context.Context,
): Promise<Attempt.RunResult> {
  const text = Headers.tryGetHeader(ctx.headers, Shared.TICKET_HEADER);
  if (text === undefined) return Shared.refuse(ctx, "ticketMissing", "not-run");
  const verified = deps.tickets.verify(
    text,
    ctx.caller.account,
    ctx.route.service,
  );
  if (verified.isErr()) {
    return Shared.finishRefused(ctx, {
      failure: verified.error,
      outcome: "not-run",
    });
  }
  const ticket = verified.value;
  await waitForHandOver(deps, ctx, ticket);
  if (deps.ledger.isOwner(ticket.issuer, ticket.incarnation)) {
    return await OnceRun.serveAsOwner(deps, ctx, ticket);
  }
  // A relayed request goes on only to an instance that is known to have taken the
  // ledger: handovers lead to later owners, so the way never returns here.
  const { issuer, incarnation } = ticket;
  const isMoved = deps.ledger.tryGetOwner(issuer, incarnation) !== undefined;
  if (ctx.caller.isRelayed && !isMoved) {
    return Shared.refuse(ctx, "issuerUnreachable", "unknown");
  }
  return await OnceRelay.passOn(deps, ctx, ticket);
}

/** While the ledger is on its way to a peer, new requests wait for the peer to own it. */
async function waitForHandOver(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: Shared.VerifiedTicket,
): Promise<void> {
  const { issuer, incarnation } = ticket;
  while (
    deps.ledger.isTransferring() && !ctx.signal.aborted &&
    deps.ledger.isOwner(issuer, incarnation)
  ) {
    await delay(HAND_OVER_POLL_MS);
  }
}
