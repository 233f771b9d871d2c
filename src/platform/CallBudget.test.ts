import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SeededRandomSource } from '../lib/SeededRandomSource.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { CallBudget, type CallDirection } from './CallBudget.ts';
import { KEY_VALUE_CLASS } from './KeyValueCall.ts';

const PLATFORM_WRITES_PER_SECOND = 400;
const PLATFORM_READS_PER_SECOND = 2000;
const STEP_MS = 5;
const CLASSES = Object.values(KEY_VALUE_CLASS);

/** Clients that always want to call, before, in and after an outage of the platform. */
class GreedyFleet {
  readonly clock = new ManualClock();

  readonly #budgets: CallBudget[];

  readonly #dueMs: Record<CallDirection, number[]> = { read: [], write: [] };

  constructor(hostCount: number) {
    this.#budgets = Array.from({ length: hostCount }, (_, index) => (
      new CallBudget(new SeededRandomSource(index + 1), 0, { hostCount })
    ));
  }

  run(durationMs: number, isUp: boolean): void {
    Array.from({ length: durationMs / STEP_MS }).forEach(() => {
      this.clock.advance(STEP_MS);
      this.#budgets.forEach((budget) => this.#callAll(budget, isUp));
    });
  }

  getPeak(direction: CallDirection, fromMs: number, windowMs: number): number {
    const times = this.#dueMs[direction].filter((ms) => ms >= fromMs).sort((a, b) => a - b);
    let first = 0;
    return times.reduce((peak, ms, last) => {
      while ((times[first] ?? ms) <= ms - windowMs) {
        first += 1;
      }
      return Math.max(peak, last - first + 1);
    }, 0);
  }

  countSince(direction: CallDirection, fromMs: number): number {
    return this.#dueMs[direction].filter((ms) => ms >= fromMs).length;
  }

  #callAll(budget: CallBudget, isUp: boolean): void {
    const nowMs = this.clock.getMonotonicMs();
    CLASSES.forEach((callClass) => (['read', 'write'] as const).forEach((direction) => {
      const decision = budget.acquire(callClass, direction, nowMs);
      if (decision.kind === 'granted') {
        this.#dueMs[direction].push(nowMs + decision.delayMs);
        (isUp ? () => budget.recordSuccess(nowMs) : () => budget.recordFailure(nowMs))();
      }
    }));
  }
}

describe('CallBudget', () => {
  [8, 32].forEach((hostCount) => {
    it(`keeps ${hostCount} greedy hosts under the platform's rates when it returns`, () => {
      const fleet = new GreedyFleet(hostCount);
      fleet.run(3000, true);
      fleet.run(30_000, false);
      const returnMs = fleet.clock.getMonotonicMs();
      fleet.run(10_000, true);
      ok(fleet.getPeak('write', returnMs, 1000) <= PLATFORM_WRITES_PER_SECOND);
      ok(fleet.getPeak('read', returnMs, 1000) <= PLATFORM_READS_PER_SECOND);
      ok(fleet.getPeak('write', returnMs, 100) <= PLATFORM_WRITES_PER_SECOND / 5);
      // The return is gradual, not for good: the last seconds use most of the rate.
      const lastMs = fleet.clock.getMonotonicMs() - 2000;
      ok(fleet.countSince('write', lastMs) >= 2 * 200);
    });

    it(`lets ${hostCount} hosts probe an absent platform seldom`, () => {
      const fleet = new GreedyFleet(hostCount);
      fleet.run(1000, false);
      fleet.run(30_000, false);
      const settledMs = fleet.clock.getMonotonicMs() - 20_000;
      const probes = fleet.countSince('read', settledMs) + fleet.countSince('write', settledMs);
      ok(probes <= (hostCount * 20_000) / 2000);
    });
  });

  it('refuses a class that spent its share, and no other', () => {
    const budget = new CallBudget(new SeededRandomSource(1), 0);
    const takeAll = () => Array.from({ length: 200 }, () => budget.acquire('cost', 'write', 0).kind);
    ok(takeAll().includes('refused'));
    equal(budget.acquire('claim', 'write', 0).kind, 'granted');
  });

  it('gives a class what another leaves over', () => {
    const options = { hostCount: 1, maxWaitMs: 0 };
    const takeAt = (budget: CallBudget, nowMs: number) => (
      Array.from({ length: 500 }, () => budget.acquire('claim', 'write', nowMs))
        .filter((decision) => decision.kind === 'granted').length
    );
    const budget = new CallBudget(new SeededRandomSource(1), 0, options);
    takeAt(budget, 0);
    const granted = takeAt(budget, 1000);
    ok(granted > 0.4 * 300 * 0.25, 'more than the class alone may hold');
  });

  it('follows the number of hosts and shares by duty', () => {
    const options = { hostCount: 10, maxWaitMs: 0, burstMs: 1000 };
    const budget = new CallBudget(new SeededRandomSource(1), 0, options);
    const countGranted = (nowMs: number) => (
      Array.from({ length: 1000 }, () => budget.acquire('claim', 'write', nowMs))
        .filter((decision) => decision.kind === 'granted').length
    );
    countGranted(0);
    budget.setShare('claim', 0.5);
    budget.setHostCount(1000);
    ok(countGranted(1000) >= 60);
    equal(budget.acquire('lease', 'read', 1000).kind, 'granted');
  });

  it('opens after failures in a row and closes by one probe', () => {
    const budget = new CallBudget(new SeededRandomSource(7), 0);
    const fail = () => budget.recordFailure(0);
    [fail, fail].forEach((call) => call());
    equal(budget.isOpen, false);
    fail();
    equal(budget.isOpen, true);
    equal(budget.acquire('lease', 'read', 0).kind, 'refused');
    const { retryAtMs } = budget;
    deepEqual(budget.acquire('lease', 'read', retryAtMs), { kind: 'granted', delayMs: 0 });
    equal(budget.acquire('lease', 'read', retryAtMs).kind, 'refused', 'one probe at a time');
    budget.recordSuccess(retryAtMs);
    equal(budget.isOpen, false);
  });
});
