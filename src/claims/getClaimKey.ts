import { createHash } from 'node:crypto';
import type { AccountId, IdempotencyKey } from '../lib/ids.ts';

const CLAIM_KEY_DIGITS = 32;
const SHARD_DIGITS = 8;
const HEX_RADIX = 16;

/**
 * Returns the key of a request in the claim log: a digest, so it has one size and reveals no data.
 *
 * @param accountId - the client account
 * @param idempotencyKey - the key that the caller chose; unique within its account
 * @returns 32 hexadecimal digits
 */
export function getClaimKey(accountId: AccountId, idempotencyKey: IdempotencyKey): string {
  return createHash('sha256')
    .update(JSON.stringify([accountId, idempotencyKey]))
    .digest('hex')
    .slice(0, CLAIM_KEY_DIGITS);
}

/**
 * Returns the shard that holds a claim key.
 *
 * @param claimKey - a key of {@link getClaimKey}
 * @param shardCount - number of shards of the claim log; the same on every host
 * @returns the index of the shard, from 0
 */
export function getShardIndex(claimKey: string, shardCount: number): number {
  return Number.parseInt(claimKey.slice(0, SHARD_DIGITS), HEX_RADIX) % shardCount;
}
