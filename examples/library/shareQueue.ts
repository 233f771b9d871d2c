import { FairQueue } from 'parsleylift/fairness';
import { toId } from '../../src/lib/ids.ts';

const LARGE_COUNT = 4;

/**
 * A large account's burst does not make a small one wait for all of it.
 *
 * @returns whose items are served, in order
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
