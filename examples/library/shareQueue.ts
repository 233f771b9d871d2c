import { FairQueue } from 'parsleylift/fairness';
import { toId } from '../../src/lib/ids.ts';

const LARGE_COUNT = 4;

/**
 * Shares a queue fairly, so that a small account does not wait for the whole burst of a large one.
 *
 * @returns the accounts of the served items, in order
 */
export function shareQueue(): string[] {
  const queue = new FairQueue<string>();
  const accounts = [...Array.from({ length: LARGE_COUNT }, () => 'large'), 'small'];
  accounts.forEach((accountId, index) => queue.enqueue({
    requestId: toId(`request-${index}`),
    accountId: toId(accountId),
    priority: 0,
    deadlineAtMs: Infinity,
    expectedCost: 1,
    payload: accountId,
  }));
  return accounts.map(() => queue.dequeue()?.payload ?? '');
}
