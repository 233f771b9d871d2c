import { GlrDetector } from './GlrDetector.ts';
import type { RateChange, RateDetector } from './RateDetector.ts';

/**
 * The adaptive threshold method of Han, Mei and Tsui: the statistic W_n of formula (2) against the
 * threshold l_n c of formula (6), which grows with the tick's attempts. A tick without attempts
 * would have the threshold 0 and is passed over.
 */
export class AtmDetector implements RateDetector {
  readonly #likelihoodRatio: GlrDetector;

  readonly #thresholdPerAttempt: number;

  /**
   * @param change - the rates before and after
   * @param thresholdPerAttempt - `c` of formula (6)
   */
  constructor(change: RateChange, thresholdPerAttempt: number) {
    this.#likelihoodRatio = new GlrDetector(change, Infinity);
    this.#thresholdPerAttempt = thresholdPerAttempt;
  }

  /** @inheritdoc */
  get statistic(): number {
    return this.#likelihoodRatio.statistic;
  }

  /** @inheritdoc */
  addTick(offered: number, errors: number): boolean {
    this.#likelihoodRatio.addTick(offered, errors);
    return offered > 0 && this.statistic >= offered * this.#thresholdPerAttempt;
  }

  /** @inheritdoc */
  reset(): void {
    this.#likelihoodRatio.reset();
  }
}
