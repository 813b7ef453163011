/**
 * Which target serves an object. Load pattern: many callers ask for few objects
 * again and again, and a target that served an object lately serves it about
 * three times as fast. All instances rank the targets of a service by the same
 * hash of the object, without a message; an object moves only when the set of
 * targets changes or its place is full.
 */
import type * as Types from "../types.ts";
import * as Hash from "../hash.ts";
import * as Rendezvous from "../rendezvous.ts";
import * as RegionPlan from "./region_plan.ts";
import type * as StateModule from "./state.ts";

/** Places of an object that are considered: its own and those for overflow. */
const PLACES = 4;
/** Objects whose ranking is kept; about 200 bytes each. */
const MAX_CACHED = 20_000;

/** Ranks targets. */
export interface Placement {
  /** The first places of an object among the targets, best first. */
  rank(
    scope: string,
    objectKey: string,
    epoch: number,
    targets: readonly StateModule.KnownTarget[],
  ): readonly StateModule.KnownTarget[];
}

/** Weight of a target's region for the objects of one region. */
export type RegionWeights = ReadonlyMap<Types.Region, number>;

/** Weights so that each region gets its share of the objects, spread over its slots. */
export function getRegionWeights(
  origin: Types.Region,
  targets: readonly StateModule.KnownTarget[],
  demand: ReadonlyMap<Types.Region, number>,
): RegionWeights {
  const slots = new Map<Types.Region, number>();
  for (const { entry, region } of targets) {
    slots.set(region, (slots.get(region) ?? 0) + entry.slots);
  }
  const weights = new Map<Types.Region, number>();
  for (const [region, share] of RegionPlan.planShares(origin, slots, demand)) {
    weights.set(region, share / (slots.get(region) ?? 1));
  }
  return weights;
}

/** The highest ranked targets; more slots and a higher weight of the region get more objects. */
export function rankTargets(
  objectKey: string,
  targets: readonly StateModule.KnownTarget[],
  weights: RegionWeights,
  count: number,
): readonly StateModule.KnownTarget[] {
  const best: { target: StateModule.KnownTarget; score: number }[] = [];
  for (const target of targets) {
    const { id, slots } = target.entry;
    const uniform = (Rendezvous.score(objectKey, id) + 0.5) / 2 ** 32;
    const weight = slots * (weights.get(target.region) ?? 0);
    const score = -weight / Math.log(uniform);
    let at = best.length;
    while (at > 0 && isBefore(id, score, best[at - 1]!)) at--;
    if (at >= count) continue;
    best.splice(at, 0, { target, score });
    if (best.length > count) best.pop();
  }
  return best.map(({ target }) => target);
}

function isBefore(
  id: Types.TargetId,
  score: number,
  other: { readonly target: StateModule.KnownTarget; readonly score: number },
): boolean {
  if (score !== other.score) return score > other.score;
  return id < other.target.entry.id;
}

/** Creates a ranking for the objects of `origin`, with a cache that lasts as long as the set of targets. */
export function createPlacement(opts: {
  readonly origin: Types.Region;
  /** Each region's share of the requests, in any unit. */
  readonly demand: ReadonlyMap<Types.Region, number>;
}): Placement {
  let cachedEpoch = -1;
  const cache = new Map<string, readonly StateModule.KnownTarget[]>();
  const weightsOfScope = new Map<string, RegionWeights>();

  function getWeights(
    scope: string,
    targets: readonly StateModule.KnownTarget[],
  ): RegionWeights {
    const known = weightsOfScope.get(scope);
    if (known !== undefined) return known;
    const weights = getRegionWeights(opts.origin, targets, opts.demand);
    weightsOfScope.set(scope, weights);
    return weights;
  }

  return {
    rank(scope, objectKey, epoch, targets) {
      if (epoch !== cachedEpoch || cache.size > MAX_CACHED) {
        cache.clear();
        weightsOfScope.clear();
        cachedEpoch = epoch;
      }
      const cacheKey = `${scope} ${objectKey}`;
      const known = cache.get(cacheKey);
      if (known !== undefined) return known;
      const ranked = rankTargets(
        objectKey,
        targets,
        getWeights(scope, targets),
        PLACES,
      );
      cache.set(cacheKey, ranked);
      return ranked;
    },
  };
}

/** A key for requests without an object: spreads them evenly. */
export function makeSpreadKey(requestId: string): string {
  return `request ${Hash.fnv1a(requestId)}`;
}
