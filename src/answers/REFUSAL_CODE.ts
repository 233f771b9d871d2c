/** Stable codes of answers without a complete result. */
export const REFUSAL_CODE = {
  /** The body or a header is not valid. */
  inputInvalid: 'input-invalid',
  /** No account has this caller key. */
  unauthenticated: 'unauthenticated',
  /** The account may not call this pipeline, or the pipeline does not exist. */
  pipelineUnknown: 'pipeline-unknown',
  /** No host that could be queried knows the request id. */
  requestUnknown: 'request-unknown',
  /** The host has no configuration yet, or is stopping. */
  notReady: 'not-ready',
  /** The remaining time is shorter than what the stages need. */
  deadlineUnreachable: 'deadline-unreachable',
  /** The deadline passed before the pipeline ended. */
  deadlineExceeded: 'deadline-exceeded',
  /** The account's queue or the pool is full. */
  overloaded: 'overloaded',
  /** The request would cost more than its account allows. */
  costCeiling: 'cost-ceiling',
  /** Upstreams crashed while they processed this request. */
  quarantined: 'quarantined',
  /** A non-repeatable request needs an idempotency key. */
  keyRequired: 'key-required',
  /** The idempotency key was used with another input. */
  keyReused: 'key-reused',
  /** The claim that a non-repeatable request needs can't be stored durably now. */
  claimUnavailable: 'claim-unavailable',
  /** The request may have run; its outcome can't be known. */
  outcomeUnknown: 'outcome-unknown',
  /** An upstream refused or failed the stage, and no retry is left. */
  upstreamFailed: 'upstream-failed',
  /** The caller disconnected or cancelled the request. */
  cancelled: 'cancelled',
} as const;

/** A member of {@link REFUSAL_CODE}. */
export type RefusalCode = typeof REFUSAL_CODE[keyof typeof REFUSAL_CODE];
