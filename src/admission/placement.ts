/**
 * Acquires the placement of one request: a region within its cap, link budget to
 * that region, and a slot of a target. Invariants: no request goes to a region
 * without a token of the region's cap, and everything that a request does not
 * use is refunded.
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
 * Longest wait for tokens from peers before the next region is tried. A lack of
 * tokens at this instance does not mean that the region is at its cap, and using
 * another region moves traffic faster than the shift cap allows.
 */
const MAX_BORROW_WAIT_MS = 50;
/** Longest wait for a region's cap when no region has a token available immediately. */
const MAX_CAP_WAIT_MS = 150;
/** Time in the queue after which a request may use a slot of another region than its first choice. */
const SPILL_AFTER_MS = 20;
/** Minimum interval between two attempts of a queued request to borrow tokens from peers. */
const MIN_BORROW_INTERVAL_MS = 50;

/** A target's slot with the region cap token and the link meter that belong to it. */
export interface Placement {
  readonly region: Types.Region;
  readonly slot: Contracts.SlotLease;
  /** Monotonic ms at which the region's cap token was acquired. */
  readonly capAcquiredAtMs: number;
  readonly link: Link.LinkMeter | undefined;
}

/** An acquired token of a region's cap. */
interface CapToken {
  readonly region: Types.Region;
  readonly acquiredAtMs: number;
}

/** Returns the budget key of a region's cap. */
export function getCapKey(service: string, region: string): string {
  return `cap/${service}/${region}`;
}

/** Returns the regions that have usable targets, in the order in which to try them. */
function getRegions(
  deps: Context.Deps,
  service: Types.Service,
): readonly Types.Region[] {
  return deps.steering.chooseRegions(service)
    .filter((region) => deps.targets.hasUsable(service, region));
}

/** Acquires a cap token of a region, waiting up to `maxWaitMs` for loans from peers. */
async function tryAcquireCapWithin(
  deps: Context.Deps,
  ctx: Context.Context,
  region: Types.Region,
  maxWaitMs: number,
): Promise<CapToken | undefined> {
  const remainingMs = Context.getRemainingMs(ctx, deps.clock);
  const waitMs = Math.min(maxWaitMs, remainingMs);
  const key = getCapKey(ctx.route.service, region);
  const acquired = await deps.budgets.acquire(key, 1, waitMs);
  return acquired.isOk()
    ? { region, acquiredAtMs: deps.clock.nowMs() }
    : undefined;
}

/** Acquires a cap token of the first region that has one; undefined when none has. */
async function acquireCap(
  deps: Context.Deps,
  ctx: Context.Context,
  regions: readonly Types.Region[],
): Promise<CapToken | undefined> {
  const { service } = ctx.route;
  const tryAcquireNow = (region: Types.Region) =>
    deps.budgets.tryAcquire(getCapKey(service, region), 1)
      ? { region, acquiredAtMs: deps.clock.nowMs() }
      : undefined;
  const firstRegion = regions[0] ?? "";
  const immediate = tryAcquireNow(firstRegion);
  if (immediate !== undefined) return immediate;
  if (!deps.budgets.isScarce(getCapKey(service, firstRegion))) {
    const borrowed = await tryAcquireCapWithin(
      deps,
      ctx,
      firstRegion,
      MAX_BORROW_WAIT_MS,
    );
    if (borrowed !== undefined) return borrowed;
  }
  for (const region of regions.slice(1)) {
    const token = tryAcquireNow(region);
    if (token !== undefined) return token;
  }
  for (const region of regions) {
    const token = await tryAcquireCapWithin(deps, ctx, region, MAX_CAP_WAIT_MS);
    if (token !== undefined) return token;
  }
  return undefined;
}

/** Creates a function that borrows tokens from peers into the local allocation, for requests in the queue. */
function createBorrower(
  deps: Context.Deps,
  ctx: Context.Context,
): (key: Contracts.BudgetKey) => void {
  let nextAtMs = -Infinity;
  return (key) => {
    const now = deps.clock.nowMs();
    if (now < nextAtMs) return;
    nextAtMs = now + MIN_BORROW_INTERVAL_MS;
    deps.budgets.acquire(key, 1, MAX_CAP_WAIT_MS).then((acquired) => {
      if (acquired.isErr()) return;
      deps.budgets.refund(key, 1, deps.clock.nowMs());
      deps.queue.wake(ctx.route.service);
    });
  };
}

/**
 * Creates the functions that start a possibly queued request. Account and cap
 * tokens are acquired at the start and not when the wait begins: tokens held by
 * queued requests would all be used at once when slots become free, far above
 * the limit of that second.
 */
function createStarter(
  deps: Context.Deps,
  ctx: Context.Context,
  firstToken: CapToken,
  regions: readonly Types.Region[],
  excludedTargets: ReadonlySet<string>,
): { tryStart(): Placement | undefined; releaseToken(): void } {
  const { service } = ctx.route;
  const borrow = createBorrower(deps, ctx);
  const queuedAtMs = deps.clock.nowMs();
  let initialToken: CapToken | undefined = firstToken;

  function tryAcquireCap(region: Types.Region): CapToken | undefined {
    if (initialToken?.region === region) {
      const token = initialToken;
      initialToken = undefined;
      return token;
    }
    const key = getCapKey(service, region);
    const isAcquired = deps.budgets.tryAcquire(key, 1);
    if (!isAcquired) borrow(key);
    return isAcquired
      ? { region, acquiredAtMs: deps.clock.nowMs() }
      : undefined;
  }

  function tryRegion(region: Types.Region): Placement | undefined {
    const token = tryAcquireCap(region);
    if (token === undefined) return undefined;
    const slot = deps.targets.tryAcquire(service, region, excludedTargets);
    if (slot === undefined) {
      deps.budgets.refund(getCapKey(service, region), 1, token.acquiredAtMs);
      return undefined;
    }
    const link = tryCreateLinkMeter(deps, ctx, region);
    return { region, slot, link, capAcquiredAtMs: token.acquiredAtMs };
  }

  return {
    tryStart() {
      if (!Account.tryEnsureToken(deps, ctx, borrow)) return undefined;
      const waitedMs = deps.clock.nowMs() - queuedAtMs;
      const first = tryRegion(firstToken.region);
      if (first !== undefined || waitedMs < SPILL_AFTER_MS) return first;
      for (const region of regions) {
        if (region === firstToken.region) continue;
        const placement = tryRegion(region);
        if (placement !== undefined) return placement;
      }
      return undefined;
    },
    releaseToken() {
      if (initialToken === undefined) return;
      const key = getCapKey(service, initialToken.region);
      deps.budgets.refund(key, 1, initialToken.acquiredAtMs);
      initialToken = undefined;
    },
  };
}

function tryCreateLinkMeter(
  deps: Context.Deps,
  ctx: Context.Context,
  region: Types.Region,
): Link.LinkMeter | undefined {
  return Link.tryCreateLinkMeter(
    deps.budgets,
    deps.responseSizes,
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

/**
 * Waits for a placement until the deadline. Fails with `noTarget`, `regionCap`,
 * `linkCap`, `accountLimit` or the queue's error; nothing was sent then.
 */
export async function acquirePlacement(
  deps: Context.Deps,
  ctx: Context.Context,
  excludedTargets: ReadonlySet<string>,
  avoidedRegions: ReadonlySet<Types.Region> = new Set(),
): Promise<Result<Placement, Respond.Rejection>> {
  const { service } = ctx.route;
  const regions = getRegions(deps, service)
    .filter((region) => !avoidedRegions.has(region));
  if (regions.length === 0) {
    return Err(Respond.createRejection("noTarget", "not-run"));
  }
  const token = await acquireCap(deps, ctx, regions);
  if (token === undefined) {
    const firstKey = getCapKey(service, regions[0] ?? "");
    const waitMs = deps.budgets.getWaitMs(firstKey, 1);
    return Err(Respond.createRejection("regionCap", "not-run", waitMs));
  }
  const starter = createStarter(deps, ctx, token, regions, excludedTargets);
  const queued = deps.queue.wait(
    {
      service,
      account: ctx.caller.account,
      deadlineAtMs: ctx.deadlineAtMs,
      signal: ctx.signal,
    },
    starter.tryStart,
  );
  // A request that did not start immediately acquires its cap token when it starts.
  starter.releaseToken();
  const started = await queued;
  if (started.isErr()) {
    const limitRejection = Account.tryGetLimitRejection(deps, ctx);
    return Err(
      limitRejection ?? { failure: started.error, outcome: "not-run" },
    );
  }
  const placement = started.value;
  if (await tryAcquireLink(deps, ctx, placement)) return Ok(placement);
  releasePlacement(deps, ctx, placement);
  if (regions.length === 1) {
    return Err(Respond.createRejection("linkCap", "not-run"));
  }
  // Another region, often the local one, may have capacity that does not need this link.
  const nextAvoidedRegions = new Set([...avoidedRegions, placement.region]);
  return await acquirePlacement(deps, ctx, excludedTargets, nextAvoidedRegions);
}

async function tryAcquireLink(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Placement,
): Promise<boolean> {
  const { link } = placement;
  const remainingMs = Context.getRemainingMs(ctx, deps.clock);
  const waitMs = Math.min(MAX_CAP_WAIT_MS, remainingMs);
  return link === undefined ||
    await link.acquireForRequest(getBodyBytes(ctx), waitMs);
}

/** Releases an unused placement: settles the link, releases the slot and refunds the cap token. */
export function releasePlacement(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Placement,
): void {
  placement.link?.settle();
  placement.slot.release({ kind: "cancelled" });
  const key = getCapKey(ctx.route.service, placement.region);
  deps.budgets.refund(key, 1, placement.capAcquiredAtMs);
}
