import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CONFIG_APPLY_MS, findConfigurationViolations } from './findConfigurationViolations.ts';
import { createSoakRecord } from './createSoakRecord.ts';
import {
  REQUEST_KIND, type CallerRecord, type ProbeRecord, type RequestKind, type SoakRecord,
} from './SoakRecord.ts';

const { repeatable, once } = REQUEST_KIND;
const SENT_AT_MS = 20_000;
const CONFIGURATIONS = [
  {
    version: 1, key: 'key-1', movedPool: repeatable, ackedAtMs: 0,
  },
  {
    version: 2, key: 'key-2', movedPool: once, ackedAtMs: SENT_AT_MS - CONFIG_APPLY_MS,
  },
] as const;
const CALLER: CallerRecord = {
  requestId: 'r',
  kind: repeatable,
  body: '',
  hostIndex: 0,
  isRetry: false,
  sentAtMs: SENT_AT_MS,
  deadlineMs: 1_000,
  endedAtMs: SENT_AT_MS + 10,
  status: 200,
  isSigned: true,
  isComplete: true,
  answerText: '',
};
const REFUSED = { status: 401, isSigned: false } as const;

/** Checks one probe, which ran at a pool or did not run. */
function count(
  probe: Pick<ProbeRecord, 'kind' | 'version'>,
  pool: RequestKind | null,
  caller: Partial<CallerRecord> = {},
  overrides: Partial<SoakRecord> = {},
): number {
  return findConfigurationViolations(createSoakRecord({
    configurations: [...CONFIGURATIONS],
    probes: [{ ...probe, caller: { ...CALLER, ...caller } }],
    runs: pool === null ? [] : [{
      requestId: 'r',
      kind: pool,
      upstreamId: 'u',
      call: '',
      atMs: SENT_AT_MS,
      lastEventId: null,
      inputFault: null,
      account: null,
    }],
    ...overrides,
  })).length;
}

const FORMER = { kind: 'formerKey', version: 1 } as const;
const CURRENT = { kind: 'currentKey', version: 2 } as const;
const MOVED = { kind: 'movedRoute', version: 2 } as const;

describe('findConfigurationViolations', () => {
  it('finds what only an older version allows', () => {
    equal(count(FORMER, repeatable), 1);
    equal(count(CURRENT, null, REFUSED), 1);
    equal(count(MOVED, repeatable), 1);
  });

  it('finds nothing that the version in force allows', () => {
    equal(count(FORMER, null, REFUSED), 0);
    equal(count(CURRENT, repeatable), 0);
    equal(count(MOVED, once), 0);
    equal(count(CURRENT, null, { status: 503, isSigned: false }), 0);
  });

  it('allows both versions until the newer one has to be in force', () => {
    const sentAtMs = SENT_AT_MS - 1;
    equal(count(FORMER, repeatable, { sentAtMs }), 0);
    equal(count(CURRENT, null, { ...REFUSED, sentAtMs }), 0);
    equal(count(MOVED, repeatable, { sentAtMs }), 0);
  });

  it('excuses a host that was out of touch, and no other', () => {
    const span = { fromMs: SENT_AT_MS - 100, untilMs: SENT_AT_MS - 50 };
    equal(count(FORMER, repeatable, {}, { storeSpans: [{ ...span, hostIndex: 0 }] }), 0);
    equal(count(FORMER, repeatable, {}, { storeSpans: [{ ...span, hostIndex: null }] }), 0);
    equal(count(FORMER, repeatable, {}, { hostSpans: [{ ...span, hostIndex: 0 }] }), 0);
    equal(count(FORMER, repeatable, {}, { storeSpans: [{ ...span, hostIndex: 1 }] }), 1);
  });
});
