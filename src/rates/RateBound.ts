/** Bound on the sends of all hosts together to one upstream. */
export interface RateBound {
  /** Shared permits that the coordinator issues per second. */
  readonly perSecond: number;
  /** Shared permits issued at once after idle time. */
  readonly burst: number;
  /** Sends per window that all hosts together may make without a shared permit. */
  readonly reserveCount: number;
  readonly reserveWindowMs: number;
}

/** Fraction of one second's permits that may be issued at once after idle time. */
const BURST_PART = 0.1;
/** Reserve sends beyond those of one second, so that every limit above 0 leaves at least one. */
const RESERVE_SLACK = 2;
/** Longer than the 4 s window of a limit, since network delays of sends differ. */
const MIN_RESERVE_WINDOW_MS = 4_600;
const MS_PER_SECOND = 1_000;

/**
 * Splits an advertised limit into shared permits and reserve. In 4 s an upstream receives at most
 * 4.6 times the limit by shared permits, the burst and the reserve;
 * `test/property/limitedFleet.test.ts` checks that against what is allowed.
 *
 * @param perSecond - the advertised limit
 * @returns the bound on sends
 */
export function createRateBound(perSecond: number): RateBound {
  // At limit 0 an upstream receives health checks only.
  const reserveCount = perSecond === 0 ? 0 : Math.floor(perSecond + RESERVE_SLACK);
  return {
    perSecond,
    burst: Math.max(1, perSecond * BURST_PART),
    reserveCount,
    // At a low limit the window grows, so that the reserve alone stays within the limit too.
    reserveWindowMs: Math.max(
      MIN_RESERVE_WINDOW_MS,
      perSecond === 0 ? 0 : (reserveCount / perSecond) * MS_PER_SECOND,
    ),
  };
}
