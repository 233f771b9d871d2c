import { FAULTS } from './FAULTS.ts';
import { PROMISES } from './PROMISES.ts';
import { runFaultCase } from './runFaultCase.ts';

/** Whether the check of a promise detects the defect injected by its mutation. */
export interface SelfTestRow {
  readonly promise: string;
  readonly mutation: string;
  /** Violations found without the mutation; must be empty. */
  readonly cleanFindings: readonly string[];
  /** Violations found with the mutation; must not be empty. */
  readonly mutatedFindings: readonly string[];
  readonly isCaught: boolean;
}

/**
 * Runs one cell for each promise, once unmodified and once with the mutation that breaks it.
 *
 * @param seed - seed of the runs
 * @returns a row for each promise
 */
export function runSelfTest(seed: number): SelfTestRow[] {
  return PROMISES.map(({
    name: promise, mutation, shownBy, check,
  }) => {
    const fault = FAULTS.find(({ name }) => name === shownBy.fault);
    const injections = fault === undefined ? [] : [{ fault, step: shownBy.step }];
    const cleanFindings = check(runFaultCase(injections, seed).trace);
    const mutatedFindings = check(runFaultCase(injections, seed, mutation).trace);
    const isCaught = cleanFindings.length === 0 && mutatedFindings.length > 0;
    return {
      promise, mutation, cleanFindings, mutatedFindings, isCaught,
    };
  });
}
