import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import { RetryBudget, type HedgeConditions } from './RetryBudget.ts';

const QUESTION = { isRepeatable: true, remainingMs: 1_000, medianMs: 100 };
const HEDGE: HedgeConditions = {
  ...QUESTION, elapsedMs: 300, hedgeAfterMs: 250, hasRoomElsewhere: true,
};

describe('RetryBudget', () => {
  it('bounds retries to a fraction of the offered load', () => {
    const budget = new RetryBudget(new FakeCoreContext(), { ratio: 0.1, floorPerSecond: 0 });
    let retried = 0;
    for (let index = 0; index < 1_000; index += 1) {
      budget.recordFirstAttempt();
      retried += budget.tryRetry(QUESTION) ? 1 : 0;
    }
    equal(retried, 99);
  });

  it('lets a quiet pool retry at the floor', () => {
    const context = new FakeCoreContext();
    const budget = new RetryBudget(context, { floorPerSecond: 1 });
    equal(budget.tryRetry(QUESTION), true);
    equal(budget.tryRetry(QUESTION), false);
    context.clock.advance(1_000);
    equal(budget.tryRetry(QUESTION), true);
  });

  const refusals: readonly (readonly [string, Partial<HedgeConditions>])[] = [
    ['a stage that is not repeatable', { isRepeatable: false }],
    ['too little time', { remainingMs: 99 }],
  ];
  refusals.forEach(([name, change]) => it(`neither retries nor hedges with ${name}`, () => {
    const budget = new RetryBudget(new FakeCoreContext(), { floorPerSecond: 5 });
    equal(budget.tryRetry({ ...QUESTION, ...change }), false);
    equal(budget.tryHedge({ ...HEDGE, ...change }), false);
    equal(budget.available, 5);
  }));

  it('hedges only when the first attempt is slow and another upstream has room', () => {
    const budget = new RetryBudget(new FakeCoreContext(), { floorPerSecond: 5 });
    equal(budget.tryHedge({ ...HEDGE, elapsedMs: 249 }), false);
    equal(budget.tryHedge({ ...HEDGE, hasRoomElsewhere: false }), false);
    equal(budget.tryHedge(HEDGE), true);
  });
});
