import { deepEqual } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SOAK_ACCOUNT } from './createSoakManifest.ts';
import { EVENT_COUNT, findViolations } from './findViolations.ts';
import type { RepeatBounds } from './RepeatBounds.ts';
import {
  ARRIVAL_KIND, REQUEST_KIND, type CallerRecord, type RunRecord, type SoakRecord,
} from './SoakRecord.ts';

const EVENTS = Array.from({ length: EVENT_COUNT }, (_, index) => `id: ${index + 1}\ndata: x\n\n`);

const CALLER: CallerRecord = {
  requestId: 'r',
  kind: REQUEST_KIND.once,
  hostIndex: 0,
  isRetry: false,
  sentAtMs: 0,
  deadlineMs: 1_000,
  endedAtMs: 10,
  status: 200,
  isSigned: true,
  isWhole: true,
  body: 'answer to r',
};
const BOUNDS: RepeatBounds = { ratio: 0, slack: 0, windowMs: 100 };
const RUN: RunRecord = {
  requestId: 'r',
  kind: REQUEST_KIND.once,
  upstreamId: 'u',
  atMs: 5,
  lastEventId: null,
  inputFault: null,
  account: SOAK_ACCOUNT,
};

function check(caller: Partial<CallerRecord>, runs: readonly RunRecord[] = [RUN]): string[] {
  const record: SoakRecord = {
    callers: [{ ...CALLER, ...caller }],
    runs: [...runs],
    arrivals: [],
    hostSpans: [],
    calmSinceMs: Infinity,
  };
  return findViolations(record, 10_000, BOUNDS).map(({ promise }) => promise);
}

describe('findViolations', () => {
  it('finds nothing where all promises are kept', () => {
    deepEqual(check({}), []);
    deepEqual(check({ kind: REQUEST_KIND.stream, body: EVENTS.join('') }), []);
    deepEqual(check({ status: 503, isSigned: false, body: '' }, []), []);
  });

  const planted: readonly [string, Partial<CallerRecord>, readonly RunRecord[], string][] = [
    ['a second run', {}, [RUN, RUN], 'atMostOnce'],
    ['a run that was denied', { status: 503 }, [RUN], 'notRun'],
    ['a run that nobody asked for', {}, [RUN, { ...RUN, requestId: 'other' }], 'asked'],
    ['a run for nobody', {}, [{ ...RUN, account: null }], 'account'],
    ['wrong inputs', {}, [{ ...RUN, inputFault: 'of another request' }], 'inputs'],
    ['a success without signature', { isSigned: false }, [RUN], 'wholeAnswer'],
    ['the answer to another request', { body: 'answer to s' }, [RUN], 'wholeAnswer'],
    ['a request without end', { endedAtMs: null, status: null }, [RUN], 'ended'],
    [
      'a cut stream that looks whole',
      { kind: REQUEST_KIND.stream, body: EVENTS.slice(0, 3).join('') }, [RUN], 'inOrder',
    ],
    [
      'a doubled event',
      { kind: REQUEST_KIND.stream, isWhole: false, body: `${EVENTS[0]}${EVENTS[0]}` },
      [RUN],
      'inOrder',
    ],
  ];
  planted.forEach(([name, caller, runs, promise]) => {
    it(`finds ${name}`, () => {
      deepEqual(check(caller, runs), [promise]);
    });
  });

  it('finds that a service gets more repeats than it may', () => {
    const arrival = {
      service: REQUEST_KIND.once,
      kind: ARRIVAL_KIND.whole,
      requestId: 'r',
      unit: 'r',
      upstreamId: 'u',
      atMs: 5,
    };
    const record: SoakRecord = {
      callers: [CALLER],
      runs: [RUN],
      arrivals: [arrival, { ...arrival, atMs: 6 }],
      hostSpans: [],
      calmSinceMs: Infinity,
    };
    deepEqual(findViolations(record, 10_000, BOUNDS).map(({ promise }) => promise), ['repeats']);
    deepEqual(findViolations(record, 10_000, { ...BOUNDS, slack: 1 }), []);
  });

  it('finds that service does not come back after the last fault', () => {
    const callers = [{
      ...CALLER, sentAtMs: 20_000, endedAtMs: 20_001, status: 503,
    }];
    const record: SoakRecord = {
      callers, runs: [], arrivals: [], hostSpans: [], calmSinceMs: 10_000,
    };
    deepEqual(findViolations(record, 30_000, BOUNDS).map(({ promise }) => promise), ['recovered']);
  });
});
