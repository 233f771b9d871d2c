import type { RequestAnswer } from '../../src/answers/RequestAnswer.ts';
import type { RequestId } from '../../src/lib/ids.ts';

/** What became of one request. */
export interface RequestOutcome {
  readonly requestId: RequestId;
  readonly accountId: string;
  /** Whether the caller came back after a refusal. */
  readonly isCallerRetry: boolean;
  readonly isBooking: boolean;
  readonly arrivedAtMs: number;
  /** More than one is a fault. */
  readonly answers: { readonly answer: RequestAnswer; readonly atMs: number }[];
}

const DEADLINE_MS = 6_000;

/**
 * @param outcome - a request
 * @returns whether it got its whole answer within its deadline
 */
export function isAttained(outcome: RequestOutcome): boolean {
  const first = outcome.answers[0];
  return first?.answer.kind === 'completed' && first.atMs - outcome.arrivedAtMs <= DEADLINE_MS;
}

/**
 * @param outcomes - requests
 * @returns the part of them with a whole answer in time; 1 for none
 */
export function getAttainment(outcomes: readonly RequestOutcome[]): number {
  return outcomes.length === 0 ? 1 : outcomes.filter(isAttained).length / outcomes.length;
}

/**
 * @param values - numbers
 * @param quantile - between 0 and 1
 * @returns the value at the quantile; 0 for none
 */
export function getQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
