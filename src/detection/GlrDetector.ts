import { CusumDetector } from './CusumDetector.ts';

/**
 * The generalised likelihood ratio scheme of Han, Mei and Tsui: the statistic W_n of formula (2) in
 * its recursive form, with the constant threshold `a` of formula (3).
 */
export class GlrDetector extends CusumDetector {
  /** @inheritdoc */
  protected getIncrement(offered: number, errors: number): number {
    return errors * this.logRatio - offered * this.rateDifference;
  }
}
