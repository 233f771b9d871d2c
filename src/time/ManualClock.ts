import type { Clock } from './Clock.ts';

/** A clock that moves only when told, for tests and seeded benchmarks. */
export class ManualClock implements Clock {
  #nowMs: number;

  /**
   * @param startMs - the first reading
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
   * Moves the clock forward.
   *
   * @param durationMs - how far; negative values are refused
   * @throws RangeError when the duration is negative
   */
  advance(durationMs: number): void {
    if (durationMs < 0) {
      throw new RangeError(`A clock does not go back: ${durationMs} ms`);
    }
    this.#nowMs += durationMs;
  }
}
