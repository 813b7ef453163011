/**
 * Assigns the slots of a target to entry instances by weighted rendezvous
 * hashing. Promise: instances that see the same live instances agree, without a
 * message, on one owner per slot; a joining or leaving instance moves only the
 * slots that it gains or loses. While views differ a slot may have two owners,
 * and then the target sheds.
 */
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

/** FNV-1a over UTF-16 code units, 32 bits. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  return hash >>> 0;
}

/** Finalizer of MurmurHash3: spreads each input bit over all output bits. */
function mix(value: number): number {
  let x = value;
  x = Math.imul(x ^ (x >>> 16), 0x85ebca6b);
  x = Math.imul(x ^ (x >>> 13), 0xc2b2ae35);
  return (x ^ (x >>> 16)) >>> 0;
}

function getWeight(
  target: Types.PlatformInstance,
  instance: LiveInstance,
): number {
  if (instance.domain === target.domain) return WEIGHT_SAME_DOMAIN;
  if (instance.region === target.region) return WEIGHT_SAME_REGION;
  return WEIGHT_OTHER;
}

/** Score of one instance for one slot; the highest score owns the slot. */
function getScore(slotHash: number, idHash: number, weight: number): number {
  const uniform = (mix(slotHash ^ idHash) + 0.5) / 2 ** 32;
  return -weight / Math.log(uniform);
}

/** Numbers of the target's slots that `self` owns, ascending. */
export function getOwnSlots(
  target: Types.PlatformInstance,
  self: Types.InstanceId,
  instances: readonly LiveInstance[],
): readonly number[] {
  const targetHash = hashText(target.id);
  const candidates = instances.map((instance) => ({
    id: instance.id,
    hash: mix(hashText(instance.id)),
    weight: getWeight(target, instance),
  }));
  const own: number[] = [];
  for (let slot = 0; slot < target.slots; slot++) {
    const slotHash = mix(targetHash + Math.imul(slot + 1, 0x9e3779b9));
    let owner = self;
    let best = -Infinity;
    for (const { id, hash, weight } of candidates) {
      const score = getScore(slotHash, hash, weight);
      const isBetter = score > best || (score === best && id < owner);
      if (isBetter) [best, owner] = [score, id];
    }
    if (owner === self) own.push(slot);
  }
  return own;
}
