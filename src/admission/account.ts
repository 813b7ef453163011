/**
 * Who the caller is, and the client account's limit. Promise: one token of the
 * account's budget per request that runs, whichever instance admits it.
 */
import type * as Http from "node:http";
import { Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as Headers from "../forward/headers.ts";
import * as Respond from "../forward/respond.ts";
import * as Find from "../keys/find.ts";
import * as Relay from "../once/relay.ts";
import * as ResultCodes from "../result_codes.ts";
import * as Columns from "../table/columns.ts";
import type * as Attempt from "./attempt.ts";
import * as Context from "./context.ts";

const KEY_HEADER = "anvilroute-key";
const BEARER = /^Bearer\s+(\S+)$/i;
/** Waiting a little smooths bursts and lets a loan arrive; longer waits hide the limit from callers. */
const SCARCE_WAIT_MS = 250;
/**
 * Longest wait while peers should have tokens: they answer within 400 ms or
 * count as silent, and on a busy machine a small account's token is with one of them.
 */
const LOAN_WAIT_MS = 500;
/** Waiting this part of a token's refill time does not bunch starts noticeably. */
const MAX_REFILL_TOKENS = 0.1;

/** The caller's key, from the key header or a bearer token. */
export function tryGetKey(pairs: Headers.HeaderPairs): string | undefined {
  const key = Headers.tryGetHeader(pairs, KEY_HEADER);
  if (key !== undefined) return key.trim();
  const auth = Headers.tryGetHeader(pairs, "authorization");
  return auth === undefined ? undefined : BEARER.exec(auth.trim())?.[1];
}

/** True when the text carries any key of the keys record. */
export function hasKnownKey(deps: Context.Deps, text: string): boolean {
  return Find.hasKnownKey(text, deps.keys.isKnownKey);
}

/** True when the URL carries the key that was sent, or any other known one. */
export function isKeyInUrl(
  deps: Context.Deps,
  url: string,
  key: string | undefined,
): boolean {
  if (Headers.containsKey(url, key) || hasKnownKey(deps, url)) return true;
  const at = url.indexOf("?");
  if (at < 0) return false;
  const values = new URLSearchParams(url.slice(at + 1)).values();
  return [...values].some((value) => deps.keys.isKnownKey(value));
}

/** Account of the request. On open routes no key is needed. */
export function authenticateCaller(
  deps: Context.Deps,
  req: Http.IncomingMessage,
  pairs: Headers.HeaderPairs,
  key: string | undefined,
  isOpen: boolean,
): Result<Context.Caller, ResultCodes.Failure> {
  const relayText = Headers.tryGetHeader(pairs, Relay.RELAY_HEADER);
  const relayed = relayText === undefined
    ? undefined
    : deps.relay.tryVerify(relayText, req.method ?? "", req.url ?? "");
  if (relayed === undefined && isOpen) return Ok(getPublicCaller());
  if (!deps.freshness.isCurrent()) return ResultCodes.fail("keysNotCurrent");
  if (relayed !== undefined) {
    return deps.keys.checkDigest(relayed.digest)
      .map((account) => ({ account, digest: relayed.digest, isRelayed: true }));
  }
  return deps.keys.authenticate(key)
    .map((known) => ({ ...known, isRelayed: false }));
}

function getPublicCaller(): Context.Caller {
  return {
    account: Columns.PUBLIC_ACCOUNT,
    digest: undefined,
    isRelayed: false,
  };
}

function getBudgetKey(ctx: Context.Context): string | undefined {
  const { account } = ctx.caller;
  if (account === Columns.PUBLIC_ACCOUNT) return undefined;
  return `acct/${ctx.route.service}/${account}`;
}

/** Takes one token of the account's budget; returns the refusal when there is none. */
export async function pay(
  deps: Context.Deps,
  ctx: Context.Context,
): Promise<Respond.Rejection | undefined> {
  if (!deps.budgets.isValid()) {
    return Respond.createRejection("notHolding", "not-run");
  }
  const key = getBudgetKey(ctx);
  if (key === undefined) return undefined;
  const waitMs = Math.min(
    deps.budgets.isScarce(key) ? SCARCE_WAIT_MS : LOAN_WAIT_MS,
    Context.getRemainingMs(ctx, deps.clock),
  );
  const isPaid = deps.budgets.tryAcquire(key, 1) ||
    (await deps.budgets.acquire(key, 1, waitMs)).isOk();
  if (!isPaid) return refuseUnpaid(deps, key);
  ctx.payment.takenAtMs = deps.clock.nowMs();
  return undefined;
}

function refuseUnpaid(deps: Context.Deps, key: string): Respond.Rejection {
  const retryMs = deps.budgets.getWaitMs(key, 1);
  return Respond.createRejection("accountLimit", "not-run", retryMs);
}

/**
 * Makes sure of the account's token at the start of a request that may have
 * waited. Tokens of waiting requests and the refill since they were taken would
 * otherwise start together, above rate and burst.
 */
export function tryRenew(
  deps: Context.Deps,
  ctx: Context.Context,
  borrow: (key: Contracts.BudgetKey) => void,
): boolean {
  const key = getBudgetKey(ctx);
  if (key === undefined) return true;
  const { payment } = ctx;
  const { takenAtMs } = payment;
  if (takenAtMs !== undefined) {
    if (!isStale(deps, key, takenAtMs)) return true;
    const isRetaken = deps.budgets.reacquire(key, 1, takenAtMs);
    payment.takenAtMs = isRetaken ? deps.clock.nowMs() : undefined;
    if (isRetaken) return true;
  }
  if (!deps.budgets.tryAcquire(key, 1)) {
    borrow(key);
    return false;
  }
  payment.takenAtMs = deps.clock.nowMs();
  return true;
}

/** True when the budget refilled noticeably since the token was taken. */
function isStale(
  deps: Context.Deps,
  key: Contracts.BudgetKey,
  takenAtMs: number,
): boolean {
  const { rate } = deps.budgets.getAllocation(key);
  const ageMs = deps.clock.nowMs() - takenAtMs;
  return rate * ageMs / 1_000 > MAX_REFILL_TOKENS;
}

/** The refusal of a request that waited in vain for its account's token. */
export function tryRefuseUnpaid(
  deps: Context.Deps,
  ctx: Context.Context,
): Respond.Rejection | undefined {
  const key = getBudgetKey(ctx);
  const isUnpaid = key !== undefined && ctx.payment.takenAtMs === undefined;
  return isUnpaid ? refuseUnpaid(deps, key) : undefined;
}

/** A request that may have run has used its token; a further attempt pays anew. */
export function markSpent(ctx: Context.Context): void {
  ctx.payment.takenAtMs = undefined;
}

/** Returns the account's token when the request certainly did not run. */
export function refundIfNotRun(
  deps: Context.Deps,
  ctx: Context.Context,
  result: Attempt.RunResult,
): void {
  const key = getBudgetKey(ctx);
  const { takenAtMs } = ctx.payment;
  const isNotRun = result.kind === "refused" &&
    result.refusal.outcome === "not-run";
  if (!isNotRun || key === undefined || takenAtMs === undefined) return;
  deps.budgets.refund(key, 1, takenAtMs);
}
