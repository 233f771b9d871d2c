import { FAULTS } from './FAULTS.ts';
import { PROMISES } from './PROMISES.ts';
import { runFaultCase } from './runFaultCase.ts';

/** Whether the check of a promise sees a fault put into the system on purpose. */
export interface SelfTestRow {
  readonly promise: string;
  readonly mutation: string;
  /** Findings without the mutation; the check must be green then. */
  readonly cleanFindings: readonly string[];
  /** Findings with the mutation; the check must be red then. */
  readonly mutatedFindings: readonly string[];
  readonly isCaught: boolean;
}

/**
 * Runs one cell for each promise, once as it is and once with a mutation that breaks the promise.
 *
 * @param seed - of the runs
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
