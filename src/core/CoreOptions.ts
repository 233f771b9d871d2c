/** Options of the core. */
export interface CoreOptions {
  /** How long a final answer is retained for callers that resume. */
  readonly answerRetentionMs: number;
  /** Maximum number of retained answers; the oldest are evicted first. */
  readonly maxRetainedAnswers: number;
  /** Maximum number of requests in flight. */
  readonly maxRequestsInFlight: number;
  /** Longest deadline that a caller may set. */
  readonly maxDeadlineMs: number;
  /** How long a leaving host still admits requests, until the load balancer has noticed. */
  readonly leaveGraceMs: number;
  /** How long the host waits for the end and the cost of an attempt that timed out. */
  readonly lateAttemptTimeoutMs: number;
  /** Time between two claim requests for a key that another request holds. */
  readonly claimRetryPeriodMs: number;
  /** How long a disconnected caller may take to resume before its request is cancelled. */
  readonly resumeGraceMs: number;
  /** Maximum number of attempts of one repeatable stage. */
  readonly maxAttemptsPerStage: number;
  /** Retry delay in a refusal when no more precise value is known. */
  readonly defaultRetryAfterMs: number;
}

/** Defaults of {@link CoreOptions}. */
export const DEFAULT_CORE_OPTIONS: CoreOptions = {
  answerRetentionMs: 60_000,
  maxRetainedAnswers: 10_000,
  maxRequestsInFlight: 5_000,
  maxDeadlineMs: 600_000,
  leaveGraceMs: 1_500,
  lateAttemptTimeoutMs: 5_000,
  claimRetryPeriodMs: 200,
  resumeGraceMs: 2_000,
  maxAttemptsPerStage: 3,
  defaultRetryAfterMs: 1_000,
};
