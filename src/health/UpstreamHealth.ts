import type { PoolRecord } from '../configuration/records/PoolRecord.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import type { AttemptFailure } from '../upstreams/AttemptFailure.ts';
import { ATTEMPT_FAILURE } from '../upstreams/AttemptFailure.ts';
import { COLD_REASON } from './ColdReason.ts';
import type { HealthEvent } from './HealthEvent.ts';
import {
  DEFAULT_HEALTH_OPTIONS, type HealthOptions, type TransitionContext,
} from './HealthOptions.ts';
import type { HealthState } from './HealthState.ts';
import { StartDetector, type StartReport } from './StartDetector.ts';
import { createStartedState } from './states/createColdState.ts';
import { updateHealthState } from './updateHealthState.ts';

/** Outcome of an attempt as evidence of the upstream's health. */
export interface HealthOutcome {
  /** Incarnation that answered; null without an answer or if it did not contain one. */
  readonly incarnation: string | null;
  /** Null for a success. */
  readonly failure: AttemptFailure | null;
  readonly latencyMs: number;
}

/** Failures returned by the upstream itself, which show that it is running. */
const ANSWERED_FAILURES: readonly AttemptFailure[] = [
  ATTEMPT_FAILURE.refused, ATTEMPT_FAILURE.rejected, ATTEMPT_FAILURE.errored,
];

/**
 * Tracks the health state of one upstream from its reports and answers:
 * `cold → warming → warm → draining → gone`.
 *
 * ```ts
 * health.recordReport(loadReported);
 * health.recordOutcome({ incarnation, failure, latencyMs });
 * health.setDrained(isDrained, runningCount);
 * health.recordLastAttemptEnded();
 * health.tick();                        // at getNextWakeMs()
 * if (health.acceptsWork()) ...         // and, while needsGrant(), only with a granted slot
 * ```
 */
export class UpstreamHealth {
  readonly #context: CoreContext;

  readonly #options: HealthOptions;

  readonly #detector: StartDetector;

  #pool: PoolRecord;

  #state: HealthState;

  /**
   * @param context - time of the step
   * @param pool - the pool of the upstream
   * @param options - options of the transitions; omitted ones take their defaults
   */
  constructor(context: CoreContext, pool: PoolRecord, options: Partial<HealthOptions> = {}) {
    this.#context = context;
    this.#pool = pool;
    this.#options = { ...DEFAULT_HEALTH_OPTIONS, ...options };
    this.#detector = new StartDetector(this.#options);
    this.#state = createStartedState(
      COLD_REASON.firstContact,
      context.getNowMs(),
      this.#getTransitionContext(),
    );
  }

  /** Current state of the upstream. */
  get state(): HealthState {
    return this.#state;
  }

  /**
   * Applies a changed pool record.
   *
   * @param pool - the new record
   */
  setPool(pool: PoolRecord): void {
    this.#pool = pool;
  }

  /**
   * Checks whether the upstream accepts attempts.
   *
   * @returns whether new attempts may be sent now
   */
  acceptsWork(): boolean {
    switch (this.#state.kind) {
      case 'cold':
        return this.#pool.coldConcurrency > 0
          && this.#context.getNowMs() >= this.#state.holdUntilMs;
      case 'warming':
      case 'warm':
        return true;
      default:
        return false;
    }
  }

  /**
   * Checks whether attempts need a grant.
   *
   * @returns whether a new attempt needs a slot granted by the grant coordinator
   */
  needsGrant(): boolean {
    return this.#state.kind === 'cold' || this.#state.kind === 'warming';
  }

  /**
   * Records a load report.
   *
   * @param report - the report
   */
  recordReport(report: StartReport): void {
    const event = this.#detector.recordReport(report, this.#context.getNowMs());
    if (event !== null) {
      this.#apply(event);
    }
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param outcome - the outcome
   */
  recordOutcome(outcome: HealthOutcome): void {
    const { failure } = outcome;
    if (this.#detector.isSuperseded(outcome.incarnation)) {
      return;
    }
    if (failure === ATTEMPT_FAILURE.unreachable) {
      this.#detector.recordUnreachable();
    }
    if (failure === null || ANSWERED_FAILURES.includes(failure)) {
      const started = this.#detector.recordAnswer(outcome, this.#context.getNowMs());
      if (started !== null) {
        this.#apply(started);
      }
    }
    this.#apply(failure === null ? { kind: 'succeeded' } : { kind: 'failed', failure });
  }

  /**
   * Applies a drain or its end.
   *
   * @param isDrained - whether operators have taken the upstream out of service
   * @param runningCount - running attempts of this host
   */
  setDrained(isDrained: boolean, runningCount: number): void {
    this.#apply({ kind: isDrained ? 'drainSet' : 'drainCleared' });
    if (isDrained && runningCount === 0) {
      this.recordLastAttemptEnded();
    }
  }

  /** Records that the last running attempt of this host at the upstream has ended. */
  recordLastAttemptEnded(): void {
    this.#apply({ kind: 'emptied' });
  }

  /** Applies the state changes that are due. */
  tick(): void {
    this.#apply({ kind: 'ticked' });
  }

  /**
   * Gets the time of the next change without an event.
   *
   * @returns when time alone changes what the upstream accepts; Infinity for never
   */
  getNextWakeMs(): number {
    const nowMs = this.#context.getNowMs();
    const warmAtMs = this.#state.startedAtMs + this.#pool.warmupMs;
    switch (this.#state.kind) {
      case 'cold': {
        const { holdUntilMs } = this.#state;
        const isHeld = holdUntilMs > nowMs;
        return isHeld || this.#pool.coldConcurrency > 0
          ? this.#getIfFuture(holdUntilMs)
          : this.#getIfFuture(warmAtMs);
      }
      case 'warming':
        return this.#getIfFuture(warmAtMs);
      default:
        return Infinity;
    }
  }

  #getIfFuture(timeMs: number): number {
    return timeMs > this.#context.getNowMs() ? timeMs : Infinity;
  }

  #apply(event: HealthEvent): void {
    this.#state = updateHealthState(this.#state, event, this.#getTransitionContext());
  }

  #getTransitionContext(): TransitionContext {
    return {
      nowMs: this.#context.getNowMs(),
      options: this.#options,
      warmupMs: this.#pool.warmupMs,
      coldConcurrency: this.#pool.coldConcurrency,
    };
  }
}
