import { RetryBudget } from 'parsleylift/retries';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { createExampleContext } from './createExampleContext.ts';

const OFFERED_COUNT = 100;

/**
 * Bounds the retries of a pool whose attempts all fail to a tenth of its first attempts.
 *
 * @returns the number of allowed retries
 */
export function boundRetries(): number {
  const budget = new RetryBudget(createExampleContext(new ManualClock()), { floorPerSecond: 0 });
  const allowed = Array.from({ length: OFFERED_COUNT }, () => {
    budget.recordFirstAttempt();
    return budget.tryRetry({ isRepeatable: true, remainingMs: 1_000, medianMs: 100 });
  });
  return allowed.filter(Boolean).length;
}
