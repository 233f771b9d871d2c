/** Settings of the claim log; `shardCount`, `slotCount`, `retentionMs` are equal on all hosts. */
export interface ClaimOptions {
  /** Shards of the log, each with its own writer; platform writes grow with this. */
  readonly shardCount: number;
  /** Platform values per shard, used as a ring; they bound the storage that the log needs. */
  readonly slotCount: number;
  /** Most claims in one platform value; with `maxOutcomeBytes`, keeps it under a megabyte. */
  readonly maxBucketClaims: number;
  /** Largest outcome that is stored with a claim. */
  readonly maxOutcomeBytes: number;
  /** Age at which a bucket is sealed and the next one opened. */
  readonly bucketMs: number;
  /** How long a claim is kept after its bucket was sealed. */
  readonly retentionMs: number;
  /** How long claims are batched before a write. */
  readonly batchDelayMs: number;
  /** How long an outcome or a release waits to share a write with claims. */
  readonly outcomeDelayMs: number;
  /** Age at which outcomes and releases are written before claims. */
  readonly outcomeOverdueMs: number;
  /** Shortest time between two writes of a shard; with `shardCount`, bounds platform writes. */
  readonly minWriteIntervalMs: number;
  /** Longest time that a request waits for its claim. */
  readonly claimTimeoutMs: number;
  /** Time in which an owner must reply to a claim before the sending host writes it itself. */
  readonly ownerReplyTimeoutMs: number;
  /** The same for an outcome or a release, on which no caller waits. */
  readonly outcomeReplyTimeoutMs: number;
  /** How long no operations are sent to an owner that did not reply. */
  readonly ownerAvoidanceMs: number;
  /** Time after which a platform call without an answer counts as lost. */
  readonly platformTimeoutMs: number;
  /** Shortest and longest backoff after failed platform calls. */
  readonly backoffMinMs: number;
  readonly backoffMaxMs: number;
  /** Consecutive failed platform calls after which new claims are refused at once. */
  readonly outageFailureCount: number;
  /** Age up to which the cached state of a running claim is used. */
  readonly freshnessMs: number;
  /** Longest time that a claimed request runs; older claims count as abandoned. */
  readonly maxRunMs: number;
  /** Most operations that wait in one shard. */
  readonly maxPendingOperations: number;
  /** How long a ticket may be used. */
  readonly ticketLifetimeMs: number;
  /** Most used tickets that a host stores; further tickets are refused. */
  readonly maxTickets: number;
  /**
   * @returns Unix time in milliseconds; hosts may differ by much less than `retentionMs`
   */
  readonly getWallMs: () => number;
}

/** Defaults of `ClaimOptions` without the wall clock, which the composition root passes in. */
export const DEFAULT_CLAIM_OPTIONS: Omit<ClaimOptions, 'getWallMs'> = {
  shardCount: 8,
  slotCount: 512,
  maxBucketClaims: 256,
  maxOutcomeBytes: 2048,
  bucketMs: 600_000,
  retentionMs: 7_200_000,
  batchDelayMs: 4,
  outcomeDelayMs: 100,
  outcomeOverdueMs: 500,
  minWriteIntervalMs: 45,
  claimTimeoutMs: 1000,
  ownerReplyTimeoutMs: 250,
  outcomeReplyTimeoutMs: 3000,
  ownerAvoidanceMs: 1000,
  platformTimeoutMs: 2000,
  backoffMinMs: 10,
  backoffMaxMs: 1000,
  outageFailureCount: 3,
  freshnessMs: 100,
  maxRunMs: 120_000,
  maxPendingOperations: 10_000,
  ticketLifetimeMs: 7_200_000,
  maxTickets: 20_000,
};
