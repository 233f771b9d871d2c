import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { countCrashes, type CrashedRun } from './countCrashes.ts';

function createRuns(...spans: readonly [number, number][]): CrashedRun[] {
  return spans.map(([sentAtMs, endedAtMs]) => ({ sentAtMs, endedAtMs }));
}

describe('countCrashes', () => {
  it('counts runs that were each sent after the crash of the previous one', () => {
    equal(countCrashes(createRuns([40, 60], [0, 20], [20, 40])), 3);
  });

  it('counts simultaneous crashes once, as in a rack failure', () => {
    equal(countCrashes(createRuns([0, 1_000], [200, 1_003], [990, 1_010], [500, 1_400])), 1);
  });

  it('counts concurrent runs whose upstreams crash at different times', () => {
    equal(countCrashes(createRuns([0, 2_000], [700, 2_700], [1_400, 3_400])), 3);
  });

  it('returns zero without runs', () => {
    equal(countCrashes([]), 0);
  });
});
