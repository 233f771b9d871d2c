/** Options of the cost ledger; `shardCount` is equal on all hosts. */
export interface CostOptions {
  /** Platform values of the ledger; platform writes grow with this and not with hosts. */
  readonly shardCount: number;
  /** Time between two writes of one shard, and between two reports of a host. */
  readonly flushIntervalMs: number;
  /** Time between two copies to the peer that holds them. */
  readonly copyIntervalMs: number;
  /** Time after which an unanswered report is written by the reporting host itself. */
  readonly reportTimeoutMs: number;
  /** Time after which a platform call without an answer counts as lost. */
  readonly platformTimeoutMs: number;
  /** Attempts that are remembered, so that a repeated end is not booked twice. */
  readonly maxTrackedAttempts: number;
  /** How long after its last growth the sums of an ended incarnation are settled. */
  readonly settleAfterMs: number;
  /** Settled incarnations whose late reports are still recognized. */
  readonly maxSettledIncarnations: number;
  /** Incarnations for which copies are held. */
  readonly maxCopiedIncarnations: number;
  /**
   * @returns Unix time in milliseconds
   */
  readonly getWallMs: () => number;
}

/** Defaults but for the wall clock, which the composition root passes in. */
export const DEFAULT_COST_OPTIONS: Omit<CostOptions, 'getWallMs'> = {
  shardCount: 4,
  flushIntervalMs: 1000,
  copyIntervalMs: 200,
  reportTimeoutMs: 3000,
  platformTimeoutMs: 2000,
  maxTrackedAttempts: 50_000,
  settleAfterMs: 86_400_000,
  maxSettledIncarnations: 2000,
  maxCopiedIncarnations: 64,
};
