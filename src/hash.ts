/** Non-cryptographic hashing whose results are the same in every process. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** One step of FNV-1a, signed 32 bits. */
export function fnvStep(hash: number, unit: number): number {
  return Math.imul(hash ^ unit, FNV_PRIME);
}

/** FNV-1a over UTF-16 code units, signed 32 bits; `seed` continues an earlier hash. */
export function fnv1a(text: string, seed = FNV_OFFSET): number {
  let hash = seed;
  for (let i = 0; i < text.length; i++) {
    hash = fnvStep(hash, text.charCodeAt(i));
  }
  return hash | 0;
}

/**
 * Finalizer of MurmurHash3, signed 32 bits: spreads each input bit over all
 * output bits. FNV alone leaves similar texts with similar hashes.
 */
export function mix(value: number): number {
  let x = value;
  x = Math.imul(x ^ (x >>> 16), 0x85ebca6b);
  x = Math.imul(x ^ (x >>> 13), 0xc2b2ae35);
  return x ^ (x >>> 16);
}
