import { createHash } from 'node:crypto';
import type { AccountId, IdempotencyKey } from '../lib/ids.ts';

const CLAIM_KEY_DIGITS = 32;
const SHARD_DIGITS = 8;
const HEX_RADIX = 16;

/**
 * Names a request in the claim log: a digest, so that entries have one size and show no data.
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
 * @param claimKey - a key of {@link getClaimKey}
 * @param shardCount - how many shards the claim log has; the same at every host
 * @returns the shard that holds the key, from 0
 */
export function getShardIndex(claimKey: string, shardCount: number): number {
  return Number.parseInt(claimKey.slice(0, SHARD_DIGITS), HEX_RADIX) % shardCount;
}
