import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AtmDetector } from './AtmDetector.ts';
import { ErrorRateWindow } from './ErrorRateWindow.ts';
import { GlrDetector } from './GlrDetector.ts';
import { WlrDetector } from './WlrDetector.ts';
import type { RateDetector } from './RateDetector.ts';

/** The rates and thresholds of the paper's section 5.2. */
const CHANGE = { baseRate: 2.4, raisedRate: 3.8 };
const TICKS: readonly (readonly [number, number])[] = [[6, 15], [7, 30], [8, 18], [9, 40]];

function getBestSum(terms: readonly number[]): number {
  const sums = terms.map((_, start) => terms.slice(start).reduce((sum, term) => sum + term, 0));
  return Math.max(0, ...sums);
}

describe('rate detectors', () => {
  it('have the statistics of formulas (2) and (4), written out as maxima over the change', () => {
    const logRatio = Math.log(3.8 / 2.4);
    const glr = new GlrDetector(CHANGE, Infinity);
    const wlr = new WlrDetector(CHANGE, Infinity);
    TICKS.forEach(([offered, errors], index) => {
      glr.addTick(offered, errors);
      wlr.addTick(offered, errors);
      const ticksSoFar = TICKS.slice(0, index + 1);
      const counts = ticksSoFar.map(([l, y]) => y * logRatio - l * 1.4);
      const rates = ticksSoFar.map(([l, y]) => (y / l) * logRatio - 1.4);
      ok(Math.abs(glr.statistic - getBestSum(counts)) < 1e-9);
      ok(Math.abs(wlr.statistic - getBestSum(rates)) < 1e-9);
    });
  });

  it('are equivalent for a constant population with a = l b = l c', () => {
    const glr = new GlrDetector(CHANGE, 8 * 0.3);
    const wlr = new WlrDetector(CHANGE, 0.3);
    const atm = new AtmDetector(CHANGE, 0.3);
    [10, 20, 25, 30, 31, 12, 40].forEach((errors) => {
      const alarm = glr.addTick(8, errors);
      equal(wlr.addTick(8, errors), alarm);
      equal(atm.addTick(8, errors), alarm);
    });
  });

  const change = { baseRate: 0.02, raisedRate: 0.2 };
  const detectors: readonly (readonly [string, RateDetector])[] = [
    ['GLR', new GlrDetector(change, 5)],
    ['WLR', new WlrDetector(change, 0.5)],
    ['ATM', new AtmDetector(change, 0.5)],
    ['window', new ErrorRateWindow(0.1)],
  ];
  detectors.forEach(([name, detector]) => it(`${name} alarms on errors only`, () => {
    for (let tick = 0; tick < 50; tick += 1) {
      equal(detector.addTick(tick % 2 === 0 ? 0 : 10, 0), false);
    }
    let alarms = 0;
    for (let tick = 0; tick < 20; tick += 1) {
      alarms += detector.addTick(10, 5) ? 1 : 0;
    }
    ok(alarms > 0);
    detector.reset();
    equal(detector.addTick(10, 0), false);
    equal(detector.addTick(0, 0), false);
  }));
});
