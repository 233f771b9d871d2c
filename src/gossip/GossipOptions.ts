/** Times and sizes of the record distribution; equal on all hosts of a fleet. */
export interface GossipOptions {
  /** Time between two pushes of what changed. */
  readonly pushPeriodMs: number;
  /** Time between two digests. */
  readonly digestPeriodMs: number;
  /** Peers that get a push. */
  readonly fanout: number;
  /** Times that a change is pushed on, multiplied by the logarithm of the number of peers. */
  readonly retransmitFactor: number;
  /** Bytes a second that pushes may take on the average; digests are small beside them. */
  readonly budgetBytesPerS: number;
  /** Bytes that may go at once after a quiet time. */
  readonly burstBytes: number;
  /** Records in one message. */
  readonly maxRecordsPerMessage: number;
  /** Records kept; beyond it the least important topic gives way. */
  readonly maxRecords: number;
  /** Buckets of the digest. */
  readonly bucketCount: number;
}

/** Defaults of `GossipOptions`. */
export const DEFAULT_GOSSIP_OPTIONS: GossipOptions = {
  pushPeriodMs: 200,
  digestPeriodMs: 5000,
  fanout: 2,
  retransmitFactor: 1,
  budgetBytesPerS: 3000,
  burstBytes: 12_000,
  maxRecordsPerMessage: 64,
  maxRecords: 8192,
  bucketCount: 64,
};
