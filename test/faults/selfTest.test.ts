import { strict as assert } from 'node:assert';
import { describe, it } from 'node:test';
import { runSelfTest } from './runSelfTest.ts';

describe('the checks of the fault matrix', () => {
  runSelfTest(1).forEach((row) => {
    it(`fail on the mutation ${row.mutation} only`, () => {
      assert.deepEqual(row.cleanFindings, []);
      assert.ok(row.mutatedFindings.length > 0, row.promise);
    });
  });
});
