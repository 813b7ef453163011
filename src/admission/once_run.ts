/**
 * A request on a `once` route at the owner of its ticket: claimed in the ledger,
 * run to its end, and settled before the caller hears. Exactly one of `ran`,
 * `notRun` and `unknown` follows each claim.
 */
import * as Crypto from "node:crypto";
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import type * as Headers from "../forward/headers.ts";
import * as Respond from "../forward/respond.ts";
import type * as Attempt from "./attempt.ts";
import * as Account from "./account.ts";
import * as Context from "./context.ts";
import * as Run from "./run.ts";
import * as Shared from "./once_shared.ts";

/** The target may answer after the caller's deadline; a resend then gets that answer. */
const LATE_ANSWER_GRACE_MS = 10_000;

/** Serves a request at the instance that answers for its ticket. */
export async function serveAsOwner(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: Shared.VerifiedTicket,
): Promise<Attempt.RunResult> {
  // A body beyond the buffer is known by its first part only, so two of them could pass for one.
  if (ctx.body.kind === "stream") {
    return Shared.refuse(ctx, "bodyTooLarge", "not-run");
  }
  const claim = await deps.ledger.claim(ticket, ctx.fingerprint, ctx.signal);
  switch (claim.kind) {
    case "run":
      // Asked only now, because an earlier transmission may have run before its like was blocked.
      if (deps.poison.isBlocked(ctx.fingerprint)) {
        claim.run.markNotRun();
        return Shared.refuse(ctx, "poisoned", "not-run");
      }
      return await runClaimed(deps, ctx, ticket, claim.run);
    case "answer":
      Respond.sendResponse(ctx.res, claim.answer, ctx.id, true);
      return { kind: "answer", answer: claim.answer };
    case "ran-without-answer":
      return Shared.refuse(
        ctx,
        "runUnknown",
        "ran",
        undefined,
        `it ran with status ${claim.status}; the answer was not kept`,
      );
    case "unknown":
      return Shared.refuse(
        ctx,
        ticket.isExpired ? "ticketExpired" : "runUnknown",
        "unknown",
      );
    case "refused":
      return Shared.finishRefused(ctx, {
        failure: claim.failure,
        outcome: "not-run",
      });
    default:
      return Debug.assertNever(claim);
  }
}

/** Runs a claimed request to its end even when the caller goes away, so that a resend finds the answer. */
async function runClaimed(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: Shared.VerifiedTicket,
  claimed: Contracts.ClaimedRun,
): Promise<Attempt.RunResult> {
  const lateMs = Context.getRemainingMs(ctx, deps.clock) + LATE_ANSWER_GRACE_MS;
  const running = runToEnd(
    deps,
    detach(ctx, ticket),
    claimed,
    AbortSignal.timeout(Math.ceil(lateMs)),
  );
  const first = await Promise.race([running, onceAborted(ctx.signal)]);
  if (first === undefined) {
    return Shared.refuse(ctx, "deadlinePassed", "unknown");
  }
  if (first.kind === "answer") {
    Respond.sendResponse(ctx.res, first.answer, ctx.id, false);
  } else if (first.kind === "refused") {
    Respond.sendRejection(ctx.res, first.refusal, ctx.id);
  }
  return first;
}

/** The request as the target sees it: a digest in place of the ticket, so that no target can resend it. */
function detach(
  ctx: Context.Context,
  ticket: Shared.VerifiedTicket,
): Context.Context {
  const idempotencyId = Crypto.createHash("sha256").update(ticket.id)
    .digest("base64url");
  const headers = ctx.headers
    .filter(([name]) => name.toLowerCase() !== Shared.TICKET_HEADER);
  return {
    ...ctx,
    headers: [...headers, [Shared.TICKET_HEADER, idempotencyId]],
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
): Promise<Attempt.RunResult> {
  try {
    const result = await payAndRun(deps, ctx, signal);
    settleClaim(claimed, result);
    return result;
  } catch (err) {
    claimed.markUnknown();
    throw err;
  }
}

async function payAndRun(
  deps: Context.Deps,
  ctx: Context.Context,
  signal: AbortSignal,
): Promise<Attempt.RunResult> {
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
    ? {
      kind: "refused",
      refusal: Respond.createRejection("targetBroke", "unknown"),
    }
    : result;
}

function settleClaim(
  claimed: Contracts.ClaimedRun,
  result: Attempt.RunResult,
): void {
  switch (result.kind) {
    case "answer":
      return claimed.markRan(result.answer, result.answer.status);
    case "streamed":
      return claimed.markRan(undefined, result.status);
    case "cut":
      return claimed.markUnknown();
    case "refused":
      return result.refusal.outcome === "not-run"
        ? claimed.markNotRun()
        : claimed.markUnknown();
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
