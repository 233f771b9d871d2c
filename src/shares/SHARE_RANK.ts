/**
 * How a request stands to the share of its client account and session, while its class is scarce.
 * Within a class, a request with the smaller rank goes first.
 */
export const SHARE_RANK = {
  /** Its account or its session is served much less often than the class. */
  owed: 0,
  /** Its account is within its share, or nothing is scarce. */
  within: 1,
  /** Its account has taken much more than its share, or it came back before it was told to. */
  over: 2,
} as const;

/** A member of {@link SHARE_RANK}. */
export type ShareRank = typeof SHARE_RANK[keyof typeof SHARE_RANK];
