/** Options of the duty assignment; they must be equal on all hosts of a fleet. */
export interface DutyOptions {
  /** Number of shards of the claim log. */
  readonly claimShardCount: number;
  /** Number of hosts per failure domain that watch the configuration at the platform. */
  readonly watchersPerDomain: number;
}

/** Defaults of `DutyOptions`. */
export const DEFAULT_DUTY_OPTIONS: DutyOptions = {
  claimShardCount: 16, watchersPerDomain: 2,
};
