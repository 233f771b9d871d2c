import type { PoolId } from '../lib/ids.ts';

/** Why something that was sent is sent once more. */
export const REPEAT_REASON = {
  /** The upstream said that it has not run it, or no byte of it left. */
  notRun: 'notRun',
  /** The exchange broke off. */
  broken: 'broken',
  /** The upstream answered that it failed. */
  failed: 'failed',
  /** The upstream has been silent for too long. */
  silent: 'silent',
} as const;

/** A member of {@link REPEAT_REASON}. */
export type RepeatReason = typeof REPEAT_REASON[keyof typeof REPEAT_REASON];

/** What is sent once more: a request with a whole answer, or a generation. */
export type RepeatKind = 'whole' | 'generation';

/** A wish to send something once more. */
export interface RepeatAsk {
  readonly requestId: string;
  /** Whose upstreams would get it. */
  readonly poolId: PoolId;
  readonly kind: RepeatKind;
  readonly reason: RepeatReason;
}

/** What became of a {@link RepeatAsk}, with what decided it. */
export interface RepeatDecision extends RepeatAsk {
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
