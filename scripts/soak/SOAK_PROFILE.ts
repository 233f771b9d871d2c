/**
 * Sets of faults to draw from. `all` keeps its original faults, so that its seeds always draw the
 * same ones; `repeats` has faults that cause retries; `closures` has upstreams that leave or ask
 * for a back-off; `limits` has upstreams that advertise a limit; `copies` has a store that comes
 * back from older copies; `endings` has whatever ends answers early that have no mark at
 * their end; `configurations` has hosts that lose their path to all upstreams or to the store
 * while the configuration changes.
 */
export const SOAK_PROFILE = {
  all: 'all',
  repeats: 'repeats',
  closures: 'closures',
  limits: 'limits',
  copies: 'copies',
  endings: 'endings',
  configurations: 'configurations',
} as const;

/** A member of {@link SOAK_PROFILE}. */
export type SoakProfile = typeof SOAK_PROFILE[keyof typeof SOAK_PROFILE];
