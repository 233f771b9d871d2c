import { deepEqual } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { getFailedTests } from './checkKnownRed.ts';

function createReport(name: string, failureType: string, isSuite: boolean): string {
  return [
    `not ok 1 - ${name}`, '  ---', '  duration_ms: 1', ...(isSuite ? ["  type: 'suite'"] : []),
    "  location: 'x.test.ts:1:1'", `  failureType: '${failureType}'`, '  ...',
  ].join('\n');
}

describe('getFailedTests', () => {
  const cases = [
    {
      name: 'lists a failed test',
      report: createReport('a', 'testCodeFailure', false),
      failed: ['a'],
    },
    {
      name: 'omits a suite that failed only through its tests',
      report: createReport('suite', 'subtestsFailed', true),
      failed: [],
    },
    {
      name: 'lists a suite whose set-up failed',
      report: createReport('suite', 'hookFailed', true),
      failed: ['suite'],
    },
    {
      name: 'lists a file that crashed or hung',
      report: createReport('/work/src/x.test.ts', 'testCodeFailure', false),
      failed: ['/work/src/x.test.ts'],
    },
  ];
  cases.forEach(({ name, report, failed }) => {
    it(name, () => deepEqual(getFailedTests(report), failed));
  });
});
