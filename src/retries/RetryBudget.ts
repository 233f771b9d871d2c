import type { CoreContext } from '../core/CoreContext.ts';

/** Time source of a {@link RetryBudget}. */
export type RetryBudgetContext = Pick<CoreContext, 'getNowMs'>;

/** Options of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries and hedges as a fraction of first attempts. */
  readonly ratio: number;
  /** Retries per second allowed at any load, so that a pool with little traffic can retry. */
  readonly floorPerSecond: number;
  /** Highest number of retries that can accumulate. */
  readonly burst: number;
  /** Quantile of the stage's latency after which a hedge is worth its cost. */
  readonly hedgeQuantile: number;
  /** A hedge needs at least this fraction of its stage's median left before the deadline. */
  readonly hedgeRemainingFactor: number;
}

/** Defaults of a retry budget. */
export const DEFAULT_RETRY_BUDGET_OPTIONS: RetryBudgetOptions = {
  ratio: 0.1,
  floorPerSecond: 1,
  burst: 20,
  hedgeQuantile: 0.95,
  hedgeRemainingFactor: 1,
};

/** Input of a decision to retry. */
export interface RetryConditions {
  /** Whether the stage is idempotent: a second run has no further effect. */
  readonly isRepeatable: boolean;
  /** Time until the request's deadline. */
  readonly remainingMs: number;
  /** Median latency of the stage. */
  readonly medianMs: number;
}

/** Input of a decision to hedge. */
export interface HedgeConditions extends RetryConditions {
  /** Time since the start of the first attempt. */
  readonly elapsedMs: number;
  /** The stage's latency at `hedgeQuantile`. */
  readonly hedgeAfterMs: number;
  /** Whether an upstream other than the first has room. */
  readonly hasRoomElsewhere: boolean;
}

const MS_PER_SECOND = 1_000;

/**
 * Token bucket that bounds one pool's retries and hedges to a fraction of its offered load, so that
 * a failing pool does not receive a multiple of its traffic.
 *
 * ```ts
 * budget.recordFirstAttempt();                        // at each first attempt
 * if (budget.tryRetry(conditions)) enqueueAgain(...); // attemptFailed, with the upstream excluded
 * if (budget.tryHedge(conditions)) sendSecond(...);   // at startedAtMs + hedgeAfterMs
 * ```
 */
export class RetryBudget {
  readonly #context: RetryBudgetContext;

  readonly #options: RetryBudgetOptions;

  #tokens: number;

  #refilledAtMs: number;

  /**
   * @param context - current time
   * @param options - options that differ from the defaults
   */
  constructor(context: RetryBudgetContext, options: Partial<RetryBudgetOptions> = {}) {
    this.#context = context;
    this.#options = { ...DEFAULT_RETRY_BUDGET_OPTIONS, ...options };
    this.#tokens = Math.min(this.#options.burst, this.#options.floorPerSecond);
    this.#refilledAtMs = context.getNowMs();
  }

  /** Retries available now. */
  get available(): number {
    this.#refill();
    return Math.floor(this.#tokens);
  }

  /** Records a first attempt. */
  recordFirstAttempt(): void {
    this.#refill();
    this.#add(this.#options.ratio);
  }

  /**
   * Takes a retry from the budget when it is allowed and can still end in time.
   *
   * @param conditions - the stage and the remaining time
   * @returns whether to retry
   */
  tryRetry(conditions: RetryConditions): boolean {
    return conditions.isRepeatable
      && conditions.remainingMs >= conditions.medianMs
      && this.#take();
  }

  /**
   * Takes a hedge from the budget when a second attempt is allowed and likely to help.
   *
   * @param conditions - the stage, its first attempt and the remaining time
   * @returns whether to send a second attempt
   */
  tryHedge(conditions: HedgeConditions): boolean {
    const neededMs = conditions.medianMs * this.#options.hedgeRemainingFactor;
    return conditions.isRepeatable
      && conditions.hasRoomElsewhere
      && conditions.elapsedMs >= conditions.hedgeAfterMs
      && conditions.remainingMs >= neededMs
      && this.#take();
  }

  #take(): boolean {
    this.#refill();
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  #refill(): void {
    const nowMs = this.#context.getNowMs();
    const elapsedSeconds = (nowMs - this.#refilledAtMs) / MS_PER_SECOND;
    this.#refilledAtMs = nowMs;
    this.#add(elapsedSeconds * this.#options.floorPerSecond);
  }

  #add(tokens: number): void {
    this.#tokens = Math.min(this.#options.burst, this.#tokens + tokens);
  }
}
