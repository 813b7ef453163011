/**
 * Tokens of requests that waited for a slot. Promise: a token is spent at most
 * as long after its take as its budget needs for `MAX_REFILL_TOKENS`, or is
 * taken anew, so that what starts at the targets keeps the budget's limits.
 */
import * as Context from "./context.ts";

/** Waiting this part of a token's refill time does not bunch starts noticeably. */
const MAX_REFILL_TOKENS = 0.1;

/** True when the budget refilled noticeably since the token was taken. */
export function isTooOld(
  deps: Context.Deps,
  key: string,
  takenAtMs: number,
): boolean {
  const { rate } = deps.budgets.getHolding(key);
  const ageMs = deps.clock.nowMs() - takenAtMs;
  return rate * ageMs / 1_000 > MAX_REFILL_TOKENS;
}

/** Takes one token anew, waiting until the deadline; false when it is lost. */
export async function renew(
  deps: Context.Deps,
  ctx: Context.Context,
  key: string,
  takenAtMs: number,
): Promise<boolean> {
  if (deps.budgets.retake(key, 1, takenAtMs)) return true;
  const waitMs = Context.getRemainingMs(ctx, deps.clock);
  return (await deps.budgets.take(key, 1, waitMs)).isOk();
}
