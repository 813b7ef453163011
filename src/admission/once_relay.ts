/**
 * A request on a `once` route at any other instance: sent to the owner of its
 * ticket, whose answer is passed back. This instance never runs it.
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

/** Address of the instance that answers for a ticket's issuer; undefined when it can't be reached. */
async function tryFindOwnerAddress(
  deps: Context.Deps,
  ticket: Shared.VerifiedTicket,
): Promise<string | undefined> {
  const { issuer, incarnation } = ticket;
  const member = deps.peers.tryGetMember(issuer);
  const isSameRun = member?.heartbeat.incarnation === incarnation;
  if (member !== undefined && isSameRun && member.isReachable) {
    const moved = deps.ledger.tryGetOwner(issuer, incarnation);
    if (moved === undefined) return member.heartbeat.callerAddress;
  }
  const owner = deps.ledger.tryGetOwner(issuer, incarnation) ??
    await deps.ledger.findOwner(issuer, incarnation);
  if (owner === undefined) return undefined;
  const adopted = deps.peers.tryGetMember(owner);
  return adopted?.isReachable ? adopted.heartbeat.callerAddress : undefined;
}

/** Sends the request to the ticket's owner. Sending twice is safe: the owner's ledger tells them apart. */
export async function passOn(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: Shared.VerifiedTicket,
): Promise<Attempt.RunResult> {
  if (ctx.body.kind === "stream") {
    return Shared.refuse(ctx, "bodyTooLarge", "not-run");
  }
  for (let attempt = 1; attempt <= RELAY_ATTEMPTS; attempt++) {
    const address = await tryFindOwnerAddress(deps, ticket);
    if (address !== undefined && !ctx.signal.aborted) {
      const passed = await tryPassTo(deps, ctx, address);
      if (passed !== undefined) return passed;
    }
    if (attempt < RELAY_ATTEMPTS) await delay(RELAY_BACKOFF_MS);
  }
  return Shared.refuse(ctx, "issuerUnreachable", "unknown");
}

async function tryPassTo(
  deps: Context.Deps,
  ctx: Context.Context,
  address: string,
): Promise<Attempt.RunResult | undefined> {
  const path = ctx.req.url ?? "";
  const { account, digest = "" } = ctx.caller;
  const claim = deps.relay.sign({ account, digest }, ctx.method, path);
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
        [Relay.RELAY_HEADER, claim],
        ["anvilroute-deadline-ms", String(remainingMs)],
      ],
      body: ctx.body,
    },
    sink,
    ctx.signal,
  );
  return finishPassOn(ctx, result);
}

function finishPassOn(
  ctx: Context.Context,
  result: Awaited<ReturnType<Context.Deps["exchanger"]["exchange"]>>,
): Attempt.RunResult | undefined {
  switch (result.kind) {
    case "answer":
      return finishRelayed(ctx, result.answer, result.rawHeaders);
    case "streamed":
      ctx.res.end();
      return { kind: "streamed", status: result.status };
    case "not-sent":
      return undefined;
    case "broke":
      if (!result.isStarted) return undefined;
      ctx.res.destroy();
      return { kind: "cut" };
    default:
      return Debug.assertNever(result);
  }
}

const OWN_ANSWER_HEADERS: ReadonlySet<string> = new Set([
  "anvilroute-code",
  "anvilroute-outcome",
  "anvilroute-replay",
]);

/** The owner's answer keeps the system's own headers, which a target's answer would lose. */
function finishRelayed(
  ctx: Context.Context,
  answer: Contracts.StoredResponse,
  rawHeaders: Headers.HeaderPairs,
): Attempt.RunResult {
  const own = rawHeaders
    .filter(([name]) => OWN_ANSWER_HEADERS.has(name.toLowerCase()));
  const relayed = { ...answer, headers: [...answer.headers, ...own] };
  Respond.sendResponse(ctx.res, relayed, ctx.id, false);
  return { kind: "answer", answer: relayed };
}
