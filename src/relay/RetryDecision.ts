import type { PoolId } from '../lib/ids.ts';

/** Why something that was sent is sent once more. */
export const RETRY_REASON = {
  /** The upstream said that it has not run it, or no byte of it left. */
  notRun: 'notRun',
  /** The exchange broke off. */
  broken: 'broken',
  /** The upstream answered that it failed. */
  failed: 'failed',
  /** The upstream has been silent for too long. */
  silent: 'silent',
} as const;

/** A member of {@link RETRY_REASON}. */
export type RetryReason = typeof RETRY_REASON[keyof typeof RETRY_REASON];

/** What is sent once more: a request with a whole answer, or a generation. */
export type RetryKind = 'whole' | 'generation';

/** A wish to send something once more. */
export interface RetryRequest {
  readonly requestId: string;
  /** Whose upstreams would get it. */
  readonly poolId: PoolId;
  readonly kind: RetryKind;
  readonly reason: RetryReason;
}

/** What became of a {@link RetryRequest}, with what decided it. */
export interface RetryDecision extends RetryRequest {
  readonly isAllowed: boolean;
  /** Repeats that the pool could get from this host before and after. */
  readonly leftBefore: number;
  readonly leftAfter: number;
  /** This host's part of the slack; 0 while its process is too young to use it. */
  readonly fixedAllowance: number;
  /** Hosts by which the common bound was divided. */
  readonly hostCount: number;
  /** How long ago the store confirmed what this host knows; null for never. */
  readonly directoryAgeMs: number | null;
}
