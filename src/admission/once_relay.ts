/**
 * Handles a request on a `once` route at an instance that does not own its
 * ticket: relays it to the owner and returns the owner's response. This instance
 * never runs the request.
 */
import { setTimeout as delay } from "node:timers/promises";
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import type * as Headers from "../forward/headers.ts";
import * as Respond from "../forward/respond.ts";
import * as Relay from "../once/relay.ts";
import type * as Attempt from "./attempt.ts";
import * as Context from "./context.ts";
import * as Shared from "./once_shared.ts";

const RELAY_ATTEMPTS = 2;
const RELAY_BACKOFF_MS = 50;

/** Returns the address of the instance that owns the ledger of the ticket's issuer; undefined when it is unreachable. */
async function tryFindOwnerAddress(
  deps: Context.Deps,
  ticket: Shared.VerifiedTicket,
): Promise<string | undefined> {
  const { issuer, incarnation } = ticket;
  const member = deps.peers.tryGetMember(issuer);
  const isSameIncarnation = member?.heartbeat.incarnation === incarnation;
  if (member !== undefined && isSameIncarnation && member.isReachable) {
    const transferredTo = deps.ledger.tryGetOwner(issuer, incarnation);
    if (transferredTo === undefined) return member.heartbeat.callerAddress;
  }
  const owner = deps.ledger.tryGetOwner(issuer, incarnation) ??
    await deps.ledger.findOwner(issuer, incarnation);
  if (owner === undefined) return undefined;
  const ownerMember = deps.peers.tryGetMember(owner);
  return ownerMember?.isReachable
    ? ownerMember.heartbeat.callerAddress
    : undefined;
}

/** Relays the request to the ticket's owner. Sending it twice is safe, because the owner's ledger runs a ticket only once. */
export async function relayToOwner(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: Shared.VerifiedTicket,
): Promise<Attempt.RunResult> {
  if (ctx.body.kind === "stream") {
    return Shared.rejectWithCode(ctx, "bodyTooLarge", "not-run");
  }
  for (let attempt = 1; attempt <= RELAY_ATTEMPTS; attempt++) {
    const address = await tryFindOwnerAddress(deps, ticket);
    if (address !== undefined && !ctx.signal.aborted) {
      const result = await tryRelayTo(deps, ctx, address);
      if (result !== undefined) return result;
    }
    if (attempt < RELAY_ATTEMPTS) await delay(RELAY_BACKOFF_MS);
  }
  return Shared.rejectWithCode(ctx, "issuerUnreachable", "unknown");
}

async function tryRelayTo(
  deps: Context.Deps,
  ctx: Context.Context,
  address: string,
): Promise<Attempt.RunResult | undefined> {
  const path = ctx.req.url ?? "";
  const { account, digest = "" } = ctx.caller;
  const relayHeader = deps.relay.sign({ account, digest }, ctx.method, path);
  const remainingMs = Math.floor(Context.getRemainingMs(ctx, deps.clock));
  const sink = Respond.createResponseSink(ctx.res, ctx.id);
  const result = await deps.exchanger.exchange(
    {
      address,
      method: ctx.method,
      path,
      headers: [
        ["host", address],
        ...ctx.headers,
        [Relay.RELAY_HEADER, relayHeader],
        ["anvilroute-deadline-ms", String(remainingMs)],
      ],
      body: ctx.body,
    },
    sink,
    ctx.signal,
  );
  return finishRelay(ctx, result);
}

function finishRelay(
  ctx: Context.Context,
  result: Awaited<ReturnType<Context.Deps["exchanger"]["exchange"]>>,
): Attempt.RunResult | undefined {
  switch (result.kind) {
    case "response":
      return sendRelayedResponse(ctx, result.response, result.rawHeaders);
    case "streamed":
      ctx.res.end();
      return { kind: "streamed", status: result.status };
    case "not-sent":
      return undefined;
    case "broke":
      if (!result.isResponseStarted) return undefined;
      ctx.res.destroy();
      return { kind: "truncated" };
    default:
      return Debug.assertNever(result);
  }
}

const SYSTEM_RESPONSE_HEADERS: ReadonlySet<string> = new Set([
  "anvilroute-code",
  "anvilroute-outcome",
  "anvilroute-replay",
]);

/** Sends the owner's response with its `anvilroute-` headers, which are removed from the response of a target. */
function sendRelayedResponse(
  ctx: Context.Context,
  response: Contracts.StoredResponse,
  rawHeaders: Headers.HeaderPairs,
): Attempt.RunResult {
  const systemHeaders = rawHeaders
    .filter(([name]) => SYSTEM_RESPONSE_HEADERS.has(name.toLowerCase()));
  const relayedResponse = {
    ...response,
    headers: [...response.headers, ...systemHeaders],
  };
  Respond.sendResponse(ctx.res, relayedResponse, ctx.id, false);
  return { kind: "response", response: relayedResponse };
}
