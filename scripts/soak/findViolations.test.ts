import { deepEqual } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SOAK_ACCOUNT } from './createSoakManifest.ts';
import { createSoakRecord } from './createSoakRecord.ts';
import { DRAIN_MS, EVENT_COUNT, findViolations } from './findViolations.ts';
import { CONTACT_MS } from './measureCrashes.ts';
import type { RepeatBounds } from './RepeatBounds.ts';
import {
  ARRIVAL_KIND, LIMITED_KIND, REQUEST_KIND, type CallerRecord, type RunRecord, type SoakRecord,
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
  isComplete: true,
  answerText: 'answer to r',
  body: 'body',
};
const BOUNDS: RepeatBounds = { ratio: 0, slack: 0, windowMs: 100 };
const RUN: RunRecord = {
  requestId: 'r',
  kind: REQUEST_KIND.once,
  upstreamId: 'u',
  atMs: 5,
  lastEventId: null,
  call: 'POST /once/x',
  inputFault: null,
  account: SOAK_ACCOUNT,
};

function check(caller: Partial<CallerRecord>, runs: readonly RunRecord[] = [RUN]): string[] {
  const record = createSoakRecord({
    callers: [{ ...CALLER, ...caller }],
    runs: [...runs],
  });
  return findViolations(record, 10_000, BOUNDS).map(({ promise }) => promise);
}

describe('findViolations', () => {
  it('finds no violation if all promises are kept', () => {
    deepEqual(check({}), []);
    deepEqual(check({ kind: REQUEST_KIND.stream, answerText: EVENTS.join('') }), []);
    deepEqual(check({ status: 503, isSigned: false, answerText: '' }, []), []);
  });

  const violationCases: readonly [string, Partial<CallerRecord>, readonly RunRecord[], string][] = [
    ['a second run', {}, [RUN, RUN], 'atMostOnce'],
    ['a run of a request that was answered as not run', { status: 503 }, [RUN], 'notRun'],
    ['a run that no caller requested', {}, [RUN, { ...RUN, requestId: 'other' }], 'asked'],
    ['a run without an account', {}, [{ ...RUN, account: null }], 'account'],
    ['wrong inputs', {}, [{ ...RUN, inputFault: 'of another request' }], 'inputs'],
    ['a success without a signature', { isSigned: false }, [RUN], 'wholeAnswer'],
    ['the answer to another request', { answerText: 'answer to s' }, [RUN], 'wholeAnswer'],
    ['a request that does not end', { endedAtMs: null, status: null }, [RUN], 'ended'],
    [
      'a truncated stream that appears complete',
      { kind: REQUEST_KIND.stream, answerText: EVENTS.slice(0, 3).join('') }, [RUN], 'inOrder',
    ],
    [
      'a duplicated event',
      { kind: REQUEST_KIND.stream, isComplete: false, answerText: `${EVENTS[0]}${EVENTS[0]}` },
      [RUN],
      'inOrder',
    ],
  ];
  violationCases.forEach(([name, caller, runs, promise]) => {
    it(`finds ${name}`, () => {
      deepEqual(check(caller, runs), [promise]);
    });
  });

  it('finds more repeats at a service than the bounds allow', () => {
    const arrival = {
      service: REQUEST_KIND.once,
      kind: ARRIVAL_KIND.whole,
      requestId: 'r',
      unit: 'r',
      upstreamId: 'u',
      atMs: 5,
    };
    const record = createSoakRecord({
      callers: [CALLER],
      runs: [RUN],
      arrivals: [arrival, { ...arrival, atMs: 6 }],
    });
    deepEqual(findViolations(record, 10_000, BOUNDS).map(({ promise }) => promise), ['repeats']);
    deepEqual(findViolations(record, 10_000, { ...BOUNDS, slack: 1 }), []);
  });

  /** Sends one request repeatedly; its first three runs crash an upstream at 0, 100 and 200 ms. */
  function checkCrashes(
    arrivalsAtMs: readonly number[],
    spans: Partial<Pick<SoakRecord, 'hostSpans' | 'storeSpans'>> = {},
  ): string[] {
    const timesMs = [0, 100, 200, ...arrivalsAtMs];
    const callers = timesMs.map((sentAtMs, index) => ({
      ...CALLER,
      requestId: `r${index}`,
      body: 'crash',
      kind: REQUEST_KIND.repeatable,
      status: 502,
      sentAtMs,
      endedAtMs: sentAtMs + 1,
    }));
    const record = createSoakRecord({
      callers,
      arrivals: timesMs.map((atMs, index) => ({
        service: REQUEST_KIND.repeatable,
        kind: ARRIVAL_KIND.whole,
        requestId: `r${index}`,
        unit: `r${index}`,
        upstreamId: `u${index}`,
        atMs,
      })),
      crashes: [0, 1, 2].map((index) => ({
        requestId: `r${index}`, upstreamId: `u${index}`, atMs: timesMs[index] ?? 0,
      })),
      ...spans,
    });
    return findViolations(record, 10_000, BOUNDS).map(({ promise }) => promise);
  }

  it('finds requests that still arrive at upstreams after they crashed three', () => {
    const dueAtMs = 200 + CONTACT_MS;
    deepEqual(checkCrashes([300, 400, 500, 600, dueAtMs, dueAtMs, dueAtMs]), []);
    const late = [1, 2, 3, 4].map((agoMs) => dueAtMs + agoMs);
    deepEqual(checkCrashes(late.slice(1)), []);
    deepEqual(checkCrashes(late), ['crashes']);
    const span = { fromMs: 1_000, untilMs: 2_000 };
    deepEqual(checkCrashes(late, { hostSpans: [{ hostIndex: 0, ...span }] }), []);
    deepEqual(checkCrashes(late, { hostSpans: [{ hostIndex: 1, ...span }] }), ['crashes']);
    deepEqual(checkCrashes(late, { storeSpans: [{ hostIndex: null, ...span }] }), []);
  });

  it('finds that requests are not served after the last fault', () => {
    const callers = [{
      ...CALLER, sentAtMs: 20_000, endedAtMs: 20_001, status: 503,
    }];
    const record = createSoakRecord({
      callers,
      faultsEndedAtMs: 10_000,
    });
    deepEqual(findViolations(record, 30_000, BOUNDS).map(({ promise }) => promise), ['recovered']);
  });

  /** Records arrivals from one host at an upstream that sent it a notice at 1,000 ms. */
  function checkClosure(
    kind: 'leaving' | 'backOff',
    timesMs: readonly number[],
    spans: Partial<Pick<SoakRecord, 'hostSpans' | 'linkSpans'>> = {},
  ): string[] {
    const told: CallerRecord = { ...CALLER, requestId: 'told', kind: REQUEST_KIND.repeatable };
    const record = createSoakRecord({
      callers: [told, ...timesMs.map((sentAtMs, index) => ({
        ...told, requestId: `r${index}`, sentAtMs, endedAtMs: sentAtMs + 10,
      }))].map((caller) => ({ ...caller, answerText: `answer to ${caller.requestId}` })),
      arrivals: timesMs.map((atMs, index) => ({
        service: REQUEST_KIND.repeatable,
        kind: ARRIVAL_KIND.whole,
        requestId: `r${index}`,
        unit: `r${index}`,
        upstreamId: 'u',
        atMs: atMs + 5,
      })),
      notices: [{
        kind,
        upstreamId: 'u',
        requestId: 'told',
        atMs: 1_000,
        untilMs: kind === 'leaving' ? Infinity : 5_000,
      }],
      ...spans,
    });
    return findViolations(record, 10_000, BOUNDS).map(({ promise }) => promise);
  }

  it('finds requests that arrive at an upstream too long after its leaving notice', () => {
    deepEqual(checkClosure('leaving', [1_100, 1_000 + DRAIN_MS]), []);
    deepEqual(checkClosure('leaving', [1_100, 1_001 + DRAIN_MS]), ['leaving']);
    const hostSpans = [{ hostIndex: 0, fromMs: 1_500, untilMs: 1_600 }];
    deepEqual(checkClosure('leaving', [1_001 + DRAIN_MS], { hostSpans }), []);
  });

  it('finds more than two requests that arrive at an upstream in its back-off', () => {
    deepEqual(checkClosure('backOff', [1_100, 1_200, 1_300, 2_000, 4_900, 5_100]), []);
    deepEqual(checkClosure('backOff', [2_000, 3_000, 4_900]), ['backOff']);
    const linkSpans = [{ upstreamId: 'u', fromMs: 900, untilMs: 1_100 }];
    deepEqual(checkClosure('backOff', [2_000, 3_000, 4_900], { linkSpans }), []);
  });

  /** Records requests of two hosts at an upstream with a limit of 1 per second from 1,000 ms. */
  function checkLimit(
    timesMs: readonly number[],
    spans: Partial<SoakRecord> = {},
    toldAtMs = 1_000,
  ): string[] {
    const callers = [0, 1].map((hostIndex) => ({
      ...CALLER,
      kind: REQUEST_KIND.repeatable,
      requestId: `r${hostIndex}`,
      hostIndex,
      answerText: `answer to r${hostIndex}`,
    }));
    const record = createSoakRecord({
      callers,
      limitArrivals: timesMs.map((atMs, index) => ({
        upstreamId: 'u', kind: LIMITED_KIND.request, requestId: `r${index % 2}`, atMs,
      })),
      limitNotices: [0, 1].map((hostIndex) => ({
        upstreamId: 'u', kind: LIMITED_KIND.request, requestId: `r${hostIndex}`, atMs: toldAtMs,
      })),
      limitSpans: [{
        upstreamId: 'u', service: 'once', requestsPerSecond: 1, fromMs: 1_000, untilMs: 30_000,
      }],
      ...spans,
    });
    return findViolations(record, 40_000, BOUNDS).map(({ promise }) => promise);
  }

  it('finds that an upstream gets more than its advertised limit', () => {
    const dueAtMs = 1_000 + CONTACT_MS;
    const times = Array.from({ length: 12 }, (_, index) => dueAtMs + index * 350);
    deepEqual(checkLimit(times), ['limit']);
    deepEqual(checkLimit(times.slice(1)), []);
    deepEqual(checkLimit(times.map((atMs) => atMs - CONTACT_MS)), []);
    deepEqual(checkLimit(times.map((_, index) => dueAtMs + index * 370)), []);
    deepEqual(checkLimit(times, {}, dueAtMs), [], 'two hosts that got the notice recently');
    const hostSpans = [{ hostIndex: 0, fromMs: dueAtMs, untilMs: dueAtMs + 1 }];
    deepEqual(checkLimit(times, { hostSpans }), []);
  });
});
