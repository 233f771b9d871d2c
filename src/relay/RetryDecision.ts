import type { PoolId } from '../lib/ids.ts';

/** Reasons for a retry. */
export const RETRY_REASON = {
  /** The upstream reported that it has not run the request, or no byte of it was sent. */
  notRun: 'notRun',
  /** The exchange ended before the answer was complete. */
  broken: 'broken',
  /** The upstream answered with an error status. */
  failed: 'failed',
  /** The upstream has been silent for too long. */
  silent: 'silent',
} as const;

/** A member of {@link RETRY_REASON}. */
export type RetryReason = typeof RETRY_REASON[keyof typeof RETRY_REASON];

/** Kind of request that is retried: one with a buffered answer, or a generation. */
export type RetryKind = 'whole' | 'generation';

/** A request for permission to retry. */
export interface RetryRequest {
  readonly requestId: string;
  /** Pool of the upstreams that the retry would be sent to. */
  readonly poolId: PoolId;
  readonly kind: RetryKind;
  readonly reason: RetryReason;
}

/** Decision on a {@link RetryRequest}, with the values it is based on. */
export interface RetryDecision extends RetryRequest {
  readonly isAllowed: boolean;
  /** Retries that this host could send to the pool before and after the decision. */
  readonly leftBefore: number;
  readonly leftAfter: number;
  /** This host's share of the slack; 0 until its process has been registered long enough. */
  readonly fixedAllowance: number;
  /** Number of hosts that the shared limit is divided by. */
  readonly hostCount: number;
  /** Time since the store last confirmed this host's directory; null for never. */
  readonly directoryAgeMs: number | null;
}
