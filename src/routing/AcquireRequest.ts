import type {
  AccountId, PoolId, RequestId, UpstreamId,
} from '../lib/ids.ts';

/** Requirements of an attempt on its upstream. */
export interface AcquireRequest {
  readonly poolId: PoolId;
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  /** Requests with the same key go to the same upstream while it has capacity; null for none. */
  readonly affinityKey: string | null;
  /** Upstreams that just failed this request; chosen only if the pool has no other. */
  readonly excludedUpstreamIds: readonly UpstreamId[];
  /** Maximum duration of the attempt; bounds the slot at a cold upstream. */
  readonly timeoutMs?: number;
  /** False for a stage that must not be retried: it uses a cold upstream only as a last resort. */
  readonly isRepeatable?: boolean;
}
