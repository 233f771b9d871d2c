import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DecayedHistogram } from './DecayedHistogram.ts';

const BUCKET_RATIO = 2 ** (1 / 8);

describe('DecayedHistogram', () => {
  it('computes quantiles with the precision of a bucket', () => {
    const histogram = new DecayedHistogram();
    equal(histogram.getQuantile(0.5), null);
    for (let value = 1; value <= 1_000; value += 1) {
      histogram.add(value, 0);
    }
    [0.1, 0.5, 0.95].forEach((quantile) => {
      const ratio = (histogram.getQuantile(quantile) ?? 0) / (quantile * 1_000);
      ok(ratio >= 1 && ratio <= BUCKET_RATIO, `${quantile}: ${ratio}`);
    });
  });

  it('decays old values over short and long times', () => {
    const histogram = new DecayedHistogram({ halfLifeMs: 1_000 });
    for (let index = 0; index < 100; index += 1) {
      histogram.add(100, 0);
    }
    ok(Math.abs(histogram.getCount(1_000) - 50) < 1e-6);
    for (let index = 0; index < 10; index += 1) {
      histogram.add(10, 100_000);
    }
    ok((histogram.getQuantile(0.5) ?? 0) < 11);
    ok(Math.abs(histogram.getCount(100_000) - 10) < 1e-6);
  });
});
