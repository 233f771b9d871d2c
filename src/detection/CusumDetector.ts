import type { RateChange, RateDetector } from './RateDetector.ts';

/**
 * A cumulative sum of log likelihood ratios that starts anew at 0, with a constant threshold: the
 * recursive form below formula (3) of Han, Mei and Tsui, "Early Detection of a Change in Poisson
 * Rate After Accounting For Population Size Effects".
 */
export abstract class CusumDetector implements RateDetector {
  /** The logarithm of the raised rate over the base rate. */
  protected readonly logRatio: number;

  /** The raised rate less the base rate. */
  protected readonly rateDifference: number;

  readonly #threshold: number;

  #statistic = 0;

  /**
   * @param change - the rates before and after
   * @param threshold - the statistic at which the alarm is raised
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
   * @param offered - attempts of the tick
   * @param errors - those that failed
   * @returns what the tick adds to the sum
   */
  protected abstract getIncrement(offered: number, errors: number): number;
}
