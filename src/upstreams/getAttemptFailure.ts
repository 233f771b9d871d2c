import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import { ATTEMPT_FAILURE, type AttemptFailure } from './AttemptFailure.ts';

/** Evidence of why an attempt ended without a result. */
export type AttemptEvidence =
  /** The connect failed or the connection broke. */
  | { readonly kind: 'connectionBroken'; readonly isSent: boolean }
  /** No answer in time. */
  | { readonly kind: 'timeout'; readonly isSent: boolean }
  /** A complete answer without a success status. */
  | { readonly kind: 'errorStatus'; readonly statusCode: number; readonly isNotRun: boolean }
  /** A success that is incomplete, does not match its digest or belongs to another attempt. */
  | { readonly kind: 'unusableAnswer' };

const NOT_RUN_STATUS_CODES: readonly number[] = [429, 503];
const REJECTED_STATUS_CODES: readonly number[] = [400, 413, 422];

function getStatusFailure(statusCode: number, isNotRun: boolean): AttemptFailure {
  if (isNotRun && NOT_RUN_STATUS_CODES.includes(statusCode)) {
    return ATTEMPT_FAILURE.refused;
  }
  return REJECTED_STATUS_CODES.includes(statusCode)
    ? ATTEMPT_FAILURE.rejected
    : ATTEMPT_FAILURE.errored;
}

/**
 * Classifies an attempt that ended without a result. Only `unreachable` and `refused` mean that it
 * was not executed; `isSent` is true from the moment when the request was handed to a transport,
 * whether or not the upstream read it.
 *
 * @param evidence - the evidence
 * @returns the cause
 */
export function getAttemptFailure(evidence: AttemptEvidence): AttemptFailure {
  switch (evidence.kind) {
    case 'connectionBroken':
      return evidence.isSent ? ATTEMPT_FAILURE.crashed : ATTEMPT_FAILURE.unreachable;
    case 'timeout':
      return evidence.isSent ? ATTEMPT_FAILURE.timedOut : ATTEMPT_FAILURE.unreachable;
    case 'errorStatus':
      return getStatusFailure(evidence.statusCode, evidence.isNotRun);
    case 'unusableAnswer':
      return ATTEMPT_FAILURE.truncated;
    default:
      throw exhaustiveSwitchError(evidence);
  }
}
