/** Options of the cost ledger; `shardCount` must be equal on all hosts. */
export interface CostOptions {
  /** Platform values of the ledger; platform writes grow with them, not with the hosts. */
  readonly shardCount: number;
  /** Minimum time between two writes of a shard, and between two reports of a host. */
  readonly flushIntervalMs: number;
  /** Minimum time between two copies sent to the peer that holds them. */
  readonly copyIntervalMs: number;
  /** Time after which a host writes an unanswered report itself. */
  readonly reportTimeoutMs: number;
  /** Time after which an unanswered platform call is considered lost. */
  readonly platformTimeoutMs: number;
  /** Maximum number of attempts tracked so that a repeated end is not booked twice. */
  readonly maxTrackedAttempts: number;
  /** Time from the last growth of an ended incarnation's sums until they are settled. */
  readonly settleAfterMs: number;
  /** Maximum number of settled incarnations whose late reports are still recognized. */
  readonly maxSettledIncarnations: number;
  /** Maximum number of incarnations for which a host holds copies. */
  readonly maxCopiedIncarnations: number;
  /**
   * @returns Unix time in milliseconds
   */
  readonly getWallMs: () => number;
}

/** Defaults of all options but the wall clock, which the composition root passes in. */
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
