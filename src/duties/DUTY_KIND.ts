/** Kinds of work that one or a few hosts of the fleet do for the others. */
export const DUTY_KIND = {
  /** Grants the slots of the cold upstreams of a failure domain. */
  grantCoordinator: 'steward',
  /** Combines the writes to a shard of the claim log. */
  claimShard: 'claimShard',
  /** Watches the configuration at the platform for the host's failure domain. */
  configurationWatch: 'configurationWatch',
} as const;

/** Kind of work that one or a few hosts of the fleet do for the others. */
export type DutyKind = typeof DUTY_KIND[keyof typeof DUTY_KIND];
