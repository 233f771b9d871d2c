import { AtmDetector } from '../../src/detection/AtmDetector.ts';
import { ErrorRateWindow } from '../../src/detection/ErrorRateWindow.ts';
import { GlrDetector } from '../../src/detection/GlrDetector.ts';
import type { RateDetector } from '../../src/detection/RateDetector.ts';
import { WlrDetector } from '../../src/detection/WlrDetector.ts';

/** The change that the schemes are tuned for. */
export const TUNED_CHANGE = { baseRate: 0.02, raisedRate: 0.2 };

/** A scheme as the bench sees it. */
export interface Scheme {
  readonly name: string;
  /**
   * @param threshold - what raises the alarm
   * @returns a fresh detector
   */
  create(threshold: number): RateDetector;
  /**
   * @param detector - a detector of this scheme
   * @param offered - attempts of the tick
   * @returns the value that is held against the threshold in this tick
   */
  getLevel(detector: RateDetector, offered: number): number;
}

const getStatistic = (detector: RateDetector) => detector.statistic;

/** The paper's three schemes and two plain windows. */
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
