/**
 * Authenticates the caller and enforces its client account's limit. Invariant:
 * each request that runs uses exactly one token of the account's budget,
 * whichever instance admits it.
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
/**
 * Longest wait for a token while peers have none to lend. A short wait smooths
 * bursts and leaves time for a loan to arrive; a longer one would hide the limit
 * from callers.
 */
const MAX_SCARCE_WAIT_MS = 250;
/**
 * Longest wait for a token while peers may have some to lend. A peer that does
 * not respond within 400 ms counts as unresponsive. On a busy machine the only
 * token of a small account may be held by one such peer.
 */
const MAX_LOAN_WAIT_MS = 500;
/**
 * Refill, in tokens, up to which an acquired token still counts as current.
 * Below it, requests that waited do not start in a noticeable burst.
 */
const MAX_REFILL_TOKENS = 0.1;

/** Returns the caller's key from the key header or a bearer token; undefined when the request has neither. */
export function tryGetKey(pairs: Headers.HeaderPairs): string | undefined {
  const key = Headers.tryGetHeader(pairs, KEY_HEADER);
  if (key !== undefined) return key.trim();
  const authorization = Headers.tryGetHeader(pairs, "authorization");
  return authorization === undefined
    ? undefined
    : BEARER.exec(authorization.trim())?.[1];
}

/** True when `value`, a URL or a header value, contains any key of the keys record. */
export function hasKnownKey(deps: Context.Deps, value: string): boolean {
  return Find.hasKnownKey(value, deps.keys.isKnownKey);
}

/** True when the URL contains the key that was sent, or any other known key. */
export function isKeyInUrl(
  deps: Context.Deps,
  url: string,
  key: string | undefined,
): boolean {
  if (Headers.containsKey(url, key) || hasKnownKey(deps, url)) return true;
  const queryStart = url.indexOf("?");
  if (queryStart < 0) return false;
  const values = new URLSearchParams(url.slice(queryStart + 1)).values();
  return [...values].some((value) => deps.keys.isKnownKey(value));
}

/**
 * Determines the client account of a request. Open routes need no key. Fails
 * with `keysNotCurrent`, or with the error of the key check.
 */
export function authenticateCaller(
  deps: Context.Deps,
  req: Http.IncomingMessage,
  pairs: Headers.HeaderPairs,
  key: string | undefined,
  isOpen: boolean,
): Result<Context.Caller, ResultCodes.Failure> {
  const relayHeader = Headers.tryGetHeader(pairs, Relay.RELAY_HEADER);
  const relayed = relayHeader === undefined
    ? undefined
    : deps.relay.tryVerify(relayHeader, req.method ?? "", req.url ?? "");
  if (relayed === undefined && isOpen) return Ok(getPublicCaller());
  if (!deps.freshness.isCurrent()) return ResultCodes.fail("keysNotCurrent");
  if (relayed !== undefined) {
    return deps.keys.checkDigest(relayed.digest)
      .map((account) => ({ account, digest: relayed.digest, isRelayed: true }));
  }
  return deps.keys.authenticate(key)
    .map((authenticated) => ({ ...authenticated, isRelayed: false }));
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

/**
 * Acquires one token of the account's budget, waiting for a loan if necessary.
 * Returns the rejection when no token is available; undefined on success.
 */
export async function acquireAccountToken(
  deps: Context.Deps,
  ctx: Context.Context,
): Promise<Respond.Rejection | undefined> {
  if (!deps.budgets.isValid()) {
    return Respond.createRejection("notHolding", "not-run");
  }
  const key = getBudgetKey(ctx);
  if (key === undefined) return undefined;
  const waitMs = Math.min(
    deps.budgets.isScarce(key) ? MAX_SCARCE_WAIT_MS : MAX_LOAN_WAIT_MS,
    Context.getRemainingMs(ctx, deps.clock),
  );
  const isAcquired = deps.budgets.tryAcquire(key, 1) ||
    (await deps.budgets.acquire(key, 1, waitMs)).isOk();
  if (!isAcquired) return createLimitRejection(deps, key);
  ctx.accountToken.acquiredAtMs = deps.clock.nowMs();
  return undefined;
}

function createLimitRejection(
  deps: Context.Deps,
  key: string,
): Respond.Rejection {
  const retryMs = deps.budgets.getWaitMs(key, 1);
  return Respond.createRejection("accountLimit", "not-run", retryMs);
}

/**
 * Ensures that a request which may have waited has a current account token when
 * it starts. Otherwise requests could start on the tokens that they acquired
 * before the wait and on the refill since then, exceeding both rate and burst.
 * Calls `borrow` and returns false when no token is available.
 */
export function tryEnsureToken(
  deps: Context.Deps,
  ctx: Context.Context,
  borrow: (key: Contracts.BudgetKey) => void,
): boolean {
  const key = getBudgetKey(ctx);
  if (key === undefined) return true;
  const { accountToken } = ctx;
  const { acquiredAtMs } = accountToken;
  if (acquiredAtMs !== undefined) {
    if (!isTokenStale(deps, key, acquiredAtMs)) return true;
    const isReacquired = deps.budgets.reacquire(key, 1, acquiredAtMs);
    accountToken.acquiredAtMs = isReacquired ? deps.clock.nowMs() : undefined;
    if (isReacquired) return true;
  }
  if (!deps.budgets.tryAcquire(key, 1)) {
    borrow(key);
    return false;
  }
  accountToken.acquiredAtMs = deps.clock.nowMs();
  return true;
}

/** True when the budget has refilled by more than `MAX_REFILL_TOKENS` since the token was acquired. */
function isTokenStale(
  deps: Context.Deps,
  key: Contracts.BudgetKey,
  acquiredAtMs: number,
): boolean {
  const { rate } = deps.budgets.getAllocation(key);
  const ageMs = deps.clock.nowMs() - acquiredAtMs;
  return rate * ageMs / 1_000 > MAX_REFILL_TOKENS;
}

/** Returns the rejection of a request that did not get its account token while it waited; undefined otherwise. */
export function tryGetLimitRejection(
  deps: Context.Deps,
  ctx: Context.Context,
): Respond.Rejection | undefined {
  const key = getBudgetKey(ctx);
  const isNotAdmitted = key !== undefined &&
    ctx.accountToken.acquiredAtMs === undefined;
  return isNotAdmitted ? createLimitRejection(deps, key) : undefined;
}

/** Marks the token of a request that may have run as spent; another attempt has to acquire a new one. */
export function markTokenSpent(ctx: Context.Context): void {
  ctx.accountToken.acquiredAtMs = undefined;
}

/** Refunds the account token when the request certainly did not run. */
export function refundTokenIfNotRun(
  deps: Context.Deps,
  ctx: Context.Context,
  result: Attempt.RunResult,
): void {
  const key = getBudgetKey(ctx);
  const { acquiredAtMs } = ctx.accountToken;
  const isNotRun = result.kind === "rejected" &&
    result.rejection.outcome === "not-run";
  if (!isNotRun || key === undefined || acquiredAtMs === undefined) return;
  deps.budgets.refund(key, 1, acquiredAtMs);
}
