/** How the health of an upstream is judged. */
export interface HealthOptions {
  /** Successes in a row that a warming upstream has to show. */
  readonly warmSuccessCount: number;
  /** First pause after a failure while cold; doubles with each further one. */
  readonly holdMs: number;
  /** Longest pause after failures while cold. */
  readonly maxHoldMs: number;
  /** Connections in a row that fail before a warm upstream is taken for down. */
  readonly unreachableCount: number;
  /** Largest lag of a load report; a start that seems younger by less is no new one. */
  readonly maxReportLagMs: number;
  /** A pause in the answers after which slow ones are taken for lost caches. */
  readonly idleGapMs: number;
  /** Slow means longer than the usual latency by this factor. */
  readonly slowFactor: number;
  /** Slow answers in a row, directly after a pause, that make an upstream cold. */
  readonly slowAnswerCount: number;
}

/** Defaults of the judgement. */
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

/** What a state transition looks at. */
export interface TransitionContext {
  readonly nowMs: number;
  readonly options: HealthOptions;
  /** How long an upstream of the pool stays cold after its start. */
  readonly warmupMs: number;
  /** Attempts that a cold upstream of the pool bears; 0 when it takes none at all. */
  readonly coldConcurrency: number;
}
