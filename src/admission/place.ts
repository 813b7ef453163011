/**
 * Finds a place for one request: a region within its cap, its link, and a slot
 * of a target. Promise: no request goes to a region without a token of its cap,
 * and what a request does not use is given back.
 */
import { Err, Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as Debug from "../debug.ts";
import * as Link from "../forward/link.ts";
import * as Respond from "../forward/respond.ts";
import type * as Types from "../types.ts";
import * as Account from "./account.ts";
import * as Context from "./context.ts";

/**
 * Longest wait for tokens of peers before the next region is tried. Tokens that
 * this instance does not hold do not mean that the region is at its cap, and
 * going elsewhere moves traffic faster than the shift cap allows.
 */
const BORROW_WAIT_MS = 50;
/** Longest wait for a region's cap when no region has a token at once. */
const CAP_WAIT_MS = 150;
/** A request that waited this long for a slot may leave its first region. */
const SPILL_AFTER_MS = 20;
/** A queued request asks its peers for tokens at most this often. */
const BORROW_INTERVAL_MS = 50;

/** A slot and the budget token that goes with it. */
export interface Placement {
  readonly region: Types.Region;
  readonly slot: Contracts.SlotLease;
  /** Monotonic ms at which the region's cap was paid. */
  readonly capTakenAtMs: number;
  readonly link: Link.LinkMeter | undefined;
}

/** A paid token of a region's cap. */
interface CapToken {
  readonly region: Types.Region;
  readonly takenAtMs: number;
}

/** Budget key of a region's cap. */
export function getCapKey(service: string, region: string): string {
  return `cap/${service}/${region}`;
}

/** Regions that have usable targets, in the order to try them. */
function getRegions(
  deps: Context.Deps,
  service: Types.Service,
): readonly Types.Region[] {
  return deps.steering.chooseRegions(service)
    .filter((region) => deps.targets.hasUsable(service, region));
}

/** Takes a cap token of a region, waiting for peers unless they just had none. */
async function tryTakeCap(
  deps: Context.Deps,
  ctx: Context.Context,
  region: Types.Region,
  longestMs: number,
): Promise<CapToken | undefined> {
  const remainingMs = Context.getRemainingMs(ctx, deps.clock);
  const waitMs = Math.min(longestMs, remainingMs);
  const key = getCapKey(ctx.route.service, region);
  const taken = await deps.budgets.acquire(key, 1, waitMs);
  return taken.isOk() ? { region, takenAtMs: deps.clock.nowMs() } : undefined;
}

/** Takes a cap token of the first region that has one. */
async function takeCap(
  deps: Context.Deps,
  ctx: Context.Context,
  regions: readonly Types.Region[],
): Promise<CapToken | undefined> {
  const { service } = ctx.route;
  const tryQuick = (region: Types.Region) =>
    deps.budgets.tryAcquire(getCapKey(service, region), 1)
      ? { region, takenAtMs: deps.clock.nowMs() }
      : undefined;
  const first = regions[0] ?? "";
  const quick = tryQuick(first);
  if (quick !== undefined) return quick;
  if (!deps.budgets.isScarce(getCapKey(service, first))) {
    const borrowed = await tryTakeCap(deps, ctx, first, BORROW_WAIT_MS);
    if (borrowed !== undefined) return borrowed;
  }
  for (const region of regions.slice(1)) {
    const other = tryQuick(region);
    if (other !== undefined) return other;
  }
  for (const region of regions) {
    const token = await tryTakeCap(deps, ctx, region, CAP_WAIT_MS);
    if (token !== undefined) return token;
  }
  return undefined;
}

/** Brings tokens from peers into the own holding, for requests that wait. */
function createBorrower(
  deps: Context.Deps,
  ctx: Context.Context,
): (key: Contracts.BudgetKey) => void {
  let nextAtMs = -Infinity;
  return (key) => {
    const now = deps.clock.nowMs();
    if (now < nextAtMs) return;
    nextAtMs = now + BORROW_INTERVAL_MS;
    deps.budgets.acquire(key, 1, CAP_WAIT_MS).then((taken) => {
      if (taken.isErr()) return;
      deps.budgets.refund(key, 1, deps.clock.nowMs());
      deps.queue.wake(ctx.route.service);
    });
  };
}

/**
 * Tries to start a request that may be waiting. Account and cap are paid at the
 * start and not when the wait begins: tokens held by waiting requests would all
 * be used at once when slots become free, far above the limit of that second.
 */
function createStart(
  deps: Context.Deps,
  ctx: Context.Context,
  first: CapToken,
  regions: readonly Types.Region[],
  exclude: ReadonlySet<string>,
): { tryStart(): Placement | undefined; giveUp(): void } {
  const { service } = ctx.route;
  const borrow = createBorrower(deps, ctx);
  const queuedAtMs = deps.clock.nowMs();
  let held: CapToken | undefined = first;

  function tryPay(region: Types.Region): CapToken | undefined {
    if (held?.region === region) {
      const token = held;
      held = undefined;
      return token;
    }
    const key = getCapKey(service, region);
    const isPaid = deps.budgets.tryAcquire(key, 1);
    if (!isPaid) borrow(key);
    return isPaid ? { region, takenAtMs: deps.clock.nowMs() } : undefined;
  }

  function tryRegion(region: Types.Region): Placement | undefined {
    const token = tryPay(region);
    if (token === undefined) return undefined;
    const slot = deps.targets.tryAcquire(service, region, exclude);
    if (slot === undefined) {
      deps.budgets.refund(getCapKey(service, region), 1, token.takenAtMs);
      return undefined;
    }
    const link = createMeter(deps, ctx, region);
    return { region, slot, link, capTakenAtMs: token.takenAtMs };
  }

  return {
    tryStart() {
      if (!Account.tryRenew(deps, ctx, borrow)) return undefined;
      const waitedMs = deps.clock.nowMs() - queuedAtMs;
      const chosen = tryRegion(first.region);
      if (chosen !== undefined || waitedMs < SPILL_AFTER_MS) return chosen;
      for (const region of regions) {
        if (region === first.region) continue;
        const other = tryRegion(region);
        if (other !== undefined) return other;
      }
      return undefined;
    },
    giveUp() {
      if (held === undefined) return;
      const key = getCapKey(service, held.region);
      deps.budgets.refund(key, 1, held.takenAtMs);
      held = undefined;
    },
  };
}

function createMeter(
  deps: Context.Deps,
  ctx: Context.Context,
  region: Types.Region,
): Link.LinkMeter | undefined {
  return Link.tryCreateLinkMeter(
    deps.budgets,
    deps.answerSizes,
    ctx.route.service,
    deps.region,
    region,
    () => Context.getRemainingMs(ctx, deps.clock),
  );
}

function getBodyBytes(ctx: Context.Context): number {
  switch (ctx.body.kind) {
    case "none":
      return 0;
    case "whole":
      return ctx.body.data.length;
    case "stream":
      return ctx.body.length ?? ctx.body.head.length;
    default:
      return Debug.assertNever(ctx.body);
  }
}

/** Waits for a place until the deadline; a failure means that nothing was sent. */
export async function place(
  deps: Context.Deps,
  ctx: Context.Context,
  exclude: ReadonlySet<string>,
  avoided: ReadonlySet<Types.Region> = new Set(),
): Promise<Result<Placement, Respond.Rejection>> {
  const { service } = ctx.route;
  const regions = getRegions(deps, service)
    .filter((region) => !avoided.has(region));
  if (regions.length === 0) {
    return Err(Respond.createRejection("noTarget", "not-run"));
  }
  const token = await takeCap(deps, ctx, regions);
  if (token === undefined) {
    const first = getCapKey(service, regions[0] ?? "");
    const waitMs = deps.budgets.getWaitMs(first, 1);
    return Err(Respond.createRejection("regionCap", "not-run", waitMs));
  }
  const start = createStart(deps, ctx, token, regions, exclude);
  const waiting = deps.queue.wait(
    {
      service,
      account: ctx.caller.account,
      deadlineAtMs: ctx.deadlineAtMs,
      signal: ctx.signal,
    },
    start.tryStart,
  );
  // What did not start at once pays when it starts.
  start.giveUp();
  const found = await waiting;
  if (found.isErr()) {
    const unpaid = Account.tryRefuseUnpaid(deps, ctx);
    return Err(unpaid ?? { failure: found.error, outcome: "not-run" });
  }
  const placement = found.value;
  if (await payLink(deps, ctx, placement)) return Ok(placement);
  abandon(deps, ctx, placement);
  if (regions.length === 1) {
    return Err(Respond.createRejection("linkCap", "not-run"));
  }
  // Another region, often the own one, may still have room without that link.
  const more = new Set([...avoided, placement.region]);
  return await place(deps, ctx, exclude, more);
}

async function payLink(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Placement,
): Promise<boolean> {
  const { link } = placement;
  const remainingMs = Context.getRemainingMs(ctx, deps.clock);
  const waitMs = Math.min(CAP_WAIT_MS, remainingMs);
  return link === undefined ||
    await link.acquireForRequest(getBodyBytes(ctx), waitMs);
}

/** Gives a place back unused. */
export function abandon(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Placement,
): void {
  placement.link?.settle();
  placement.slot.release({ kind: "cancelled" });
  const key = getCapKey(ctx.route.service, placement.region);
  deps.budgets.refund(key, 1, placement.capTakenAtMs);
}
