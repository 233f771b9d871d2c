/** Times and sizes of the duties; equal on all hosts of a fleet. */
export interface DutyOptions {
  /** Shards of the claim log. */
  readonly claimShardCount: number;
  /** Hosts of each failure domain that watch the configuration at the platform. */
  readonly watchersPerDomain: number;
}

/** Defaults of `DutyOptions`. */
export const DEFAULT_DUTY_OPTIONS: DutyOptions = {
  claimShardCount: 16, watchersPerDomain: 2,
};
