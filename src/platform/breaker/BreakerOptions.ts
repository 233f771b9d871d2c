import type { RandomSource } from '../../lib/RandomSource.ts';

/** Options of `CallBreaker`. */
export interface BreakerOptions {
  /** Consecutive failures that open the breaker. */
  readonly failureThreshold: number;
  /** Backoff before the first probe. */
  readonly minBackoffMs: number;
  /** Upper bound of the backoff after repeated failed probes. */
  readonly maxBackoffMs: number;
}

/** Defaults under which 330 hosts probe a lost service about a hundred times a second in all. */
export const DEFAULT_BREAKER_OPTIONS: BreakerOptions = {
  failureThreshold: 3,
  minBackoffMs: 250,
  maxBackoffMs: 4000,
};

/**
 * Computes an exponential backoff with equal jitter: half fixed, half random (Brooker, "Exponential
 * Backoff And Jitter", AWS Architecture Blog, 2015).
 *
 * @param options - bounds of the backoff
 * @param random - source of the jitter
 * @param failedProbeCount - probes that failed since the breaker opened
 * @returns the delay until the next probe, in milliseconds
 */
export function getBackoffMs(
  options: BreakerOptions,
  random: RandomSource,
  failedProbeCount: number,
): number {
  const fullMs = Math.min(options.maxBackoffMs, options.minBackoffMs * 2 ** failedProbeCount);
  return (fullMs / 2) * (1 + random.getFraction());
}
