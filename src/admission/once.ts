/**
 * Requests on `once` routes. Promise: at-most-once execution. The ticket names
 * the one instance that may run the request; any other instance passes it on.
 * When the owner cannot be reached the caller learns `unknown`, and nobody
 * else runs it.
 */
import * as Crypto from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import * as Headers from "../forward/headers.ts";
import * as Respond from "../forward/respond.ts";
import * as Relay from "../once/relay.ts";
import type * as Types from "../types.ts";
import * as Account from "./account.ts";
import * as Context from "./context.ts";
import * as Run from "./run.ts";

const TICKET_HEADER = "idempotency-key";
/** The target may answer after the caller's deadline; a resend then gets that answer. */
const LATE_ANSWER_GRACE_MS = 10_000;
const HAND_OVER_POLL_MS = 20;
const RELAY_ATTEMPTS = 2;
const RELAY_BACKOFF_MS = 50;

type VerifiedTicket = Contracts.Ticket & { readonly isExpired: boolean };

/**
 * Outcome of a request that is refused before the ledger is asked. A ticket
 * that was sent before may have run, and only its owner knows.
 */
export function getEarlyOutcome(
  deps: Context.Deps,
  pairs: Headers.HeaderPairs,
): Types.Outcome {
  const text = Headers.tryGetHeader(pairs, TICKET_HEADER);
  const ticket = text === undefined ? undefined : deps.tickets.read(text);
  if (ticket === undefined || ticket.isErr()) return "not-run";
  return deps.ledger.mayHaveRun(ticket.value) ? "unknown" : "not-run";
}

/** Serves a request of a `once` route and writes the answer. */
export async function serveOnce(
  deps: Context.Deps,
  ctx: Context.Context,
): Promise<Run.RunResult> {
  const text = Headers.tryGetHeader(ctx.headers, TICKET_HEADER);
  if (text === undefined) return refuse(ctx, "ticketMissing", "not-run");
  const verified = deps.tickets.verify(
    text,
    ctx.caller.account,
    ctx.route.service,
  );
  if (verified.isErr()) {
    return finishRefused(ctx, { failure: verified.error, outcome: "not-run" });
  }
  const ticket = verified.value;
  await waitForHandOver(deps, ctx, ticket);
  if (deps.ledger.isOwner(ticket.issuer, ticket.incarnation)) {
    return await serveAsOwner(deps, ctx, ticket);
  }
  // A relayed request goes on only to an instance that is known to have taken the
  // ledger: hand-overs lead to later owners, so the way never returns here.
  const { issuer, incarnation } = ticket;
  const isMoved = deps.ledger.tryGetOwner(issuer, incarnation) !== undefined;
  if (ctx.caller.isRelayed && !isMoved) {
    return refuse(ctx, "issuerUnreachable", "unknown");
  }
  return await passOn(deps, ctx, ticket);
}

/** While the ledger is on its way to a peer, new requests wait for the peer to own it. */
async function waitForHandOver(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: VerifiedTicket,
): Promise<void> {
  const { issuer, incarnation } = ticket;
  while (
    deps.ledger.isHandingOver() && !ctx.signal.aborted &&
    deps.ledger.isOwner(issuer, incarnation)
  ) {
    await delay(HAND_OVER_POLL_MS);
  }
}

function refuse(
  ctx: Context.Context,
  ...args: Parameters<typeof Respond.refuse>
): Run.RunResult {
  return finishRefused(ctx, Respond.refuse(...args));
}

function finishRefused(
  ctx: Context.Context,
  refusal: Respond.Refusal,
): Run.RunResult {
  Respond.sendRefusal(ctx.res, refusal, ctx.id);
  return { kind: "refused", refusal };
}

async function serveAsOwner(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: VerifiedTicket,
): Promise<Run.RunResult> {
  // A body beyond the buffer is known by its first part only, so two of them could pass for one.
  if (ctx.body.kind === "stream") return refuse(ctx, "bodyTooLarge", "not-run");
  const claim = await deps.ledger.claim(ticket, ctx.fingerprint, ctx.signal);
  switch (claim.kind) {
    case "run":
      // Asked only now, because an earlier transmission may have run before its like was blocked.
      if (deps.poison.isBlocked(ctx.fingerprint)) {
        claim.run.notRun();
        return refuse(ctx, "poisoned", "not-run");
      }
      return await runClaimed(deps, ctx, ticket, claim.run);
    case "answer":
      Respond.sendAnswer(ctx.res, claim.answer, ctx.id, true);
      return { kind: "answer", answer: claim.answer };
    case "ran-without-answer":
      return refuse(
        ctx,
        "runUnknown",
        "ran",
        undefined,
        `it ran with status ${claim.status}; the answer was not kept`,
      );
    case "unknown":
      return refuse(
        ctx,
        ticket.isExpired ? "ticketExpired" : "runUnknown",
        "unknown",
      );
    case "refused":
      return finishRefused(ctx, { failure: claim.failure, outcome: "not-run" });
    default:
      return Debug.assertNever(claim);
  }
}

/** Runs a claimed request to its end even when the caller goes away, so that a resend finds the answer. */
async function runClaimed(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: VerifiedTicket,
  claimed: Contracts.ClaimedRun,
): Promise<Run.RunResult> {
  const lateMs = Context.getRemainingMs(ctx, deps.clock) + LATE_ANSWER_GRACE_MS;
  const running = runToEnd(
    deps,
    detach(ctx, ticket),
    claimed,
    AbortSignal.timeout(Math.ceil(lateMs)),
  );
  const first = await Promise.race([running, onceAborted(ctx.signal)]);
  if (first === undefined) return refuse(ctx, "deadlinePassed", "unknown");
  if (first.kind === "answer") {
    Respond.sendAnswer(ctx.res, first.answer, ctx.id, false);
  } else if (first.kind === "refused") {
    Respond.sendRefusal(ctx.res, first.refusal, ctx.id);
  }
  return first;
}

/** The request as the target sees it: a digest in place of the ticket, so that no target can resend it. */
function detach(
  ctx: Context.Context,
  ticket: VerifiedTicket,
): Context.Context {
  const idempotencyId = Crypto.createHash("sha256").update(ticket.id)
    .digest("base64url");
  const headers = ctx.headers
    .filter(([name]) => name.toLowerCase() !== TICKET_HEADER);
  return {
    ...ctx,
    headers: [...headers, [TICKET_HEADER, idempotencyId]],
    // Waiting for a place still ends with the caller's deadline, not with the caller.
    signal: AbortSignal.timeout(
      Math.max(1, Math.ceil(ctx.deadlineAtMs - performance.now())),
    ),
  };
}

async function runToEnd(
  deps: Context.Deps,
  ctx: Context.Context,
  claimed: Contracts.ClaimedRun,
  signal: AbortSignal,
): Promise<Run.RunResult> {
  try {
    const result = await payAndRun(deps, ctx, signal);
    settleClaim(claimed, result);
    return result;
  } catch (err) {
    claimed.unknown();
    throw err;
  }
}

async function payAndRun(
  deps: Context.Deps,
  ctx: Context.Context,
  signal: AbortSignal,
): Promise<Run.RunResult> {
  const unpaid = await Account.pay(deps, ctx);
  if (unpaid !== undefined) return { kind: "refused", refusal: unpaid };
  const parts: Buffer[] = [];
  let head: { status: number; headers: Headers.HeaderPairs } | undefined;
  // A long answer is gathered, because the ledger decides before the caller hears.
  const sink = {
    start(status: number, headers: Headers.HeaderPairs) {
      head = { status, headers };
    },
    write(chunk: Buffer) {
      parts.push(chunk);
      return Promise.resolve();
    },
  };
  const result = await Run.run(deps, ctx, sink, signal);
  Account.refundIfNotRun(deps, ctx, result);
  if (result.kind === "streamed" && head !== undefined) {
    return { kind: "answer", answer: { ...head, body: Buffer.concat(parts) } };
  }
  return result.kind === "cut"
    ? { kind: "refused", refusal: Respond.refuse("targetBroke", "unknown") }
    : result;
}

function settleClaim(
  claimed: Contracts.ClaimedRun,
  result: Run.RunResult,
): void {
  switch (result.kind) {
    case "answer":
      return claimed.ran(result.answer, result.answer.status);
    case "streamed":
      return claimed.ran(undefined, result.status);
    case "cut":
      return claimed.unknown();
    case "refused":
      return result.refusal.outcome === "not-run"
        ? claimed.notRun()
        : claimed.unknown();
    default:
      return Debug.assertNever(result);
  }
}

function onceAborted(signal: AbortSignal): Promise<undefined> {
  if (signal.aborted) return Promise.resolve(undefined);
  return new Promise((resolve) => {
    signal.addEventListener("abort", () => resolve(undefined), { once: true });
  });
}

/** Address of the instance that answers for a ticket's issuer; undefined when it can't be reached. */
async function tryFindOwnerAddress(
  deps: Context.Deps,
  ticket: VerifiedTicket,
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
async function passOn(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: VerifiedTicket,
): Promise<Run.RunResult> {
  if (ctx.body.kind === "stream") return refuse(ctx, "bodyTooLarge", "not-run");
  for (let attempt = 1; attempt <= RELAY_ATTEMPTS; attempt++) {
    const address = await tryFindOwnerAddress(deps, ticket);
    if (address !== undefined && !ctx.signal.aborted) {
      const passed = await tryPassTo(deps, ctx, address);
      if (passed !== undefined) return passed;
    }
    if (attempt < RELAY_ATTEMPTS) await delay(RELAY_BACKOFF_MS);
  }
  return refuse(ctx, "issuerUnreachable", "unknown");
}

async function tryPassTo(
  deps: Context.Deps,
  ctx: Context.Context,
  address: string,
): Promise<Run.RunResult | undefined> {
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
): Run.RunResult | undefined {
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
  answer: Contracts.StoredAnswer,
  rawHeaders: Headers.HeaderPairs,
): Run.RunResult {
  const own = rawHeaders
    .filter(([name]) => OWN_ANSWER_HEADERS.has(name.toLowerCase()));
  const relayed = { ...answer, headers: [...answer.headers, ...own] };
  Respond.sendAnswer(ctx.res, relayed, ctx.id, false);
  return { kind: "answer", answer: relayed };
}
