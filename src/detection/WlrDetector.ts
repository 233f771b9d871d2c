import type { RateChange, RateDetector } from './RateDetector.ts';

/**
 * The weighted likelihood ratio scheme of Han, Mei and Tsui: the statistic of formula (4), over the
 * error rate of each tick instead of its counts, with the constant threshold of formula (5). A tick
 * without attempts has no rate and is passed over.
 */
export class WlrDetector implements RateDetector {
  readonly #logRatio: number;

  readonly #difference: number;

  readonly #threshold: number;

  #statistic = 0;

  /**
   * @param change - the rates before and after
   * @param threshold - `b` of formula (5)
   */
  constructor(change: RateChange, threshold: number) {
    this.#logRatio = Math.log(change.raisedRate / change.baseRate);
    this.#difference = change.raisedRate - change.baseRate;
    this.#threshold = threshold;
  }

  /** @inheritdoc */
  get statistic(): number {
    return this.#statistic;
  }

  /** @inheritdoc */
  addTick(offered: number, errors: number): boolean {
    if (offered === 0) {
      return false;
    }
    const ratio = (errors / offered) * this.#logRatio - this.#difference;
    this.#statistic = Math.max(0, this.#statistic + ratio);
    return this.#statistic >= this.#threshold;
  }

  /** @inheritdoc */
  reset(): void {
    this.#statistic = 0;
  }
}
