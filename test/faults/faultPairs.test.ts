import { strict as assert } from 'node:assert';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { FAULTS } from './FAULTS.ts';
import { PROMISES } from './PROMISES.ts';
import { runFaultCase } from './runFaultCase.ts';
import { STEPS } from './STEPS.ts';

const SEED = 20_261_203;
const RUNS = 30;
const MAX_FAULTS = 2;

const injection = fc.record({
  fault: fc.constantFrom(...FAULTS),
  step: fc.constantFrom(...STEPS),
});

describe('pairs of faults', () => {
  it('keep every promise when injected together, in sequence or twice', () => {
    fc.assert(
      fc.property(
        fc.array(injection, { minLength: MAX_FAULTS, maxLength: MAX_FAULTS }),
        fc.integer({ min: 1, max: 1000 }),
        (injections, seed) => {
          const { trace } = runFaultCase(injections, seed);
          const broken = PROMISES.flatMap(({ name, check }) => (
            check(trace).map((finding) => `${name}: ${finding}`)
          ));
          assert.deepEqual(broken, [], injections
            .map(({ fault, step }) => `${fault.name} at ${step}`).join(' and '));
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
