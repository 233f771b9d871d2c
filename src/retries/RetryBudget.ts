import type { CoreContext } from '../core/CoreContext.ts';

/** Where a budget gets the time. */
export type RetryBudgetContext = Pick<CoreContext, 'getNowMs'>;

/** How many retries and hedges a pool bears. */
export interface RetryBudgetOptions {
  /** Retries and hedges as a fraction of the offered first attempts. */
  readonly ratio: number;
  /** Retries per second that are allowed at any load, so that a quiet pool retries as well. */
  readonly floorPerSecond: number;
  /** Most retries that can be saved up. */
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

/** What a decision to retry looks at. */
export interface RetryConditions {
  /** Whether a second run of the stage has no further effect. */
  readonly isRepeatable: boolean;
  /** Time left to the request's deadline. */
  readonly remainingMs: number;
  /** Median latency of the stage. */
  readonly medianMs: number;
}

/** What a decision to hedge looks at. */
export interface HedgeConditions extends RetryConditions {
  /** How long the first attempt has been running. */
  readonly elapsedMs: number;
  /** The stage's latency at `hedgeQuantile`. */
  readonly hedgeAfterMs: number;
  /** Whether an upstream other than the first has room. */
  readonly hasRoomElsewhere: boolean;
}

const MS_PER_SECOND = 1_000;

/**
 * Retries and hedges of one pool, bounded to a fraction of its offered load, so that a failing pool
 * does not get a multiple of its traffic.
 *
 * ```ts
 * budget.noteOffered();                               // at each first attempt
 * if (budget.tryRetry(question)) enqueueAgain(...);   // attemptFailed, with the upstream excluded
 * if (budget.tryHedge(question)) sendSecond(...);     // at startedAtMs + hedgeAfterMs
 * ```
 */
export class RetryBudget {
  readonly #context: RetryBudgetContext;

  readonly #options: RetryBudgetOptions;

  #tokens: number;

  #refilledAtMs: number;

  /**
   * @param context - the time of the step
   * @param options - the bounds; what is left out takes its default
   */
  constructor(context: RetryBudgetContext, options: Partial<RetryBudgetOptions> = {}) {
    this.#context = context;
    this.#options = { ...DEFAULT_RETRY_BUDGET_OPTIONS, ...options };
    this.#tokens = Math.min(this.#options.burst, this.#options.floorPerSecond);
    this.#refilledAtMs = context.getNowMs();
  }

  /** Retries that could be made now. */
  get available(): number {
    this.#refill();
    return Math.floor(this.#tokens);
  }

  /** Counts a first attempt. */
  recordFirstAttempt(): void {
    this.#refill();
    this.#add(this.#options.ratio);
  }

  /**
   * Takes a retry out of the budget, when it is allowed and can still end in time.
   *
   * @param question - the stage and the time left
   * @returns whether to retry
   */
  tryRetry(question: RetryConditions): boolean {
    return question.isRepeatable
      && question.remainingMs >= question.medianMs
      && this.#take();
  }

  /**
   * Takes a hedge out of the budget, when a second attempt is allowed and likely to help.
   *
   * @param question - the stage, its first attempt and the time left
   * @returns whether to send a second attempt
   */
  tryHedge(question: HedgeConditions): boolean {
    const neededMs = question.medianMs * this.#options.hedgeRemainingFactor;
    return question.isRepeatable
      && question.hasRoomElsewhere
      && question.elapsedMs >= question.hedgeAfterMs
      && question.remainingMs >= neededMs
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
