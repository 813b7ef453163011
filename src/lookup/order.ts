/**
 * Which entry instances a caller should use. Instances of the own failure
 * domain come first, then the own region, then others; within each group those
 * that hold more of the account's budget get more of its callers, so that the
 * account's tokens are where its requests arrive.
 */
import type * as Types from "../types.ts";

/** One instance of a lookup answer. */
export interface LookupInstance {
  readonly id: Types.InstanceId;
  readonly address: Types.Address;
  /** Relative share of callers within the same group, 1 to 100. */
  readonly weight: number;
  readonly domain: Types.Domain;
}

/** What the order depends on. */
export interface OrderInput {
  readonly domain: Types.Domain;
  readonly region: Types.Region;
  readonly candidates: readonly Types.Heartbeat[];
  /** Requests per second of the caller's account that the instance's shards carry. */
  readonly getAllocatedRate: (candidate: Types.Heartbeat) => number;
}

/** A domain's budget of an account lies on at most 8 shards, so on 8 instances. */
const MAX_PER_GROUP = 8;
const MAX_WEIGHT = 100;
/** An instance without budget can still borrow; it stays a last choice of its group. */
const MIN_WEIGHT = 1;
/** A full instance gets this part of its share. */
const FULL_LOAD_FACTOR = 0.1;

function getGroup(input: OrderInput, candidate: Types.Heartbeat): number {
  if (candidate.domain === input.domain) return 0;
  return candidate.region === input.region ? 1 : 2;
}

function getScore(input: OrderInput, candidate: Types.Heartbeat): number {
  const spare = Math.max(FULL_LOAD_FACTOR, 1 - candidate.load);
  return input.getAllocatedRate(candidate) * spare;
}

interface Scored {
  readonly candidate: Types.Heartbeat;
  readonly score: number;
}

function isBetter(a: Scored, b: Scored): boolean {
  if (a.score !== b.score) return a.score > b.score;
  return a.candidate.id < b.candidate.id;
}

/**
 * Puts an entry into the ordered best of its group, so that an answer stays
 * small in a large fleet. Sorting all of 620 candidates took most of the time
 * of an answer.
 */
function keepBest(best: Scored[], entry: Scored): void {
  const last = best[MAX_PER_GROUP - 1];
  if (last !== undefined && !isBetter(entry, last)) return;
  const at = best.findIndex((one) => isBetter(entry, one));
  best.splice(at < 0 ? best.length : at, 0, entry);
  if (best.length > MAX_PER_GROUP) best.pop();
}

/** Instances in the order to use them; leaving ones are left out. */
export function orderInstances(input: OrderInput): readonly LookupInstance[] {
  const groups: readonly Scored[][] = [[], [], []];
  let top = Number.MIN_VALUE;
  for (const candidate of input.candidates) {
    if (candidate.state !== "live") continue;
    const score = getScore(input, candidate);
    top = Math.max(top, score);
    const best = groups[getGroup(input, candidate)];
    if (best !== undefined) keepBest(best, { candidate, score });
  }
  return groups.flat().map(({ candidate, score }) => ({
    id: candidate.id,
    address: candidate.callerAddress,
    weight: Math.max(MIN_WEIGHT, Math.round(MAX_WEIGHT * score / top)),
    domain: candidate.domain,
  }));
}
