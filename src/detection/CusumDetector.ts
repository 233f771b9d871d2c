import type { RateChange, RateDetector } from './RateDetector.ts';

/**
 * Cumulative sum of log likelihood ratios with 0 as lower bound and a constant threshold: the
 * recursive form below formula (3) of Han, Mei and Tsui, "Early Detection of a Change in Poisson
 * Rate After Accounting For Population Size Effects".
 */
export abstract class CusumDetector implements RateDetector {
  /** Logarithm of the raised rate divided by the base rate. */
  protected readonly logRatio: number;

  /** Raised rate minus base rate. */
  protected readonly rateDifference: number;

  readonly #threshold: number;

  #statistic = 0;

  /**
   * @param change - the rates before and after the change
   * @param threshold - value of the statistic at which the alarm is raised
   */
  constructor(change: RateChange, threshold: number) {
    this.logRatio = Math.log(change.raisedRate / change.baseRate);
    this.rateDifference = change.raisedRate - change.baseRate;
    this.#threshold = threshold;
  }

  /** @inheritdoc */
  get statistic(): number {
    return this.#statistic;
  }

  /** @inheritdoc */
  addTick(offered: number, errors: number): boolean {
    this.#statistic = Math.max(0, this.#statistic + this.getIncrement(offered, errors));
    return this.#statistic >= this.#threshold;
  }

  /** @inheritdoc */
  reset(): void {
    this.#statistic = 0;
  }

  /**
   * Computes the log likelihood ratio of a tick.
   *
   * @param offered - attempts of the tick
   * @param errors - failed attempts of the tick
   * @returns the amount that the tick adds to the sum
   */
  protected abstract getIncrement(offered: number, errors: number): number;
}
