import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import { ConcurrencyLimit } from './ConcurrencyLimit.ts';

const CAP = 64;

function addWindows(limit: ConcurrencyLimit, count: number, latencyMs: number): void {
  for (let index = 0; index < count * 10; index += 1) {
    limit.recordLatency(latencyMs, limit.value);
  }
}

/** An upstream with some slots: what is above them waits, so that all take longer. */
function getLatencyMs(slots: number, running: number): number {
  return 100 * Math.max(1, running / slots);
}

describe('ConcurrencyLimit', () => {
  it('doubles while it is in use and answers stay fast, up to its cap', () => {
    const limit = new ConcurrencyLimit(new FakeCoreContext(), 2, CAP);
    [4, 8, 16, 32, CAP].forEach((next) => {
      const samples = Math.min(10, Math.max(3, limit.value));
      for (let index = 0; index < samples; index += 1) {
        limit.recordLatency(100, limit.value);
      }
      equal(limit.value, next);
    });
    limit.setCap(10);
    equal(limit.value, 10);
  });

  it('does not grow while it is not in use', () => {
    const limit = new ConcurrencyLimit(new FakeCoreContext(), 10, CAP);
    for (let index = 0; index < 100; index += 1) {
      limit.recordLatency(100, 2);
    }
    equal(limit.value, 10);
  });

  [4, 12, 30].forEach((slots) => it(`settles near what ${slots} slots bear`, () => {
    const limit = new ConcurrencyLimit(new FakeCoreContext(), 1, 1_000);
    for (let window = 0; window < 60; window += 1) {
      addWindows(limit, 1, getLatencyMs(slots, limit.value));
    }
    ok(limit.value >= slots && limit.value <= slots * 4, `${limit.value}`);
  }));

  it('falls when answers become slow, and recovers', () => {
    const limit = new ConcurrencyLimit(new FakeCoreContext(), CAP, CAP);
    addWindows(limit, 5, 100);
    addWindows(limit, 10, 1_000);
    ok(limit.value < CAP / 4, `${limit.value}`);
    addWindows(limit, 60, 100);
    equal(limit.value, CAP);
  });

  it('falls once for attempts that were refused together', () => {
    const context = new FakeCoreContext();
    const limit = new ConcurrencyLimit(context, 20, CAP);
    addWindows(limit, 1, 100);
    const before = limit.value;
    limit.recordOverload();
    limit.recordOverload();
    equal(limit.value, Math.floor(before * 0.7));
    context.clock.advance(100);
    limit.recordOverload();
    equal(limit.value, Math.floor(before * 0.7 * 0.7));
  });

  it('falls on a reported queue, and not again on a report that is older than the fall', () => {
    const context = new FakeCoreContext();
    const limit = new ConcurrencyLimit(context, 20, CAP);
    limit.recordLoadReport({ runningCount: 12, queuedCount: 6 });
    equal(limit.value, 20);
    limit.recordLoadReport({ runningCount: 12, queuedCount: 12 });
    equal(limit.value, 15);
    context.clock.advance(999);
    limit.recordLoadReport({ runningCount: 12, queuedCount: 12 });
    equal(limit.value, 15);
    context.clock.advance(1);
    limit.recordLoadReport({ runningCount: 12, queuedCount: 12 });
    equal(limit.value, 11);
  });

  it('never goes below one, unless its cap does', () => {
    const context = new FakeCoreContext();
    const limit = new ConcurrencyLimit(context, 1, CAP);
    for (let index = 0; index < 20; index += 1) {
      limit.recordOverload();
      context.clock.advance(1_000);
    }
    equal(limit.value, 1);
    limit.setCap(0);
    equal(limit.value, 0);
  });
});
