import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId, type UpstreamId } from '../lib/ids.ts';
import { SeededRandomSource } from '../lib/SeededRandomSource.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { RetryWindow, type RetryReservation } from './RetryWindow.ts';

const WINDOW_MS = 10_000;
const ID = toId<UpstreamId>('u');

function createWindow(clock: ManualClock, fixedAllowance: number, ratio = 0.2): RetryWindow {
  return new RetryWindow({
    clock, windowMs: WINDOW_MS, ratio, getFixedAllowance: () => fixedAllowance,
  });
}

function countWithin(timesMs: readonly number[], endMs: number): number {
  return timesMs.filter((timeMs) => timeMs > endMs - WINDOW_MS && timeMs <= endMs).length;
}

describe('RepeatWindow', () => {
  it('does not let repeats that waited for an upstream leave beside new ones', () => {
    const clock = new ManualClock();
    const window = createWindow(clock, 4);
    const waiting = Array.from({ length: 4 }, () => window.tryReserve());
    clock.advance(WINDOW_MS * 5);
    equal(window.tryReserve(), null);
    waiting.forEach((permit) => equal(permit?.trySend(ID), true));
    equal(window.tryReserve(), null);
    window.recordAnswer(ID);
    clock.advance(WINDOW_MS);
    equal(window.remaining, 4);
  });

  it('does not add to repeats that an upstream which stands still has not read yet', () => {
    const clock = new ManualClock();
    const window = createWindow(clock, 4);
    Array.from({ length: 4 }, () => window.tryReserve()?.trySend(ID));
    clock.advance(WINDOW_MS * 2);
    equal(window.tryReserve(), null, 'they may all arrive now');
    window.recordAnswer(toId<UpstreamId>('other'));
    equal(window.tryReserve(), null);
    window.recordAnswer(ID);
    clock.advance(WINDOW_MS - 1);
    equal(window.tryReserve(), null, 'they have arrived within this window');
    clock.advance(1);
    equal(window.remaining, 4);
  });

  it('forgets repeats that were never answered after three windows', () => {
    const clock = new ManualClock();
    const window = createWindow(clock, 1);
    equal(window.tryReserve()?.trySend(ID), true);
    clock.advance(WINDOW_MS * 3 - 1);
    equal(window.remaining, 0);
    clock.advance(1);
    equal(window.remaining, 1);
  });

  it('earns a part of what is sent for the first time, for one window', () => {
    const clock = new ManualClock();
    const window = createWindow(clock, 0);
    equal(window.tryReserve(), null);
    window.recordFirstSends(10);
    equal(window.remaining, 2);
    clock.advance(WINDOW_MS);
    equal(window.remaining, 0);
  });

  it('withdraws a repeat when the allowance has shrunk while it waited', () => {
    const clock = new ManualClock();
    const window = createWindow(clock, 0);
    window.recordFirstSends(5);
    const permit = window.tryReserve();
    clock.advance(WINDOW_MS);
    equal(permit?.trySend(ID), false);
    equal(permit?.trySend(ID), false, 'it is used up');
  });

  it('takes back what is not used, once', () => {
    const window = createWindow(new ManualClock(), 1);
    const permit = window.tryReserve();
    equal(window.remaining, 0);
    permit?.release();
    permit?.release();
    equal(window.remaining, 1);
  });

  it('keeps every window under the bound, however long repeats wait', () => {
    const clock = new ManualClock();
    const random = new SeededRandomSource(7);
    const window = createWindow(clock, 6);
    const firstsMs: number[] = [];
    const sentMs: number[] = [];
    let waiting: RetryReservation[] = [];
    for (let step = 0; step < 20_000; step += 1) {
      clock.advance(10);
      const nowMs = clock.getMonotonicMs();
      if (random.getFraction() < 0.05) {
        window.recordFirstSends();
        firstsMs.push(nowMs);
      }
      const permit = random.getFraction() < 0.3 ? window.tryReserve() : null;
      if (permit !== null) {
        waiting.push(permit);
      }
      if (random.getFraction() < 0.005) {
        waiting.forEach((each) => {
          if (each.trySend(ID)) {
            sentMs.push(nowMs);
            window.recordAnswer(ID);
          }
        });
        waiting = [];
      }
    }
    ok(sentMs.length > 100, `${sentMs.length} repeats`);
    const excess = sentMs.find((endMs) => (
      countWithin(sentMs, endMs) > 6 + 0.2 * countWithin(firstsMs, endMs)));
    equal(excess, undefined);
  });
});
