import type { RandomSource } from '../lib/RandomSource.ts';

/**
 * Adds jitter to a delay: the result is uniformly distributed between 0.5 and 1.5 times the delay.
 *
 * @param random - source of the jitter
 * @param delayMs - mean delay
 * @returns the jittered delay, in milliseconds
 */
export function getJitteredDelayMs(random: RandomSource, delayMs: number): number {
  return delayMs * (0.5 + random.getFraction());
}

/** Bounds of the delays before jitter. */
export interface BackoffOptions {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
}

/** Exponential backoff with jitter, so that many hosts don't retry at the same time. */
export class Backoff {
  readonly #random: RandomSource;

  readonly #options: BackoffOptions;

  #failureCount = 0;

  /**
   * @param random - source of the jitter
   * @param options - bounds of the delays
   */
  constructor(random: RandomSource, options: BackoffOptions) {
    this.#random = random;
    this.#options = options;
  }

  /**
   * Records a failure and returns the delay before the next retry, which doubles each time.
   *
   * @returns the delay, in milliseconds
   */
  getNextDelayMs(): number {
    const { minDelayMs, maxDelayMs } = this.#options;
    const delayMs = Math.min(maxDelayMs, minDelayMs * 2 ** this.#failureCount);
    this.#failureCount += 1;
    return getJitteredDelayMs(this.#random, delayMs);
  }

  /** Resets the delay to its minimum, after a success. */
  reset(): void {
    this.#failureCount = 0;
  }
}
