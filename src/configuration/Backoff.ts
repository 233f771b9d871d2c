import type { RandomSource } from '../lib/RandomSource.ts';

/**
 * Spreads a delay over half to one and a half of its length.
 *
 * @param random - for the jitter
 * @param delayMs - the mean
 * @returns a delay, in milliseconds
 */
export function getJitteredDelayMs(random: RandomSource, delayMs: number): number {
  return delayMs * (0.5 + random.getFraction());
}

/** Bounds of the delays. */
export interface BackoffOptions {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
}

/** Delays that double with each failure, with jitter so that many hosts don't come back at once. */
export class Backoff {
  readonly #random: RandomSource;

  readonly #options: BackoffOptions;

  #failureCount = 0;

  /**
   * @param random - for the jitter
   * @param options - the bounds
   */
  constructor(random: RandomSource, options: BackoffOptions) {
    this.#random = random;
    this.#options = options;
  }

  /**
   * @returns the delay after one more failure, in milliseconds
   */
  getNextDelayMs(): number {
    const { minDelayMs, maxDelayMs } = this.#options;
    const delayMs = Math.min(maxDelayMs, minDelayMs * 2 ** this.#failureCount);
    this.#failureCount += 1;
    return getJitteredDelayMs(this.#random, delayMs);
  }

  /** Starts again from the least delay, after a success. */
  reset(): void {
    this.#failureCount = 0;
  }
}
