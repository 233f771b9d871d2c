import { AtmDetector } from '../../src/detection/AtmDetector.ts';
import { ErrorRateWindow } from '../../src/detection/ErrorRateWindow.ts';
import { GlrDetector } from '../../src/detection/GlrDetector.ts';
import type { RateDetector } from '../../src/detection/RateDetector.ts';
import { WlrDetector } from '../../src/detection/WlrDetector.ts';

/** The change of the error rate for which the schemes are tuned. */
export const TUNED_CHANGE = { baseRate: 0.02, raisedRate: 0.2 };

/** A detection scheme to compare. */
export interface Scheme {
  readonly name: string;
  /**
   * Creates a detector of this scheme.
   *
   * @param threshold - the level at which the detector raises an alarm
   * @returns a new detector
   */
  create(threshold: number): RateDetector;
  /**
   * Gets the value that the detector compares with its threshold in the current tick.
   *
   * @param detector - a detector of this scheme
   * @param offered - number of attempts in the tick
   * @returns the value
   */
  getLevel(detector: RateDetector, offered: number): number;
}

const getStatistic = (detector: RateDetector) => detector.statistic;

/** The three schemes of the detection paper and two fixed windows. */
export const SCHEMES: readonly Scheme[] = [
  {
    name: 'GLR',
    create: (threshold) => new GlrDetector(TUNED_CHANGE, threshold),
    getLevel: getStatistic,
  },
  {
    name: 'WLR',
    create: (threshold) => new WlrDetector(TUNED_CHANGE, threshold),
    getLevel: getStatistic,
  },
  {
    name: 'ATM',
    create: (threshold) => new AtmDetector(TUNED_CHANGE, threshold),
    getLevel: (detector, offered) => (offered === 0 ? 0 : detector.statistic / offered),
  },
  {
    name: 'window 10',
    create: (threshold) => new ErrorRateWindow(threshold, { tickCount: 10 }),
    getLevel: getStatistic,
  },
  {
    name: 'window 30',
    create: (threshold) => new ErrorRateWindow(threshold, { tickCount: 30 }),
    getLevel: getStatistic,
  },
];
