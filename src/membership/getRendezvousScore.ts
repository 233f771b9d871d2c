const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 0x1_0000_0000;

/**
 * Computes the score of a pair for rendezvous hashing: the candidate with the highest score for a
 * key owns it. Uses FNV-1a and then the 32-bit finalizer of MurmurHash3, since FNV alone mixes the
 * last characters badly.
 *
 * @param key - the key to assign
 * @param candidate - a possible owner of the key
 * @returns a number in [0, 1), equal on all hosts
 */
export function getRendezvousScore(key: string, candidate: string): number {
  const text = `${key}\n${candidate}`;
  let hash = FNV_OFFSET_BASIS;
  /* eslint-disable no-bitwise -- 32-bit integer hash */
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return ((hash ^ (hash >>> 16)) >>> 0) / UINT32_RANGE;
  /* eslint-enable no-bitwise */
}
