import { strict as assert } from 'node:assert';
import { describe, it } from 'node:test';
import { FAULTS } from './FAULTS.ts';
import { createRows } from './runFaultMatrix.ts';
import { runFaultCase } from './runFaultCase.ts';
import { STEPS } from './STEPS.ts';

const SEED = 1;

/**
 * Makes a test for each fault and step of a part of the matrix; the parts run side by side.
 *
 * @param part - which part, from 0
 * @param partCount - how many parts there are
 */
export function describeFaults(part: number, partCount: number): void {
  const faults = FAULTS.filter((_, index) => index % partCount === part);
  faults.forEach((fault) => describe(`the promises hold through: ${fault.name}`, () => {
    STEPS.forEach((step) => {
      it(`${fault.name} at ${step}`, (context) => {
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
