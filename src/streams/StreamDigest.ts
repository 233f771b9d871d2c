import { createHash } from 'node:crypto';
import type { Brand } from '../lib/Brand.ts';
import type { PoolId } from '../lib/ids.ts';

/** Short digest of a stream's pool and of the client attempt that brought its first event. */
export type StreamDigest = Brand<string, 'StreamDigest'>;

/** Length of a digest; 12 characters of base64 hold 72 bits. */
const DIGEST_LENGTH = 12;

/**
 * Computes the digest under which hosts share the software version of a stream.
 *
 * @param poolId - the pool whose engine began the stream
 * @param requestId - id of the client attempt that brought its first event
 * @returns the digest
 */
export function getStreamDigest(poolId: PoolId, requestId: string): StreamDigest {
  return createHash('sha256')
    .update(`${poolId}\n${requestId}`)
    .digest('base64url')
    .slice(0, DIGEST_LENGTH) as StreamDigest;
}
