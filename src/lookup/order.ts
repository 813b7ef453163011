/**
 * Order of the entry instances that a caller should use. Instances in the local
 * failure domain come first, then the local region, then all others. Within each
 * group, instances with a larger allocation of the account's budget get more of
 * its callers, so that its requests arrive where its tokens are.
 */
import type * as Types from "../types.ts";

/** An instance in a lookup response. */
export interface LookupInstance {
  readonly id: Types.InstanceId;
  readonly address: Types.Address;
  /** Relative share of callers within the same group, 1 to 100. */
  readonly weight: number;
  readonly domain: Types.Domain;
}

/** Inputs of the order. */
export interface OrderInput {
  readonly domain: Types.Domain;
  readonly region: Types.Region;
  readonly candidates: readonly Types.Heartbeat[];
  /** Requests per second of the account's budget that are allocated to the instance's shards. */
  readonly getAllocatedRate: (candidate: Types.Heartbeat) => number;
}

/** A domain's budget of an account is spread over at most 8 shards, so over at most 8 instances. */
const MAX_PER_GROUP = 8;
const MAX_WEIGHT = 100;
/** An instance without budget can still borrow, so it remains the last choice of its group. */
const MIN_WEIGHT = 1;
/** Lower limit of the load factor: a fully loaded instance keeps this fraction of its score. */
const FULL_LOAD_FACTOR = 0.1;

function getGroup(input: OrderInput, candidate: Types.Heartbeat): number {
  if (candidate.domain === input.domain) return 0;
  return candidate.region === input.region ? 1 : 2;
}

function getScore(input: OrderInput, candidate: Types.Heartbeat): number {
  const unusedCapacity = Math.max(FULL_LOAD_FACTOR, 1 - candidate.load);
  return input.getAllocatedRate(candidate) * unusedCapacity;
}

interface ScoredCandidate {
  readonly candidate: Types.Heartbeat;
  readonly score: number;
}

function isBetter(a: ScoredCandidate, b: ScoredCandidate): boolean {
  if (a.score !== b.score) return a.score > b.score;
  return a.candidate.id < b.candidate.id;
}

/**
 * Inserts an entry into the ranked list of its group, which keeps the best 8, so
 * that a response stays small in a large fleet. Sorting all of 620 candidates
 * took most of the time of a lookup.
 */
function insertRanked(best: ScoredCandidate[], entry: ScoredCandidate): void {
  const worst = best[MAX_PER_GROUP - 1];
  if (worst !== undefined && !isBetter(entry, worst)) return;
  const index = best.findIndex((ranked) => isBetter(entry, ranked));
  best.splice(index < 0 ? best.length : index, 0, entry);
  if (best.length > MAX_PER_GROUP) best.pop();
}

/** Returns the instances in the order of preference, without those that are not `live`. */
export function orderInstances(input: OrderInput): readonly LookupInstance[] {
  const groups: readonly ScoredCandidate[][] = [[], [], []];
  let maxScore = Number.MIN_VALUE;
  for (const candidate of input.candidates) {
    if (candidate.state !== "live") continue;
    const score = getScore(input, candidate);
    maxScore = Math.max(maxScore, score);
    const best = groups[getGroup(input, candidate)];
    if (best !== undefined) insertRanked(best, { candidate, score });
  }
  return groups.flat().map(({ candidate, score }) => ({
    id: candidate.id,
    address: candidate.callerAddress,
    weight: Math.max(MIN_WEIGHT, Math.round(MAX_WEIGHT * score / maxScore)),
    domain: candidate.domain,
  }));
}
