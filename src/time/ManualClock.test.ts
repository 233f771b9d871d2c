import { equal, throws } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from './ManualClock.ts';

describe('ManualClock', () => {
  it('moves only when told', () => {
    const clock = new ManualClock(5);
    equal(clock.getMonotonicMs(), 5);
    clock.advance(10);
    equal(clock.getMonotonicMs(), 15);
  });

  it('refuses to go back', () => {
    throws(() => new ManualClock().advance(-1), RangeError);
  });
});
