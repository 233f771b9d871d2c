/** Options of a lease. */
export interface LeaseOptions {
  /** How long the lease holds after the write that renewed it was sent. */
  readonly ttlMs: number;
  /** Time between two renewals. */
  readonly renewPeriodMs: number;
  /** How much two hosts' monotonic clocks may drift apart within `ttlMs`. */
  readonly driftMarginMs: number;
  /** Time after which a platform call without an answer counts as lost. */
  readonly callTimeoutMs: number;
  /** Wait after a call that failed; a random part of it is added. */
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
