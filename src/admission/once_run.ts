/**
 * Handles a request on a `once` route at the owner of its ticket: the request is
 * claimed in the ledger, run to its end, and settled before the caller receives
 * the response. Each claim ends with exactly one of `markRan`, `markNotRun` and
 * `markUnknown`.
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

/** Time after the caller's deadline in which the target may still respond; a retry then gets that response. */
const LATE_RESPONSE_GRACE_MS = 10_000;

/** Serves a request at the instance that owns its ticket. */
export async function serveAsOwner(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: Shared.VerifiedTicket,
): Promise<Attempt.RunResult> {
  // The fingerprint covers only the buffered start of a streamed body, so two different bodies could pass for the same request.
  if (ctx.body.kind === "stream") {
    return Shared.rejectWithCode(ctx, "bodyTooLarge", "not-run");
  }
  const claim = await deps.ledger.claim(ticket, ctx.fingerprint, ctx.signal);
  switch (claim.kind) {
    case "run":
      // Checked after the claim, because an earlier transmission may have run before its fingerprint was blocked.
      if (deps.poison.isBlocked(ctx.fingerprint)) {
        claim.run.markNotRun();
        return Shared.rejectWithCode(ctx, "poisoned", "not-run");
      }
      return await runClaimed(deps, ctx, ticket, claim.run);
    case "response":
      Respond.sendResponse(ctx.res, claim.response, ctx.id, true);
      return { kind: "response", response: claim.response };
    case "ran-without-response":
      return Shared.rejectWithCode(
        ctx,
        "runUnknown",
        "ran",
        undefined,
        `it ran with status ${claim.status}; the answer was not kept`,
      );
    case "unknown":
      return Shared.rejectWithCode(
        ctx,
        ticket.isExpired ? "ticketExpired" : "runUnknown",
        "unknown",
      );
    case "rejected":
      return Shared.sendRejection(ctx, {
        failure: claim.failure,
        outcome: "not-run",
      });
    default:
      return Debug.assertNever(claim);
  }
}

/** Runs a claimed request to its end even when the caller disconnects, so that a retry gets the response. */
async function runClaimed(
  deps: Context.Deps,
  ctx: Context.Context,
  ticket: Shared.VerifiedTicket,
  claimedRun: Contracts.ClaimedRun,
): Promise<Attempt.RunResult> {
  const timeoutMs = Context.getRemainingMs(ctx, deps.clock) +
    LATE_RESPONSE_GRACE_MS;
  const completion = runAndSettle(
    deps,
    createTargetContext(deps, ctx, ticket),
    claimedRun,
    AbortSignal.timeout(Math.ceil(timeoutMs)),
  );
  ctx.keepBodyUntil(completion);
  const result = await Promise.race([completion, waitForAbort(ctx.signal)]);
  if (result === undefined) {
    return Shared.rejectWithCode(ctx, "deadlinePassed", "unknown");
  }
  if (result.kind === "response") {
    Respond.sendResponse(ctx.res, result.response, ctx.id, false);
  } else if (result.kind === "rejected") {
    Respond.sendRejection(ctx.res, result.rejection, ctx.id);
  }
  return result;
}

/** Creates the request for the target: a digest replaces the ticket, so that no target can send the request again. */
function createTargetContext(
  deps: Context.Deps,
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
    // The wait for a placement ends at the caller's deadline, but not when the caller disconnects.
    signal: AbortSignal.timeout(
      Math.max(1, Math.ceil(ctx.deadlineAtMs - deps.clock.nowMs())),
    ),
  };
}

async function runAndSettle(
  deps: Context.Deps,
  ctx: Context.Context,
  claimedRun: Contracts.ClaimedRun,
  signal: AbortSignal,
): Promise<Attempt.RunResult> {
  try {
    const result = await acquireTokenAndRun(deps, ctx, signal);
    settleClaim(claimedRun, result);
    return result;
  } catch (err) {
    claimedRun.markUnknown();
    throw err;
  }
}

async function acquireTokenAndRun(
  deps: Context.Deps,
  ctx: Context.Context,
  signal: AbortSignal,
): Promise<Attempt.RunResult> {
  const rejection = await Account.acquireAccountToken(deps, ctx);
  if (rejection !== undefined) return { kind: "rejected", rejection };
  const chunks: Buffer[] = [];
  let head: { status: number; headers: Headers.HeaderPairs } | undefined;
  // A long response is buffered, because the claim is settled before the caller receives it.
  const sink = {
    start(status: number, headers: Headers.HeaderPairs) {
      head = { status, headers };
    },
    write(chunk: Buffer) {
      chunks.push(chunk);
      return Promise.resolve();
    },
  };
  const result = await Run.runWithRetries(deps, ctx, sink, signal);
  Account.refundTokenIfNotRun(deps, ctx, result);
  if (result.kind === "streamed" && head !== undefined) {
    return {
      kind: "response",
      response: { ...head, body: Buffer.concat(chunks) },
    };
  }
  return result.kind === "truncated"
    ? {
      kind: "rejected",
      rejection: Respond.createRejection("targetBroke", "unknown"),
    }
    : result;
}

function settleClaim(
  claimedRun: Contracts.ClaimedRun,
  result: Attempt.RunResult,
): void {
  switch (result.kind) {
    case "response":
      return claimedRun.markRan(result.response, result.response.status);
    case "streamed":
      return claimedRun.markRan(undefined, result.status);
    case "truncated":
      return claimedRun.markUnknown();
    case "rejected":
      return result.rejection.outcome === "not-run"
        ? claimedRun.markNotRun()
        : claimedRun.markUnknown();
    default:
      return Debug.assertNever(result);
  }
}

function waitForAbort(signal: AbortSignal): Promise<undefined> {
  if (signal.aborted) return Promise.resolve(undefined);
  return new Promise((resolve) => {
    signal.addEventListener("abort", () => resolve(undefined), { once: true });
  });
}
