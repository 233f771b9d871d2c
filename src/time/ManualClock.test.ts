import { equal, throws } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from './ManualClock.ts';

describe('ManualClock', () => {
  it('advances only when advance() is called', () => {
    const clock = new ManualClock(5);
    equal(clock.getMonotonicMs(), 5);
    clock.advance(10);
    equal(clock.getMonotonicMs(), 15);
  });

  it('rejects a negative duration', () => {
    throws(() => new ManualClock().advance(-1), RangeError);
  });
});
