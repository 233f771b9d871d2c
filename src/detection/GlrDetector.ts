import type { RateChange, RateDetector } from './RateDetector.ts';

/**
 * The generalised likelihood ratio scheme of Han, Mei and Tsui, "Early Detection of a Change in
 * Poisson Rate After Accounting For Population Size Effects": the statistic W_n of formula (2) in
 * its recursive form, with the constant threshold of formula (3).
 */
export class GlrDetector implements RateDetector {
  readonly #logRatio: number;

  readonly #difference: number;

  readonly #threshold: number;

  #statistic = 0;

  /**
   * @param change - the rates before and after
   * @param threshold - `a` of formula (3)
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
    const ratio = errors * this.#logRatio - offered * this.#difference;
    this.#statistic = Math.max(0, this.#statistic + ratio);
    return this.#statistic >= this.#threshold;
  }

  /** @inheritdoc */
  reset(): void {
    this.#statistic = 0;
  }
}
