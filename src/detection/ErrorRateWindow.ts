import type { RateDetector } from './RateDetector.ts';

/** How the plain window judges. */
export interface ErrorRateWindowOptions {
  /** Ticks that the window spans. */
  readonly tickCount: number;
  /** Attempts in the window below which nothing is decided. */
  readonly minOffered: number;
}

/** Defaults of the plain window. */
export const DEFAULT_ERROR_RATE_WINDOW_OPTIONS: ErrorRateWindowOptions = {
  tickCount: 10,
  minOffered: 20,
};

interface Tick {
  readonly offered: number;
  readonly errors: number;
}

/** The simple baseline: errors over attempts in a sliding window against a fixed rate. */
export class ErrorRateWindow implements RateDetector {
  readonly #threshold: number;

  readonly #options: ErrorRateWindowOptions;

  #ticks: Tick[] = [];

  #offered = 0;

  #errors = 0;

  /**
   * @param threshold - the error rate that raises the alarm
   * @param options - the window; what is left out takes its default
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
