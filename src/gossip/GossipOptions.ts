/** Periods and size limits of gossip; equal on all hosts of a fleet. */
export interface GossipOptions {
  /** Time between two pushes of changes. */
  readonly pushPeriodMs: number;
  /** Time between two digests. */
  readonly digestPeriodMs: number;
  /** Number of peers in the own failure domain that receive each push. */
  readonly fanout: number;
  /** Pushes of each change, as a multiple of the binary logarithm of the number of peers. */
  readonly retransmitFactor: number;
  /** Average bytes per second that pushes may use; digests are small in comparison. */
  readonly budgetBytesPerS: number;
  /** Maximum bytes of unused budget that accumulate for a burst. */
  readonly burstBytes: number;
  /** Maximum number of records in one message. */
  readonly maxRecordsPerMessage: number;
  /** Maximum number of records; beyond it, records of the lowest-priority topic are evicted. */
  readonly maxRecords: number;
  /** Number of buckets in a digest. */
  readonly bucketCount: number;
}

/** Defaults of {@link GossipOptions}. */
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
