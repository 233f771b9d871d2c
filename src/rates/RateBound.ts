/** How often an upstream may be sent to by all hosts together. */
export interface RateBound {
  /** Sends a second that the host which keeps the sum hands out. */
  readonly perSecond: number;
  /** Sends handed out at once after a pause. */
  readonly burst: number;
  /** Sends within a window that hosts may make without its leave, all hosts together. */
  readonly reserveCount: number;
  readonly reserveWindowMs: number;
}

/** Part of a second's sends that may go at once after a pause. */
const BURST_PART = 0.1;
/** Sends without leave beyond a second's, so that there is one at every limit. */
const RESERVE_SLACK = 2;
/** A little over the 4 s for which a limit holds, since sends take different times on the way. */
const MIN_RESERVE_WINDOW_MS = 4_600;
const MS_PER_SECOND = 1_000;

/**
 * Divides what an upstream takes. In 4 s it gets 4.6 times the limit by leave, the burst and the
 * reserve at most; `test/property/limitedFleet.test.ts` holds that against what is allowed.
 *
 * @param perSecond - the limit that an upstream names
 * @returns how often it may be sent to
 */
export function createRateBound(perSecond: number): RateBound {
  // An upstream that takes nothing is asked for its health only.
  const reserveCount = perSecond === 0 ? 0 : Math.floor(perSecond + RESERVE_SLACK);
  return {
    perSecond,
    burst: Math.max(1, perSecond * BURST_PART),
    reserveCount,
    // Where it takes little, the reserve alone is no more than that either.
    reserveWindowMs: Math.max(
      MIN_RESERVE_WINDOW_MS,
      perSecond === 0 ? 0 : (reserveCount / perSecond) * MS_PER_SECOND,
    ),
  };
}
