/** Causes of an attempt that ended without a result. */
export const ATTEMPT_FAILURE = {
  /** No connection was made; no byte was handed to a transport. */
  unreachable: 'unreachable',
  /** The upstream answered that it did not run the attempt. */
  refused: 'refused',
  /** The upstream answered that the input is invalid; a retry can't help. */
  rejected: 'rejected',
  /** The upstream executed the attempt and reported an error. */
  errored: 'errored',
  /** The connection broke after the send. */
  crashed: 'crashed',
  /** No answer in time. */
  timedOut: 'timedOut',
  /** The stream ended without its end mark, or its length or digest does not match. */
  truncated: 'truncated',
} as const;

/** A member of {@link ATTEMPT_FAILURE}. */
export type AttemptFailure = typeof ATTEMPT_FAILURE[keyof typeof ATTEMPT_FAILURE];
