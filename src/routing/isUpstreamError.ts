import { ATTEMPT_FAILURE, type AttemptFailure } from '../upstreams/AttemptFailure.ts';

const UPSTREAM_FAILURES: readonly AttemptFailure[] = [
  ATTEMPT_FAILURE.unreachable, ATTEMPT_FAILURE.errored, ATTEMPT_FAILURE.crashed,
  ATTEMPT_FAILURE.timedOut, ATTEMPT_FAILURE.truncated,
];

const OVERLOAD_FAILURES: readonly AttemptFailure[] = [
  ATTEMPT_FAILURE.refused, ATTEMPT_FAILURE.timedOut,
];

const CERTAIN_END_FAILURES: readonly AttemptFailure[] = [
  ATTEMPT_FAILURE.unreachable, ATTEMPT_FAILURE.refused, ATTEMPT_FAILURE.rejected,
  ATTEMPT_FAILURE.errored,
];

/**
 * Checks whether a failure is an error of the upstream.
 *
 * @param failure - the failure of an attempt
 * @returns whether the upstream caused it, rather than its load or the request
 */
export function isUpstreamError(failure: AttemptFailure): boolean {
  return UPSTREAM_FAILURES.includes(failure);
}

/**
 * Checks whether a failure indicates overload.
 *
 * @param failure - the failure of an attempt
 * @returns whether the upstream may be overloaded
 */
export function isOverloadFailure(failure: AttemptFailure): boolean {
  return OVERLOAD_FAILURES.includes(failure);
}

/**
 * Checks whether an attempt has certainly ended at the upstream.
 *
 * @param failure - the failure of the attempt; null for a success
 * @returns whether it certainly no longer runs there
 */
export function isCertainEnd(failure: AttemptFailure | null): boolean {
  return failure === null || CERTAIN_END_FAILURES.includes(failure);
}
