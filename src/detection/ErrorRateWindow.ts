import type { RateDetector } from './RateDetector.ts';

/** Options of an error rate window. */
export interface ErrorRateWindowOptions {
  /** Length of the window in ticks. */
  readonly tickCount: number;
  /** Minimum number of attempts in the window for an alarm. */
  readonly minOffered: number;
}

/** Default options of an error rate window. */
export const DEFAULT_ERROR_RATE_WINDOW_OPTIONS: ErrorRateWindowOptions = {
  tickCount: 10,
  minOffered: 20,
};

interface Tick {
  readonly offered: number;
  readonly errors: number;
}

/** Compares the error rate in a sliding window with a fixed rate; the baseline of comparisons. */
export class ErrorRateWindow implements RateDetector {
  readonly #threshold: number;

  readonly #options: ErrorRateWindowOptions;

  #ticks: Tick[] = [];

  #offered = 0;

  #errors = 0;

  /**
   * @param threshold - error rate at which the alarm is raised
   * @param options - options of the window; omitted ones take their defaults
   */
  constructor(threshold: number, options: Partial<ErrorRateWindowOptions> = {}) {
    this.#threshold = threshold;
    this.#options = { ...DEFAULT_ERROR_RATE_WINDOW_OPTIONS, ...options };
  }

  /** @inheritdoc */
  get statistic(): number {
    return this.#offered < this.#options.minOffered ? 0 : this.#errors / this.#offered;
  }

  /** @inheritdoc */
  addTick(offered: number, errors: number): boolean {
    this.#ticks.push({ offered, errors });
    this.#offered += offered;
    this.#errors += errors;
    if (this.#ticks.length > this.#options.tickCount) {
      const oldest = this.#ticks.shift() as Tick;
      this.#offered -= oldest.offered;
      this.#errors -= oldest.errors;
    }
    return this.statistic >= this.#threshold;
  }

  /** @inheritdoc */
  reset(): void {
    this.#ticks = [];
    this.#offered = 0;
    this.#errors = 0;
  }
}
