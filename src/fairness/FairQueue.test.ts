import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { toId, type AccountId, type RequestId } from '../lib/ids.ts';
import { FairQueue } from './FairQueue.ts';

const NO_DEADLINE_MS = 1e9;

interface Wanted {
  readonly account: string;
  readonly id: string;
  readonly priority?: number;
  readonly deadlineAtMs?: number;
  readonly cost?: number;
}

function put(queue: FairQueue<null>, wanted: Wanted): boolean {
  return queue.enqueue({
    requestId: toId<RequestId>(wanted.id),
    accountId: toId<AccountId>(wanted.account),
    priority: wanted.priority ?? 0,
    deadlineAtMs: wanted.deadlineAtMs ?? NO_DEADLINE_MS,
    expectedCost: wanted.cost ?? 1,
    payload: null,
  });
}

function takeIds(queue: FairQueue<null>, count: number): string[] {
  return Array.from({ length: count }, () => queue.dequeue()?.requestId ?? 'none');
}

describe('FairQueue', () => {
  it('serves a small account between the items of a large one that arrived first', () => {
    const queue = new FairQueue<null>();
    ['l1', 'l2', 'l3', 'l4'].forEach((id) => put(queue, { account: 'large', id }));
    equal(queue.dequeue()?.requestId, 'l1');
    put(queue, { account: 'small', id: 's1' });
    deepEqual(takeIds(queue, 2).sort(), ['l2', 's1']);
  });

  it('serves accounts in proportion to their weights', () => {
    const queue = new FairQueue<null>();
    queue.setWeight(toId('heavy'), 3);
    for (let index = 0; index < 40; index += 1) {
      put(queue, { account: 'heavy', id: `h${index}` });
      put(queue, { account: 'light', id: `l${index}` });
    }
    equal(takeIds(queue, 40).filter((id) => id.startsWith('h')).length, 30);
  });

  it('charges the expected cost, and the corrected cost', () => {
    const queue = new FairQueue<null>();
    for (let index = 0; index < 20; index += 1) {
      put(queue, { account: 'costly', id: `c${index}`, cost: 4 });
      put(queue, { account: 'cheap', id: `d${index}`, cost: 1 });
    }
    equal(takeIds(queue, 10).filter((id) => id.startsWith('c')).length, 2);
    queue.correctCharge(toId('cheap'), 12);
    equal(takeIds(queue, 3).filter((id) => id.startsWith('c')).length, 3);
  });

  it('serves a small burst of an idle account before the backlog of a large one', () => {
    const queue = new FairQueue<null>({ burstItems: 2 });
    for (let index = 0; index < 200; index += 1) {
      put(queue, { account: 'large', id: `l${index}` });
    }
    takeIds(queue, 100);
    ['s1', 's2', 's3', 's4', 's5', 's6'].forEach((id) => put(queue, { account: 'small', id }));
    deepEqual(takeIds(queue, 2).sort(), ['s1', 's2']);
    equal(takeIds(queue, 6).filter((id) => id.startsWith('s')).length <= 4, true);
  });

  it('orders the items of an account by priority, deadline and arrival', () => {
    const queue = new FairQueue<null>();
    put(queue, { account: 'a', id: 'late', deadlineAtMs: 50 });
    put(queue, { account: 'a', id: 'soon', deadlineAtMs: 20 });
    put(queue, { account: 'a', id: 'soon-too', deadlineAtMs: 20 });
    put(queue, { account: 'a', id: 'urgent', priority: -1 });
    deepEqual(takeIds(queue, 4), ['urgent', 'soon', 'soon-too', 'late']);
  });

  it('returns expired items at once and reports the next expiry', () => {
    const queue = new FairQueue<null>();
    put(queue, { account: 'a', id: 'first', deadlineAtMs: 10 });
    put(queue, { account: 'b', id: 'second', deadlineAtMs: 20 });
    equal(queue.getNextExpiryMs(), 10);
    deepEqual(queue.takeExpired(10).map((item) => item.requestId), ['first']);
    equal(queue.getNextExpiryMs(), 20);
    deepEqual(takeIds(queue, 2), ['second', 'none']);
  });

  it('bounds each account and refuses a request that is already queued', () => {
    const queue = new FairQueue<null>({ maxItemsPerAccount: 2 });
    ok(put(queue, { account: 'a', id: '1' }));
    ok(!put(queue, { account: 'a', id: '1' }));
    ok(put(queue, { account: 'a', id: '2' }));
    ok(!put(queue, { account: 'a', id: '3' }));
    ok(put(queue, { account: 'b', id: '4' }));
  });

  it('clears the past service of all accounts when no item waits', () => {
    const queue = new FairQueue<null>();
    put(queue, { account: 'a', id: '1', cost: 1_000 });
    queue.dequeue();
    put(queue, { account: 'a', id: '2' });
    put(queue, { account: 'b', id: '3' });
    put(queue, { account: 'b', id: '4' });
    deepEqual(takeIds(queue, 3), ['2', '3', '4']);
  });

  it('neither loses nor duplicates items in any order of calls', () => {
    const action = fc.record({
      kind: fc.constantFrom('put', 'put', 'take', 'remove', 'expire', 'correct'),
      account: fc.constantFrom('a', 'b', 'c'),
      number: fc.nat(40),
    });
    fc.assert(fc.property(fc.array(action, { maxLength: 200 }), (actions) => {
      const queue = new FairQueue<null>({ maxItemsPerAccount: 10 });
      const inside = new Set<string>();
      actions.forEach(({ kind, account, number }, step) => {
        const id = `${number}`;
        if (kind === 'put' && put(queue, {
          account, id, deadlineAtMs: number, cost: number,
        })) {
          ok(!inside.has(id));
          inside.add(id);
        } else if (kind === 'take') {
          const taken = queue.dequeue()?.requestId;
          equal(taken === undefined, inside.size === 0);
          ok(taken === undefined || inside.delete(taken));
        } else if (kind === 'remove') {
          equal(queue.remove(toId(id)) !== undefined, inside.delete(id));
        } else if (kind === 'expire') {
          queue.takeExpired(step / 10).forEach((item) => ok(inside.delete(item.requestId)));
        } else if (kind === 'correct') {
          queue.correctCharge(toId(account), number - 20);
        }
        equal(queue.size, inside.size);
        equal(queue.peek() === undefined, inside.size === 0);
      });
    }), { seed: 4, numRuns: 300 });
  });
});
