import { readKnownRed } from '../../scripts/checkKnownRed.ts';
import { FAULTS } from './FAULTS.ts';
import type { FaultTrace } from './FaultTrace.ts';
import { PROMISES } from './PROMISES.ts';
import { runFaultCase } from './runFaultCase.ts';
import { STEPS, type FaultStep } from './STEPS.ts';

/** Verdict on a cell of the matrix. */
export type FaultVerdict = 'passed' | 'failed' | 'knownRed';

/** One cell of the matrix: a promise checked with a fault at a step. */
export interface FaultRow {
  readonly fault: string;
  readonly step: FaultStep;
  readonly promise: string;
  readonly seed: number;
  readonly verdict: FaultVerdict;
  /** Violations of the promise; empty for a pass. */
  readonly findings: readonly string[];
}

/** Results of a run of the matrix. */
export interface FaultReport {
  readonly cases: number;
  readonly passed: number;
  readonly failed: number;
  readonly knownRed: number;
  readonly rows: readonly FaultRow[];
}

const MAX_FINDINGS = 3;

/**
 * @param fault - name of the fault
 * @param step - the step at which it was injected
 * @param promise - name of the promise
 * @returns the name under which KNOWN-RED.txt lists the cell
 */
export function getCellName(fault: string, step: FaultStep, promise: string): string {
  return `${fault} at ${step}: ${promise}`;
}

function getVerdict(name: string, findings: readonly string[], known: string[]): FaultVerdict {
  if (findings.length === 0) {
    return 'passed';
  }
  return known.includes(name) ? 'knownRed' : 'failed';
}

/**
 * Checks a run against every promise.
 *
 * @param fault - name of the fault
 * @param step - the step at which it was injected
 * @param seed - seed of the run
 * @param run - the trace, and the number of faults that were injected
 * @returns a row for each promise
 */
export function createRows(
  fault: string,
  step: FaultStep,
  seed: number,
  run: { readonly trace: FaultTrace; readonly injectedCount: number },
): FaultRow[] {
  const known = readKnownRed();
  return PROMISES.map(({ name: promise, check }) => {
    const missed = run.injectedCount === 0 ? ['the step was never reached'] : [];
    const findings = [...missed, ...check(run.trace)].slice(0, MAX_FINDINGS);
    const verdict = getVerdict(getCellName(fault, step, promise), findings, known);
    return {
      fault, step, promise, seed, verdict, findings,
    };
  });
}

/**
 * @param rows - rows of the matrix
 * @returns the report with its counts
 */
export function createFaultReport(rows: readonly FaultRow[]): FaultReport {
  const count = (verdict: FaultVerdict): number => (
    rows.filter((row) => row.verdict === verdict).length
  );
  return {
    cases: rows.length,
    passed: count('passed'),
    failed: count('failed'),
    knownRed: count('knownRed'),
    rows,
  };
}

/**
 * Runs every fault at every step and checks each run against every promise.
 *
 * @param seeds - seeds; each cell runs once with each of them
 * @returns the report
 */
export function runFaultMatrix(seeds: readonly number[]): FaultReport {
  const rows = seeds.flatMap((seed) => FAULTS.flatMap((fault) => STEPS.flatMap((step) => (
    createRows(fault.name, step, seed, runFaultCase([{ fault, step }], seed))
  ))));
  return createFaultReport(rows);
}
