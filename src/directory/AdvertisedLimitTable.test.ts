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
  requestSentAtMs: number,
  receivedAtMs: number,
  lifetime?: UpstreamLifetime,
) => number | null {
  const limits = new AdvertisedLimitTable(new ManualClock());
  return (requestsPerSecond, requestSentAtMs, receivedAtMs, lifetime = FIRST) => {
    limits.record({
      lifetime, requestsPerSecond, requestSentAtMs, receivedAtMs,
    });
    return limits.getRequestsPerSecond(lifetime);
  };
}

describe('AdvertisedLimitTable', () => {
  it('applies a new limit and a stricter limit at once', () => {
    const record = createLimits();
    equal(record(4, 0, 10), 4);
    equal(record(1, 0, 11), 1);
    equal(record(0, 5, 12), 0);
  });

  it('lifts or loosens a limit by an answer to a request sent after it was received', () => {
    const record = createLimits();
    record(1, 0, 10);
    equal(record(null, 10, 30), null);
    record(1, 30, 40);
    equal(record(3, 41, 50), 3);
  });

  it('keeps a limit when a looser answer belongs to a request sent before it was received', () => {
    const record = createLimits();
    record(1, 0, 10);
    equal(record(null, 9, 30), 1);
    equal(record(5, 9, 30), 1);
  });

  it('does not restore an old limit after it was lifted', () => {
    const record = createLimits();
    record(1, 0, 10);
    record(null, 20, 30);
    equal(record(1, 0, 15), null);
  });

  it('drops the limit of an ended process and keeps the limit of its successor', () => {
    const record = createLimits();
    record(1, 0, 10);
    equal(record(null, 0, 5, SECOND), null);
    equal(record(2, 6, 7, SECOND), 2);
    record(1, 20, 30, FIRST);
    equal(record(2, 31, 32, SECOND), 2);
  });
});
