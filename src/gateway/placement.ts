/**
 * Ranks the targets of a service for an affinity key, the name of the object that
 * a request concerns. The target with rank 0 is the key's primary target and
 * normally serves it; the next ranks take requests that the primary target has no
 * room for.
 *
 * Load pattern: many callers request few objects repeatedly. A target that served
 * an affinity key lately has it cached and serves it about three times as fast,
 * so requests with the same key should reach the same target.
 *
 * All instances rank by the same weighted rendezvous hash and so agree without
 * exchanging messages. A key gets another primary target only when the set of
 * targets changes.
 */
import type * as Types from "../types.ts";
import * as Hash from "../hash.ts";
import * as Rendezvous from "../rendezvous.ts";
import * as RegionPlan from "./region_plan.ts";
import type * as StateModule from "./state.ts";

/** Candidates of an affinity key: its primary target and three for overflow. */
const MAX_CANDIDATES = 4;
/** Affinity keys whose ranking is cached; about 200 bytes each. */
const MAX_CACHED_RANKINGS = 20_000;

/** Ranks targets. */
export interface Placement {
  /**
   * The candidates of an affinity key among `targets`, highest ranked first.
   * `scope` names the set of targets, `epoch` the version of the membership; both
   * identify the cached ranking.
   */
  rank(
    scope: string,
    affinityKey: string,
    epoch: number,
    targets: readonly StateModule.KnownTarget[],
  ): readonly StateModule.KnownTarget[];
}

/** Weight of one slot in each region for the affinity keys of one region. */
export type RegionWeights = ReadonlyMap<Types.Region, number>;

/**
 * Weights that give each region its planned share of the affinity keys, spread
 * evenly over its slots.
 */
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

/**
 * The `count` highest ranked targets. A target is the primary target of more
 * affinity keys the more slots it has and the higher its region's weight is.
 */
export function rankTargets(
  affinityKey: string,
  targets: readonly StateModule.KnownTarget[],
  weights: RegionWeights,
  count: number,
): readonly StateModule.KnownTarget[] {
  const ranked: { target: StateModule.KnownTarget; score: number }[] = [];
  for (const target of targets) {
    const { id, slots } = target.entry;
    const uniform = (Rendezvous.score(affinityKey, id) + 0.5) / 2 ** 32;
    const weight = slots * (weights.get(target.region) ?? 0);
    const score = -weight / Math.log(uniform);
    let rank = ranked.length;
    while (rank > 0 && isBefore(id, score, ranked[rank - 1]!)) rank--;
    if (rank >= count) continue;
    ranked.splice(rank, 0, { target, score });
    if (ranked.length > count) ranked.pop();
  }
  return ranked.map(({ target }) => target);
}

/** Orders by score, equal scores by id. */
function isBefore(
  id: Types.TargetId,
  score: number,
  other: { readonly target: StateModule.KnownTarget; readonly score: number },
): boolean {
  if (score !== other.score) return score > other.score;
  return id < other.target.entry.id;
}

/**
 * Creates a ranking for requests from the region `origin`. Rankings are cached
 * until the membership epoch changes.
 */
export function createPlacement(opts: {
  readonly origin: Types.Region;
  /** Each region's share of the requests, in any unit. */
  readonly demand: ReadonlyMap<Types.Region, number>;
}): Placement {
  let cachedEpoch = -1;
  const rankings = new Map<string, readonly StateModule.KnownTarget[]>();
  const weightsByScope = new Map<string, RegionWeights>();

  function getWeights(
    scope: string,
    targets: readonly StateModule.KnownTarget[],
  ): RegionWeights {
    const cachedWeights = weightsByScope.get(scope);
    if (cachedWeights !== undefined) return cachedWeights;
    const weights = getRegionWeights(opts.origin, targets, opts.demand);
    weightsByScope.set(scope, weights);
    return weights;
  }

  return {
    rank(scope, affinityKey, epoch, targets) {
      if (epoch !== cachedEpoch || rankings.size > MAX_CACHED_RANKINGS) {
        rankings.clear();
        weightsByScope.clear();
        cachedEpoch = epoch;
      }
      const rankingKey = `${scope} ${affinityKey}`;
      const cachedRanking = rankings.get(rankingKey);
      if (cachedRanking !== undefined) return cachedRanking;
      const ranking = rankTargets(
        affinityKey,
        targets,
        getWeights(scope, targets),
        MAX_CANDIDATES,
      );
      rankings.set(rankingKey, ranking);
      return ranking;
    },
  };
}

/**
 * Creates an affinity key for a request that has none; such requests are spread
 * evenly over the targets.
 */
export function createSpreadKey(requestId: string): string {
  return `request ${Hash.fnv1a(requestId)}`;
}
