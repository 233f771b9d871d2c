import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { countCrashes, type CrashedRun } from './countCrashes.ts';

function createRuns(...spans: readonly [number, number][]): CrashedRun[] {
  return spans.map(([sentAtMs, endedAtMs]) => ({ sentAtMs, endedAtMs }));
}

describe('countCrashes', () => {
  it('counts runs that were sent after the one before had ended its upstream', () => {
    equal(countCrashes(createRuns([40, 60], [0, 20], [20, 40])), 3);
  });

  it('counts upstreams that end together once, as when a rack fails', () => {
    equal(countCrashes(createRuns([0, 1_000], [200, 1_003], [990, 1_010], [500, 1_400])), 1);
  });

  it('counts long runs beside one another whose upstreams end at different times', () => {
    equal(countCrashes(createRuns([0, 2_000], [700, 2_700], [1_400, 3_400])), 3);
  });

  it('counts nothing where there is nothing', () => {
    equal(countCrashes([]), 0);
  });
});
