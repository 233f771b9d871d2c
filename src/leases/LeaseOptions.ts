/** Options of a `LeaseHolder`. */
export interface LeaseOptions {
  /** Term of the lease, from when the write that renewed it was sent. */
  readonly ttlMs: number;
  /** Interval between two renewals. */
  readonly renewPeriodMs: number;
  /** How much two hosts' monotonic clocks may drift apart within `ttlMs`. */
  readonly driftMarginMs: number;
  /** Time after which a platform call without an answer counts as lost. */
  readonly callTimeoutMs: number;
  /** Delay after a failed call; a random fraction of it is added as jitter. */
  readonly retryDelayMs: number;
}

/** Defaults of a lease. */
export const DEFAULT_LEASE_OPTIONS: LeaseOptions = {
  ttlMs: 3_000,
  renewPeriodMs: 1_000,
  driftMarginMs: 100,
  callTimeoutMs: 1_000,
  retryDelayMs: 250,
};
