import type { RequestAnswer } from '../../src/answers/RequestAnswer.ts';
import type { RequestId } from '../../src/lib/ids.ts';

/** The outcome of one request. */
export interface RequestOutcome {
  readonly requestId: RequestId;
  readonly accountId: string;
  /** Whether this request is a retry by the caller after a refusal. */
  readonly isCallerRetry: boolean;
  readonly isBooking: boolean;
  readonly arrivedAtMs: number;
  /** The answers to the request; more than one is a fault. */
  readonly answers: { readonly answer: RequestAnswer; readonly atMs: number }[];
}

const DEADLINE_MS = 6_000;

/**
 * Tells whether a request was completed within its deadline.
 *
 * @param outcome - outcome of the request
 * @returns whether its complete answer arrived in time
 */
export function isAttained(outcome: RequestOutcome): boolean {
  const first = outcome.answers[0];
  return first?.answer.kind === 'completed' && first.atMs - outcome.arrivedAtMs <= DEADLINE_MS;
}

/**
 * Computes the deadline attainment of requests.
 *
 * @param outcomes - outcomes of the requests
 * @returns the fraction of them that was completed in time; 1 if there are none
 */
export function getAttainment(outcomes: readonly RequestOutcome[]): number {
  return outcomes.length === 0 ? 1 : outcomes.filter(isAttained).length / outcomes.length;
}

/**
 * Computes a quantile of values.
 *
 * @param values - the values
 * @param quantile - between 0 and 1
 * @returns the value at the quantile; 0 if there are none
 */
export function getQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
