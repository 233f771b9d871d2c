import type { RandomSource } from '../../lib/RandomSource.ts';

/** Options of the breaker. */
export interface BreakerOptions {
  /** Failures in a row that open the breaker. */
  readonly failureThreshold: number;
  /** Backoff before the first probe. */
  readonly minBackoffMs: number;
  /** Backoff after many failed probes. */
  readonly maxBackoffMs: number;
}

/** Bounds under which 330 hosts probe an absent service about a hundred times a second. */
export const DEFAULT_BREAKER_OPTIONS: BreakerOptions = {
  failureThreshold: 3,
  minBackoffMs: 250,
  maxBackoffMs: 4000,
};

/**
 * Exponential backoff with equal jitter: half of it fixed, half random (Brooker, "Exponential
 * Backoff And Jitter", AWS Architecture Blog, 2015).
 *
 * @param options - the bounds
 * @param random - where the jitter comes from
 * @param failedProbeCount - probes that failed since the breaker opened
 * @returns the delay to the next probe, in milliseconds
 */
export function getBackoffMs(
  options: BreakerOptions,
  random: RandomSource,
  failedProbeCount: number,
): number {
  const fullMs = Math.min(options.maxBackoffMs, options.minBackoffMs * 2 ** failedProbeCount);
  return (fullMs / 2) * (1 + random.getFraction());
}
