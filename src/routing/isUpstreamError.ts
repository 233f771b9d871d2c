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
 * @param failure - how an attempt failed
 * @returns whether the upstream is at fault, and not its load or the request
 */
export function isUpstreamError(failure: AttemptFailure): boolean {
  return UPSTREAM_FAILURES.includes(failure);
}

/**
 * @param failure - how an attempt failed
 * @returns whether it speaks for too much load
 */
export function isOverloadFailure(failure: AttemptFailure): boolean {
  return OVERLOAD_FAILURES.includes(failure);
}

/**
 * @param failure - how an attempt ended; null for a success
 * @returns whether it surely no longer runs at the upstream
 */
export function isCertainEnd(failure: AttemptFailure | null): boolean {
  return failure === null || CERTAIN_END_FAILURES.includes(failure);
}
