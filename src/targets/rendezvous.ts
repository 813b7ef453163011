/**
 * Assigns the slots of a target to entry instances by weighted rendezvous
 * hashing. Promise: instances that see the same live instances agree, without a
 * message, on one owner per slot; a joining or leaving instance moves only the
 * slots that it gains or loses. While views differ a slot may have two owners,
 * and then the target sheds.
 */
import * as Hash from "../hash.ts";
import type * as Types from "../types.ts";

/** An entry instance that may own slots. */
export interface LiveInstance {
  readonly id: Types.InstanceId;
  readonly domain: Types.Domain;
  readonly region: Types.Region;
}

const WEIGHT_SAME_DOMAIN = 4;
const WEIGHT_SAME_REGION = 2;
const WEIGHT_OTHER = 1;

/** Instances that have the same weight for a target. */
interface WeightClass {
  readonly weight: number;
  readonly instances: readonly LiveInstance[];
  /** Hashes of the instances, as an array of integers for the inner loop. */
  readonly hashes: Int32Array;
}

/** The live instances, prepared for the assignment of slots. */
export interface Candidates {
  readonly size: number;
  /** The instances by their weight for targets of a domain. */
  getClasses(
    domain: Types.Domain,
    region: Types.Region,
  ): readonly WeightClass[];
}

function getWeight(
  instance: LiveInstance,
  domain: Types.Domain,
  region: Types.Region,
): number {
  if (instance.domain === domain) return WEIGHT_SAME_DOMAIN;
  return instance.region === region ? WEIGHT_SAME_REGION : WEIGHT_OTHER;
}

/** Prepares instances, once per change; targets of a domain share the classes. */
export function createCandidates(
  instances: readonly LiveInstance[],
): Candidates {
  // The order decides between equal hashes, so all instances need the same one.
  const sorted = instances.toSorted((a, b) => a.id < b.id ? -1 : 1);
  const known = new Map<string, readonly WeightClass[]>();

  function createClasses(
    domain: Types.Domain,
    region: Types.Region,
  ): readonly WeightClass[] {
    const weights = [WEIGHT_SAME_DOMAIN, WEIGHT_SAME_REGION, WEIGHT_OTHER];
    return weights.map((weight) => {
      const members = sorted.filter((each) =>
        getWeight(each, domain, region) === weight
      );
      const hashes = Int32Array.from(
        members,
        ({ id }) => Hash.mixBits(Hash.fnv1a(id)),
      );
      return { weight, instances: members, hashes };
    });
  }

  return {
    size: instances.length,
    getClasses(domain, region) {
      const key = `${domain}\n${region}`;
      const classes = known.get(key) ?? createClasses(domain, region);
      known.set(key, classes);
      return classes;
    },
  };
}

/** Weighted rendezvous score of a hash; the highest score owns the slot. */
function getScore(hash: number, weight: number): number {
  const uniform = (hash + 2 ** 31 + 0.5) / 2 ** 32;
  return -weight / Math.log(uniform);
}

/** Owner of a slot; undefined without candidates. */
function tryGetOwner(
  slotHash: number,
  classes: readonly WeightClass[],
): Types.InstanceId | undefined {
  let owner: Types.InstanceId | undefined;
  let bestScore = -Infinity;
  for (const { weight, instances, hashes } of classes) {
    // Within a weight the highest hash has the highest score.
    let bestHash = -(2 ** 31) - 1;
    let place = -1;
    for (let i = 0; i < hashes.length; i++) {
      const hash = Hash.mixBits(slotHash ^ (hashes[i] ?? 0));
      if (hash <= bestHash) continue;
      bestHash = hash;
      place = i;
    }
    const best = instances[place];
    if (best === undefined) continue;
    const score = getScore(bestHash, weight);
    if (score <= bestScore) continue;
    bestScore = score;
    owner = best.id;
  }
  return owner;
}

/** Numbers of the target's slots that `self` owns, ascending. */
export function getOwnSlots(
  target: Types.PlatformInstance,
  self: Types.InstanceId,
  candidates: Candidates,
): readonly number[] {
  const targetHash = Hash.fnv1a(target.id);
  const classes = candidates.getClasses(target.domain, target.region);
  const own: number[] = [];
  for (let slot = 0; slot < target.slots; slot++) {
    const slotHash = Hash.mixBits(targetHash + Math.imul(slot + 1, 0x9e3779b9));
    if (tryGetOwner(slotHash, classes) === self) own.push(slot);
  }
  return own;
}
