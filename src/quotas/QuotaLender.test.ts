import { equal } from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { toId, type HostId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { LEASE_MS } from './QuotaLease.ts';
import { QuotaLender } from './QuotaLender.ts';
import { QUOTA_WINDOW_MS } from './SendQuotas.ts';

const FIRST = toId<HostId>('first');
const NEXT = toId<HostId>('next');
const DOMAINS = ['a'];

describe('QuotaLender', () => {
  let clock: ManualClock;
  let lender: QuotaLender;

  function leaseTo(coordinatorId: HostId): boolean {
    return lender.createOffer(coordinatorId, DOMAINS).since !== null;
  }

  beforeEach(() => {
    clock = new ManualClock();
    lender = new QuotaLender(clock, toId<HostId>('own'));
    [FIRST, NEXT].forEach((id) => lender.recordMoment(id, { processId: `p-${id}`, atMs: 0 }));
  });

  it('leases to no second coordinator until the sends of the first no longer count', () => {
    equal(leaseTo(FIRST), true);
    equal(leaseTo(NEXT), false);
    clock.advance(LEASE_MS);
    equal(leaseTo(NEXT), false);
    clock.advance(QUOTA_WINDOW_MS);
    equal(leaseTo(NEXT), true);
  });

  it('leases to the next coordinator a window after the process of the first has ended', () => {
    leaseTo(FIRST);
    clock.advance(100);
    lender.recordEnded(FIRST);
    equal(leaseTo(NEXT), false);
    clock.advance(QUOTA_WINDOW_MS - 1);
    equal(leaseTo(NEXT), false);
    clock.advance(1);
    equal(leaseTo(NEXT), true);
  });

  it('takes back what a coordinator has that no longer places there', () => {
    leaseTo(FIRST);
    const current = [{ coordinatorId: NEXT, domains: ['a', 'b'] }];
    const [outdated] = lender.findOutdated(current);
    equal(outdated?.coordinatorId, FIRST);
    lender.recordReturned(outdated);
    equal(lender.findOutdated(current).length, 0);
    equal(leaseTo(NEXT), false);
    clock.advance(QUOTA_WINDOW_MS);
    equal(leaseTo(NEXT), true);
  });

  it('takes a coordinator that started again for another one', () => {
    leaseTo(FIRST);
    lender.recordMoment(FIRST, { processId: 'again', atMs: 0 });
    equal(leaseTo(FIRST), false);
    clock.advance(QUOTA_WINDOW_MS);
    equal(lender.createOffer(FIRST, DOMAINS).since?.processId, 'again');
  });

  it('lets its host use what no coordinator takes, and leases it a window later', () => {
    equal(lender.mayUse('a'), false);
    lender.recordUnavailable(FIRST);
    lender.recordUnavailable(NEXT);
    equal(lender.mayUse('a'), true);
    lender.recordUse();
    lender.recordMoment(NEXT, { processId: 'p', atMs: 0 });
    equal(lender.mayUse('a'), false);
    equal(leaseTo(NEXT), false);
    clock.advance(QUOTA_WINDOW_MS);
    equal(leaseTo(NEXT), true);
    equal(lender.mayUse('a'), false);
  });
});
