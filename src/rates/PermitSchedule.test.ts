import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../time/ManualClock.ts';
import { createRateBound } from './RateBound.ts';
import { PermitSchedule } from './PermitSchedule.ts';

/** Takes what there is, every so often, and counts it. */
function takeFor(clock: ManualClock, schedule: PermitSchedule, durationMs: number): number {
  let count = 0;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
    clock.advance(10);
    while (schedule.tryTake(0) !== null) {
      count += 1;
    }
  }
  return count;
}

describe('SlotSchedule', () => {
  [0.5, 1, 3.7, 40].forEach((perSecond) => {
    it(`hands ${perSecond} slots a second out, and none saved up beyond the burst`, () => {
      const clock = new ManualClock();
      const bound = createRateBound(perSecond);
      const schedule = new PermitSchedule(clock, bound);
      const count = takeFor(clock, schedule, 20_000);
      ok(Math.abs(count - perSecond * 20) <= perSecond + 1, `${count}`);
      clock.advance(60_000);
      ok(takeFor(clock, schedule, 10) <= bound.burst + 1);
    });
  });

  it('hands nothing out for a limit of nothing', () => {
    const clock = new ManualClock();
    const schedule = new PermitSchedule(clock, createRateBound(0));
    clock.advance(60_000);
    equal(schedule.tryTake(60_000), null);
  });

  it('gives later slots to those who can wait, and none to those who can not', () => {
    const clock = new ManualClock();
    const schedule = new PermitSchedule(clock, createRateBound(2));
    clock.advance(500);
    equal(schedule.tryTake(0), 0);
    equal(schedule.tryTake(600), 500);
    equal(schedule.tryTake(600), null);
  });

  it('counts what was sent without leave against the slots to come', () => {
    const clock = new ManualClock();
    const schedule = new PermitSchedule(clock, createRateBound(2));
    clock.advance(500);
    schedule.recordReserveSends(2);
    equal(schedule.waitMs, 1_000);
  });

  it('tells those sent away times one behind the other', () => {
    const clock = new ManualClock();
    const schedule = new PermitSchedule(clock, createRateBound(2));
    equal(schedule.assignRetryAfterMs(), 500);
    equal(schedule.assignRetryAfterMs(), 1_000);
    clock.advance(2_000);
    equal(schedule.assignRetryAfterMs(), 0);
  });

  it('goes over to another limit at once', () => {
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
