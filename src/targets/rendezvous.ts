/**
 * Assigns the slots of a target to entry instances by weighted rendezvous
 * hashing. Guarantee: instances that see the same live instances agree, without
 * a message, on one owner per slot, and a joining or leaving instance moves only
 * the slots that it gains or loses. While views differ, a slot may have two
 * owners; the target then sheds.
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
const WEIGHT_REMOTE = 1;

/** Instances that have the same weight for a target. */
interface WeightClass {
  readonly weight: number;
  readonly instances: readonly LiveInstance[];
  /** Hashes of the instances, in the same order; a typed array for the inner loop. */
  readonly hashes: Int32Array;
}

/** The live instances, grouped by weight for the assignment of slots. */
export interface WeightedInstances {
  readonly size: number;
  /** Returns the instances grouped by their weight for targets of a domain. */
  getWeightClasses(
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
  return instance.region === region ? WEIGHT_SAME_REGION : WEIGHT_REMOTE;
}

/** Prepares the live instances, once per change; all targets of a domain share the weight classes. */
export function createWeightedInstances(
  instances: readonly LiveInstance[],
): WeightedInstances {
  // The order decides between equal hashes, so it must be the same in all instances.
  const sorted = instances.toSorted((a, b) => a.id < b.id ? -1 : 1);
  const classesByDomain = new Map<string, readonly WeightClass[]>();

  function createClasses(
    domain: Types.Domain,
    region: Types.Region,
  ): readonly WeightClass[] {
    const weights = [WEIGHT_SAME_DOMAIN, WEIGHT_SAME_REGION, WEIGHT_REMOTE];
    return weights.map((weight) => {
      const classInstances = sorted.filter((instance) =>
        getWeight(instance, domain, region) === weight
      );
      const hashes = Int32Array.from(
        classInstances,
        ({ id }) => Hash.mixBits(Hash.fnv1a(id)),
      );
      return { weight, instances: classInstances, hashes };
    });
  }

  return {
    size: instances.length,
    getWeightClasses(domain, region) {
      const key = `${domain}\n${region}`;
      const classes = classesByDomain.get(key) ?? createClasses(domain, region);
      classesByDomain.set(key, classes);
      return classes;
    },
  };
}

/** Returns the weighted rendezvous score of a hash; the instance with the highest score owns the slot. */
function getScore(hash: number, weight: number): number {
  const uniform = (hash + 2 ** 31 + 0.5) / 2 ** 32;
  return -weight / Math.log(uniform);
}

/** Returns the owner of a slot; undefined if there are no instances. */
function tryGetOwner(
  slotHash: number,
  classes: readonly WeightClass[],
): Types.InstanceId | undefined {
  let owner: Types.InstanceId | undefined;
  let bestScore = -Infinity;
  for (const { weight, instances, hashes } of classes) {
    // Among instances of the same weight the highest hash has the highest score.
    let bestHash = -(2 ** 31) - 1;
    let bestIndex = -1;
    for (let i = 0; i < hashes.length; i++) {
      const hash = Hash.mixBits(slotHash ^ (hashes[i] ?? 0));
      if (hash <= bestHash) continue;
      bestHash = hash;
      bestIndex = i;
    }
    const bestInstance = instances[bestIndex];
    if (bestInstance === undefined) continue;
    const score = getScore(bestHash, weight);
    if (score <= bestScore) continue;
    bestScore = score;
    owner = bestInstance.id;
  }
  return owner;
}

/** Returns the numbers of the target's slots that `self` owns, ascending from 0. */
export function getOwnedSlots(
  target: Types.PlatformInstance,
  self: Types.InstanceId,
  instances: WeightedInstances,
): readonly number[] {
  const targetHash = Hash.fnv1a(target.id);
  const classes = instances.getWeightClasses(target.domain, target.region);
  const ownedSlots: number[] = [];
  for (let slot = 0; slot < target.slots; slot++) {
    const slotHash = Hash.mixBits(targetHash + Math.imul(slot + 1, 0x9e3779b9));
    if (tryGetOwner(slotHash, classes) === self) ownedSlots.push(slot);
  }
  return ownedSlots;
}
