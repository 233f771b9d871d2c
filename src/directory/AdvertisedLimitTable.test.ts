import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId, type UpstreamId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import type { UpstreamLifetime } from './UpstreamEntry.ts';
import { AdvertisedLimitTable } from './AdvertisedLimitTable.ts';

const FIRST: UpstreamLifetime = { id: toId<UpstreamId>('u'), startedAtMs: 100 };
const SECOND: UpstreamLifetime = { ...FIRST, startedAtMs: 200 };

function createLimits(): (
  requestsPerSecond: number | null,
  askedAtMs: number,
  heardAtMs: number,
  lifetime?: UpstreamLifetime,
) => number | null {
  const limits = new AdvertisedLimitTable(new ManualClock());
  return (requestsPerSecond, askedAtMs, heardAtMs, lifetime = FIRST) => {
    limits.record({
      lifetime, requestsPerSecond, requestSentAtMs: askedAtMs, receivedAtMs: heardAtMs,
    });
    return limits.getRequestsPerSecond(lifetime);
  };
}

describe('UpstreamLimits', () => {
  it('takes a limit at once, and a stricter one too', () => {
    const hear = createLimits();
    equal(hear(4, 0, 10), 4);
    equal(hear(1, 0, 11), 1);
    equal(hear(0, 5, 12), 0);
  });

  it('lifts or loosens a limit by an answer to a request that was sent after it was heard', () => {
    const hear = createLimits();
    hear(1, 0, 10);
    equal(hear(null, 10, 30), null);
    hear(1, 30, 40);
    equal(hear(3, 41, 50), 3);
  });

  it('keeps a limit when an answer comes late that was on its way before', () => {
    const hear = createLimits();
    hear(1, 0, 10);
    equal(hear(null, 9, 30), 1);
    equal(hear(5, 9, 30), 1);
  });

  it('does not take an old limit again after it was lifted', () => {
    const hear = createLimits();
    hear(1, 0, 10);
    hear(null, 20, 30);
    equal(hear(1, 0, 15), null);
  });

  it('forgets the limit of a process that has ended, and keeps that of the next one', () => {
    const hear = createLimits();
    hear(1, 0, 10);
    equal(hear(null, 0, 5, SECOND), null);
    equal(hear(2, 6, 7, SECOND), 2);
    hear(1, 20, 30, FIRST);
    equal(hear(2, 31, 32, SECOND), 2);
  });
});
