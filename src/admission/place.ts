/**
 * Finds a place for one request: a region within its cap, its link, and a slot
 * of a target. Promise: no request goes to a region without a token of its cap,
 * and what a request does not use is given back.
 */
import { Err, Ok, type Result } from "ts-results-es";
import type * as Contracts from "../contracts.ts";
import * as Link from "../forward/link.ts";
import * as Respond from "../forward/respond.ts";
import type * as Types from "../types.ts";
import * as Account from "./account.ts";
import * as Context from "./context.ts";
import * as Renewal from "./renewal.ts";

/** Longest wait for a region's cap before the next region is tried. */
const CAP_WAIT_MS = 150;
/** A request that waited this long for a slot may leave its first region. */
const SPILL_AFTER_MS = 20;

/** A slot and the budget token that goes with it. */
export interface Placement {
  readonly region: Types.Region;
  readonly slot: Contracts.SlotLease;
  readonly link: Link.LinkMeter | undefined;
  /** When the region's token was taken, in monotonic ms. */
  readonly capTakenAtMs: number;
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

/** Takes a cap token of the first region that has one. */
async function takeCap(
  deps: Context.Deps,
  ctx: Context.Context,
  regions: readonly Types.Region[],
): Promise<Types.Region | undefined> {
  const { service } = ctx.route;
  const quick = regions.find((region) =>
    deps.budgets.tryTake(getCapKey(service, region), 1)
  );
  if (quick !== undefined) return quick;
  for (const region of regions) {
    const waitMs = Math.min(
      CAP_WAIT_MS,
      Context.getRemainingMs(ctx, deps.clock),
    );
    const taken = await deps.budgets.take(
      getCapKey(service, region),
      1,
      waitMs,
    );
    if (taken.isOk()) return region;
  }
  return undefined;
}

/** A slot in the chosen region or, after a while, in another one whose cap allows it. */
function tryGetSlot(
  deps: Context.Deps,
  ctx: Context.Context,
  chosen: Types.Region,
  regions: readonly Types.Region[],
  exclude: ReadonlySet<string>,
  waitedMs: number,
): { region: Types.Region; slot: Contracts.SlotLease } | undefined {
  const { service } = ctx.route;
  const slot = deps.targets.tryAcquire(service, chosen, exclude);
  if (slot !== undefined) return { region: chosen, slot };
  if (waitedMs < SPILL_AFTER_MS) return undefined;
  for (const region of regions) {
    if (region === chosen) continue;
    const capKey = getCapKey(service, region);
    if (!deps.budgets.tryTake(capKey, 1)) continue;
    const other = deps.targets.tryAcquire(service, region, exclude);
    if (other !== undefined) {
      deps.budgets.giveBack(getCapKey(service, chosen), 1);
      return { region, slot: other };
    }
    deps.budgets.giveBack(capKey, 1);
  }
  return undefined;
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
  }
}

/** Waits for a place until the deadline; a failure means that nothing was sent. */
export async function place(
  deps: Context.Deps,
  ctx: Context.Context,
  exclude: ReadonlySet<string>,
): Promise<Result<Placement, Respond.Refusal>> {
  const { service } = ctx.route;
  const regions = getRegions(deps, service);
  if (regions.length === 0) return Err(Respond.refuse("noTarget", "not-run"));
  const chosen = await takeCap(deps, ctx, regions);
  if (chosen === undefined) {
    const first = getCapKey(service, regions[0] ?? "");
    const waitMs = deps.budgets.getWaitMs(first, 1);
    return Err(Respond.refuse("regionCap", "not-run", waitMs));
  }
  const queuedAtMs = deps.clock.nowMs();
  const found = await deps.queue.wait(
    {
      service,
      account: ctx.caller.account,
      deadlineAtMs: ctx.deadlineAtMs,
      signal: ctx.signal,
    },
    () => {
      const waitedMs = deps.clock.nowMs() - queuedAtMs;
      const got = tryGetSlot(deps, ctx, chosen, regions, exclude, waitedMs);
      if (got === undefined) return undefined;
      // A token for another region was taken only now.
      const capTakenAtMs = got.region === chosen
        ? queuedAtMs
        : deps.clock.nowMs();
      const link = createMeter(deps, ctx, got.region);
      return { ...got, link, capTakenAtMs };
    },
  );
  if (found.isErr()) {
    deps.budgets.giveBack(getCapKey(service, chosen), 1);
    return Err({ failure: found.error, outcome: "not-run" });
  }
  const paid = await payLink(deps, ctx, found.value);
  return paid.isErr() ? paid : await renewTokens(deps, ctx, paid.value);
}

/** Last step before sending: tokens that waited with the request are taken anew. */
async function renewTokens(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Placement,
): Promise<Result<Placement, Respond.Refusal>> {
  const refusal = await Account.renewToken(deps, ctx);
  if (refusal !== undefined) {
    abandon(deps, ctx, placement);
    return Err(refusal);
  }
  const key = getCapKey(ctx.route.service, placement.region);
  const { capTakenAtMs } = placement;
  if (!Renewal.isTooOld(deps, key, capTakenAtMs)) return Ok(placement);
  if (await Renewal.renew(deps, ctx, key, capTakenAtMs)) {
    return Ok({ ...placement, capTakenAtMs: deps.clock.nowMs() });
  }
  placement.link?.settle();
  placement.slot.release({ kind: "cancelled" });
  const waitMs = deps.budgets.getWaitMs(key, 1);
  return Err(Respond.refuse("regionCap", "not-run", waitMs));
}

async function payLink(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Placement,
): Promise<Result<Placement, Respond.Refusal>> {
  const { link } = placement;
  const remainingMs = Context.getRemainingMs(ctx, deps.clock);
  const isPaid = link === undefined ||
    await link.payRequest(
      getBodyBytes(ctx),
      Math.min(CAP_WAIT_MS, remainingMs),
    );
  if (isPaid) return Ok(placement);
  abandon(deps, ctx, placement);
  return Err(Respond.refuse("linkCap", "not-run"));
}

/** Gives a place back unused. */
export function abandon(
  deps: Context.Deps,
  ctx: Context.Context,
  placement: Placement,
): void {
  placement.link?.settle();
  placement.slot.release({ kind: "cancelled" });
  deps.budgets.giveBack(getCapKey(ctx.route.service, placement.region), 1);
}
