/** Settings of the claim log; `shardCount`, `slotCount`, `retentionMs` are equal on all hosts. */
export interface ClaimOptions {
  /** Parts of the log, each with its own writer; platform writes grow with this. */
  readonly shardCount: number;
  /** Platform values per shard, used in turn; their number bounds what the log occupies. */
  readonly slotCount: number;
  /** Claims in one platform value; with `maxOutcomeBytes` it keeps a value under a megabyte. */
  readonly maxBucketClaims: number;
  /** Largest outcome kept beside a claim. */
  readonly maxOutcomeBytes: number;
  /** How long claims go into one value before the next is opened. */
  readonly bucketMs: number;
  /** How long a claim is kept after its bucket was sealed. */
  readonly retentionMs: number;
  /** How long claims are gathered before one write. */
  readonly batchDelayMs: number;
  /** How long an outcome or a release waits for claims to share a write with. */
  readonly outcomeDelayMs: number;
  /** Age at which outcomes and releases are written before claims. */
  readonly outcomeOverdueMs: number;
  /** Time between two writes of a shard; with `shardCount` it bounds the platform writes. */
  readonly minWriteIntervalMs: number;
  /** Time a request waits for its claim. */
  readonly claimTimeoutMs: number;
  /** Time an owner may take before the asker writes the claim itself. */
  readonly ownerReplyTimeoutMs: number;
  /** The same for an outcome or a release, for which nobody waits. */
  readonly outcomeReplyTimeoutMs: number;
  /** How long an owner that did not answer is passed over. */
  readonly ownerAvoidanceMs: number;
  /** Time after which a platform call without an answer counts as lost. */
  readonly platformTimeoutMs: number;
  /** First and longest wait after a platform call that failed. */
  readonly backoffMinMs: number;
  readonly backoffMaxMs: number;
  /** Failed platform calls in a row after which new claims are refused at once. */
  readonly outageFailureCount: number;
  /** Age up to which a cached state of a running claim is believed. */
  readonly freshnessMs: number;
  /** Longest time that a claimed request runs; older claims count as abandoned. */
  readonly maxRunMs: number;
  /** Operations that wait at most in one shard. */
  readonly maxPendingOperations: number;
  /** How long a ticket may be used. */
  readonly ticketLifetimeMs: number;
  /** Used tickets that a host remembers; when full, further tickets are refused. */
  readonly maxTickets: number;
  /**
   * @returns Unix time in milliseconds; hosts may differ by much less than `retentionMs`
   */
  readonly getWallMs: () => number;
}

/** Defaults but for the wall clock, which the composition root passes in. */
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
