/** Options of the health state of an upstream. */
export interface HealthOptions {
  /** Consecutive successes that a warming upstream needs to become warm. */
  readonly warmSuccessCount: number;
  /** First hold after a failure while cold; doubles with each further failure. */
  readonly holdMs: number;
  /** Maximum hold after failures while cold. */
  readonly maxHoldMs: number;
  /** Consecutive failed connections after which a warm upstream is considered unreachable. */
  readonly unreachableCount: number;
  /** Maximum lag of a load report; a start that appears later by less is not a new start. */
  readonly maxReportLagMs: number;
  /** Idle period after which slow answers indicate lost caches. */
  readonly idleGapMs: number;
  /** An answer is slow if it exceeds the baseline latency by this factor. */
  readonly slowFactor: number;
  /** Consecutive slow answers, directly after an idle period, that make an upstream cold. */
  readonly slowAnswerCount: number;
}

/** Default health options. */
export const DEFAULT_HEALTH_OPTIONS: HealthOptions = {
  warmSuccessCount: 3,
  holdMs: 500,
  maxHoldMs: 8_000,
  unreachableCount: 2,
  maxReportLagMs: 10_000,
  idleGapMs: 5_000,
  slowFactor: 4,
  slowAnswerCount: 2,
};

/** Inputs of a state transition beside the state and the event. */
export interface TransitionContext {
  readonly nowMs: number;
  readonly options: HealthOptions;
  /** Minimum time from the start of an upstream of the pool until it is warm. */
  readonly warmupMs: number;
  /** Concurrent attempts that a cold upstream of the pool can run; 0 for none. */
  readonly coldConcurrency: number;
}
