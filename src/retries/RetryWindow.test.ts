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

describe('RetryWindow', () => {
  it('counts retries that wait for an upstream against new reservations', () => {
    const clock = new ManualClock();
    const window = createWindow(clock, 4);
    const waiting = Array.from({ length: 4 }, () => window.tryReserve());
    clock.advance(WINDOW_MS * 5);
    equal(window.tryReserve(), null);
    waiting.forEach((reservation) => equal(reservation?.trySend(ID), true));
    equal(window.tryReserve(), null);
    window.recordAnswer(ID);
    clock.advance(WINDOW_MS);
    equal(window.remaining, 4);
  });

  it('counts retries that a paused upstream has not read yet', () => {
    const clock = new ManualClock();
    const window = createWindow(clock, 4);
    Array.from({ length: 4 }, () => window.tryReserve()?.trySend(ID));
    clock.advance(WINDOW_MS * 2);
    equal(window.tryReserve(), null, 'all of them may arrive now');
    window.recordAnswer(toId<UpstreamId>('other'));
    equal(window.tryReserve(), null);
    window.recordAnswer(ID);
    clock.advance(WINDOW_MS - 1);
    equal(window.tryReserve(), null, 'they arrived within this window');
    clock.advance(1);
    equal(window.remaining, 4);
  });

  it('stops counting unanswered retries after three windows', () => {
    const clock = new ManualClock();
    const window = createWindow(clock, 1);
    equal(window.tryReserve()?.trySend(ID), true);
    clock.advance(WINDOW_MS * 3 - 1);
    equal(window.remaining, 0);
    clock.advance(1);
    equal(window.remaining, 1);
  });

  it('allows a fraction of the first sends, for one window', () => {
    const clock = new ManualClock();
    const window = createWindow(clock, 0);
    equal(window.tryReserve(), null);
    window.recordFirstSends(10);
    equal(window.remaining, 2);
    clock.advance(WINDOW_MS);
    equal(window.remaining, 0);
  });

  it('rejects a reserved retry when the allowance shrank while it waited', () => {
    const clock = new ManualClock();
    const window = createWindow(clock, 0);
    window.recordFirstSends(5);
    const reservation = window.tryReserve();
    clock.advance(WINDOW_MS);
    equal(reservation?.trySend(ID), false);
    equal(reservation?.trySend(ID), false, 'the reservation is used up');
  });

  it('returns an unused reservation once', () => {
    const window = createWindow(new ManualClock(), 1);
    const reservation = window.tryReserve();
    equal(window.remaining, 0);
    reservation?.release();
    reservation?.release();
    equal(window.remaining, 1);
  });

  it('keeps every window within the bound, however long retries wait', () => {
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
      const reservation = random.getFraction() < 0.3 ? window.tryReserve() : null;
      if (reservation !== null) {
        waiting.push(reservation);
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
    ok(sentMs.length > 100, `${sentMs.length} retries`);
    const excess = sentMs.find((endMs) => (
      countWithin(sentMs, endMs) > 6 + 0.2 * countWithin(firstsMs, endMs)));
    equal(excess, undefined);
  });
});
