import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../time/ManualClock.ts';
import { createRateBound } from './RateBound.ts';
import { PermitSchedule } from './PermitSchedule.ts';

/** Takes every available permit in steps of 10 ms and counts them. */
function countPermits(clock: ManualClock, schedule: PermitSchedule, durationMs: number): number {
  let count = 0;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
    clock.advance(10);
    while (schedule.tryTake(0) !== null) {
      count += 1;
    }
  }
  return count;
}

describe('PermitSchedule', () => {
  [0.5, 1, 3.7, 40].forEach((perSecond) => {
    it(`issues ${perSecond} permits per second and saves none beyond the burst`, () => {
      const clock = new ManualClock();
      const bound = createRateBound(perSecond);
      const schedule = new PermitSchedule(clock, bound);
      const count = countPermits(clock, schedule, 20_000);
      ok(Math.abs(count - perSecond * 20) <= perSecond + 1, `${count}`);
      clock.advance(60_000);
      ok(countPermits(clock, schedule, 10) <= bound.burst + 1);
    });
  });

  it('issues no permit at limit 0', () => {
    const clock = new ManualClock();
    const schedule = new PermitSchedule(clock, createRateBound(0));
    clock.advance(60_000);
    equal(schedule.tryTake(60_000), null);
  });

  it('issues a later permit only within the longest wait', () => {
    const clock = new ManualClock();
    const schedule = new PermitSchedule(clock, createRateBound(2));
    clock.advance(500);
    equal(schedule.tryTake(0), 0);
    equal(schedule.tryTake(600), 500);
    equal(schedule.tryTake(600), null);
  });

  it('delays later permits by the reserve sends', () => {
    const clock = new ManualClock();
    const schedule = new PermitSchedule(clock, createRateBound(2));
    clock.advance(500);
    schedule.recordReserveSends(2);
    equal(schedule.waitMs, 1_000);
  });

  it('assigns consecutive retry times to denied requests', () => {
    const clock = new ManualClock();
    const schedule = new PermitSchedule(clock, createRateBound(2));
    equal(schedule.assignRetryAfterMs(), 500);
    equal(schedule.assignRetryAfterMs(), 1_000);
    clock.advance(2_000);
    equal(schedule.assignRetryAfterMs(), 0);
  });

  it('applies a changed limit at once', () => {
    const clock = new ManualClock();
    const schedule = new PermitSchedule(clock, createRateBound(0.1));
    clock.advance(4_000);
    equal(schedule.tryTake(0), 0);
    schedule.setBound(createRateBound(10));
    ok(schedule.waitMs <= 100, `${schedule.waitMs} ms`);
    schedule.setBound(createRateBound(0));
    equal(schedule.waitMs, Infinity);
  });
});
