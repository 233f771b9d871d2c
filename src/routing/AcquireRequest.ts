import type {
  AccountId, PoolId, RequestId, UpstreamId,
} from '../lib/ids.ts';

/** What an attempt needs. */
export interface AcquireRequest {
  readonly poolId: PoolId;
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  /** Requests with the same key go to the same upstream while it has room; null for none. */
  readonly affinityKey: string | null;
  /** Upstreams that just failed this request; chosen only when the pool has no other. */
  readonly excludedUpstreamIds: readonly UpstreamId[];
  /** How long the attempt may take; bounds the slot at a cold upstream. */
  readonly timeoutMs?: number;
  /** False for a stage that may not be repeated: a cold upstream is its last choice. */
  readonly isRepeatable?: boolean;
}
