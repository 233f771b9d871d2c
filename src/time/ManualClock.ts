import type { Clock } from './Clock.ts';

/** A clock that advances only on request, for tests and seeded benchmarks. */
export class ManualClock implements Clock {
  #nowMs: number;

  /**
   * @param startMs - initial time
   */
  constructor(startMs = 0) {
    this.#nowMs = startMs;
  }

  /** @inheritdoc */
  getMonotonicMs(): number {
    return this.#nowMs;
  }

  /** @inheritdoc */
  getWallMs(): number {
    return this.#nowMs;
  }

  /**
   * Advances the clock.
   *
   * @param durationMs - duration to advance by; must not be negative
   * @throws RangeError when the duration is negative
   */
  advance(durationMs: number): void {
    if (durationMs < 0) {
      throw new RangeError(`Can't advance the clock by a negative duration: ${durationMs} ms`);
    }
    this.#nowMs += durationMs;
  }
}
