import { deepEqual, equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { countRepeats, type RepeatReport } from './countRepeats.ts';
import type { RepeatBounds } from './RepeatBounds.ts';
import {
  ARRIVAL_KIND, REQUEST_KIND, type ArrivalRecord, type CallerRecord,
} from './SoakRecord.ts';

const BOUNDS: RepeatBounds = { ratio: 0.5, slack: 1, windowMs: 100 };
const SERVICE = REQUEST_KIND.repeatable;

function createCaller(requestId: string, sentAtMs: number): CallerRecord {
  return {
    requestId,
    kind: SERVICE,
    hostIndex: 3,
    isRetry: false,
    sentAtMs,
    deadlineMs: 1_000,
    endedAtMs: null,
    status: null,
    isSigned: false,
    isComplete: false,
    body: '',
    answerText: '',
  };
}

function createArrival(requestId: string, atMs: number): ArrivalRecord {
  return {
    service: SERVICE,
    kind: ARRIVAL_KIND.whole,
    requestId,
    unit: requestId,
    upstreamId: 'u',
    atMs,
  };
}

function count(arrivals: readonly ArrivalRecord[], callers: CallerRecord[]): RepeatReport {
  const [report] = countRepeats(arrivals, callers, BOUNDS);
  if (report === undefined) {
    throw new Error('countRepeats returned no report');
  }
  return report;
}

describe('countRepeats', () => {
  it('counts repeated arrivals in the worst window by host', () => {
    const arrivals = [
      createArrival('a', 0), createArrival('a', 50), createArrival('a', 60),
      createArrival('b', 10), createArrival('b', 151),
    ];
    const report = count(arrivals, [createCaller('a', 0), createCaller('b', 5)]);
    equal(report.arrivalCount, 5);
    equal(report.firstCount, 2);
    deepEqual(report.repeatsByKind, { whole: 3 });
    deepEqual(report.worst, {
      atMs: 60, repeatCount: 2, baseCount: 2, allowed: 2, byHost: { 'host 3': 2 },
    });
  });

  it('uses the base of the previous window if that is larger', () => {
    const callers = ['a', 'b', 'c', 'd'].map((id) => createCaller(id, 10));
    const report = count([createArrival('a', 11), createArrival('a', 200)], callers);
    equal(report.worst?.baseCount, 4);
  });

  it('uses first arrivals as the base if pieces arrive', () => {
    const arrivals = ['a-0-0', 'a-0-1', 'a-0-0'].map((unit, index) => ({
      ...createArrival('a', index), service: 'stage', kind: ARRIVAL_KIND.piece, unit,
    }));
    deepEqual(count(arrivals, []).worst, {
      atMs: 2, repeatCount: 1, baseCount: 2, allowed: 2, byHost: { 'host ?': 1 },
    });
  });

  it('reports no worst window if everything arrives once', () => {
    equal(count([createArrival('a', 0)], [createCaller('a', 0)]).worst, null);
  });
});
