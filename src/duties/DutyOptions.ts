/** Times and sizes of the duties; equal on all hosts of a fleet. */
export interface DutyOptions {
  /** Shards of the claim log. */
  readonly claimShardCount: number;
  /** Hosts of each failure domain that watch the configuration at the platform. */
  readonly watchersPerDomain: number;
  /** How long a duty holds at least after the host last heard of a majority of its domain. */
  readonly leaseMs: number;
  /** The same for each host of the domain, since heartbeats reach them by turns. */
  readonly leasePerHostMs: number;
}

/** Defaults of `DutyOptions`. */
export const DEFAULT_DUTY_OPTIONS: DutyOptions = {
  claimShardCount: 16, watchersPerDomain: 2, leaseMs: 5000, leasePerHostMs: 300,
};
