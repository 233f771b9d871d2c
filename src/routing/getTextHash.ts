/* eslint-disable no-bitwise -- hashes work on bits */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FACTOR_1 = 0x85ebca6b;
const MIX_FACTOR_2 = 0xc2b2ae35;

/**
 * Computes the 32-bit FNV-1a hash over UTF-16 code units: fast, not collision resistant.
 *
 * @param text - any text
 * @returns an unsigned 32-bit number
 */
export function getTextHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * Mixes two hashes with the finalizer of MurmurHash3.
 *
 * @param left - an unsigned 32-bit number
 * @param right - another one
 * @returns an unsigned 32-bit number
 */
export function mixHashes(left: number, right: number): number {
  let hash = Math.imul(left, MIX_FACTOR_1) ^ right;
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FACTOR_1);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_FACTOR_2);
  return (hash ^ (hash >>> 16)) >>> 0;
}
