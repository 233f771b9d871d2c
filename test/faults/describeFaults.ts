import { strict as assert } from 'node:assert';
import { describe, it } from 'node:test';
import { FAULTS } from './FAULTS.ts';
import { createRows } from './runFaultMatrix.ts';
import { runFaultCase } from './runFaultCase.ts';
import { STEPS } from './STEPS.ts';

const SEED = 1;

/**
 * Declares a test for each fault and step of one part of the matrix; parts run in parallel.
 *
 * @param part - index of the part, from 0
 * @param partCount - the number of parts
 */
export function describeFaults(part: number, partCount: number): void {
  const faults = FAULTS.filter((_, index) => index % partCount === part);
  faults.forEach((fault) => describe(`the fault matrix, fault '${fault.name}'`, () => {
    STEPS.forEach((step) => {
      it(`keeps every promise with ${fault.name} at ${step}`, (context) => {
        const rows = createRows(fault.name, step, SEED, runFaultCase([{ fault, step }], SEED));
        rows.filter(({ verdict }) => verdict === 'knownRed')
          .forEach(({ promise }) => context.diagnostic(`known red: ${promise}`));
        const failed = rows.filter(({ verdict }) => verdict === 'failed')
          .map(({ promise, findings }) => `${promise}: ${findings.join('; ')}`);
        assert.deepEqual(failed, []);
      });
    });
  }));
}
