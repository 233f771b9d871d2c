/** Work that some host of the fleet has to do, no particular one. */
export const DUTY_KIND = {
  /** Hands out the slots of a cold upstream. */
  grantCoordinator: 'steward',
  /** Gathers the writes of a shard of the claim log. */
  claimShard: 'claimShard',
  /** Watches the configuration at the platform for its failure domain. */
  configurationWatch: 'configurationWatch',
} as const;

/** Work that some host of the fleet has to do, no particular one. */
export type DutyKind = typeof DUTY_KIND[keyof typeof DUTY_KIND];
