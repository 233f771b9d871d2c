import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { AttemptFailure } from './AttemptFailure.ts';
import { getAttemptFailure, type AttemptEvidence } from './getAttemptFailure.ts';

const CASES: readonly (readonly [AttemptEvidence, AttemptFailure])[] = [
  [{ kind: 'connectionBroken', isSent: false }, 'unreachable'],
  [{ kind: 'connectionBroken', isSent: true }, 'crashed'],
  [{ kind: 'timeout', isSent: false }, 'unreachable'],
  [{ kind: 'timeout', isSent: true }, 'timedOut'],
  [{ kind: 'errorStatus', statusCode: 503, isNotRun: true }, 'refused'],
  [{ kind: 'errorStatus', statusCode: 429, isNotRun: true }, 'refused'],
  [{ kind: 'errorStatus', statusCode: 503, isNotRun: false }, 'errored'],
  [{ kind: 'errorStatus', statusCode: 429, isNotRun: false }, 'errored'],
  [{ kind: 'errorStatus', statusCode: 500, isNotRun: true }, 'errored'],
  [{ kind: 'errorStatus', statusCode: 400, isNotRun: false }, 'rejected'],
  [{ kind: 'errorStatus', statusCode: 413, isNotRun: false }, 'rejected'],
  [{ kind: 'errorStatus', statusCode: 422, isNotRun: false }, 'rejected'],
  [{ kind: 'errorStatus', statusCode: 302, isNotRun: false }, 'errored'],
  [{ kind: 'unusableAnswer' }, 'truncated'],
];

describe('getAttemptFailure', () => {
  CASES.forEach(([evidence, failure]) => {
    it(`classifies ${JSON.stringify(evidence)} as ${failure}`, () => {
      equal(getAttemptFailure(evidence), failure);
    });
  });
});
