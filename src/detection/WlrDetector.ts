import { CusumDetector } from './CusumDetector.ts';

/**
 * The weighted likelihood ratio scheme of Han, Mei and Tsui: the statistic of formula (4), over the
 * error rate of each tick instead of its counts, with the constant threshold `b` of formula (5). A
 * tick without attempts has no rate and adds nothing.
 */
export class WlrDetector extends CusumDetector {
  /** @inheritdoc */
  protected getIncrement(offered: number, errors: number): number {
    return offered === 0 ? 0 : (errors / offered) * this.logRatio - this.rateDifference;
  }
}
