/** Non-cryptographic hashing whose results are the same in every process. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Adds one code unit to an FNV-1a hash; the result is a signed 32-bit number. */
export function updateFnv1a(hash: number, codeUnit: number): number {
  return Math.imul(hash ^ codeUnit, FNV_PRIME);
}

/** Returns the FNV-1a hash of UTF-16 code units, a signed 32-bit number; `seed` continues an earlier hash. */
export function fnv1a(input: string, seed = FNV_OFFSET): number {
  let hash = seed;
  for (let i = 0; i < input.length; i++) {
    hash = updateFnv1a(hash, input.charCodeAt(i));
  }
  return hash | 0;
}

/**
 * Applies the finalizer of MurmurHash3: each input bit affects all output bits of
 * the signed 32-bit result. With FNV alone, similar inputs have similar hashes.
 */
export function mixBits(value: number): number {
  let x = value;
  x = Math.imul(x ^ (x >>> 16), 0x85ebca6b);
  x = Math.imul(x ^ (x >>> 13), 0xc2b2ae35);
  return x ^ (x >>> 16);
}
