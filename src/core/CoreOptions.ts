/** Options of the core. */
export interface CoreOptions {
  /** How long a final answer is kept for callers who resume. */
  readonly answerRetentionMs: number;
  /** Answers kept at most; the oldest go first. */
  readonly maxRetainedAnswers: number;
  /** Requests in flight at most. */
  readonly maxRequestsInFlight: number;
  /** Longest deadline a caller may ask for. */
  readonly maxDeadlineMs: number;
  /** How long a leaving host goes on admitting requests, so that the balancer notices first. */
  readonly leaveGraceMs: number;
  /** How long the end of an attempt that timed out is waited for, with its cost. */
  readonly lateAttemptTimeoutMs: number;
  /** Time between two questions for the outcome of a key that runs elsewhere. */
  readonly claimRetryPeriodMs: number;
  /** How long a caller that went away may take to come back before its request is given up. */
  readonly resumeGraceMs: number;
  /** Attempts of one repeatable stage at most. */
  readonly maxAttemptsPerStage: number;
  /** Time to come back that a refusal names when nothing better is known. */
  readonly defaultRetryAfterMs: number;
}

/** Defaults of the core's options. */
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
