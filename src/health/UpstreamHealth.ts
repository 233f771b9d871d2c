import type { PoolRecord } from '../configuration/records/PoolRecord.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import type { AttemptFailure } from '../upstreams/AttemptFailure.ts';
import { ATTEMPT_FAILURE } from '../upstreams/AttemptFailure.ts';
import { COLD_REASON } from './ColdReason.ts';
import type { HealthEvent } from './HealthEvent.ts';
import { DEFAULT_HEALTH_OPTIONS, type TransitionContext, type HealthOptions } from './HealthOptions.ts';
import type { HealthState } from './HealthState.ts';
import { StartDetector, type StartReport } from './StartDetector.ts';
import { createStartedState } from './states/createColdState.ts';
import { updateHealthState } from './updateHealthState.ts';

/** How an attempt ended, as far as it tells about the upstream. */
export interface HealthOutcome {
  /** Incarnation that answered; null when none did or none was named. */
  readonly incarnation: string | null;
  /** Null for a success. */
  readonly failure: AttemptFailure | null;
  readonly latencyMs: number;
}

/** Failures that the upstream itself answered with, so that it is up. */
const ANSWERED_FAILURES: readonly AttemptFailure[] = [
  ATTEMPT_FAILURE.refused, ATTEMPT_FAILURE.rejected, ATTEMPT_FAILURE.errored,
];

/**
 * What one upstream bears, learned from its reports and answers:
 * `cold → warming → warm → draining → gone`.
 *
 * ```ts
 * health.noteReport(loadReported);
 * health.noteOutcome({ incarnation, failure, latencyMs });
 * health.setDrained(isDrained, runningCount);
 * health.noteEmptied();                 // its last running attempt has ended
 * health.tick();                        // at getNextWakeMs()
 * if (health.takesWork()) ...           // and, while needsGrant(), only with a granted slot
 * ```
 */
export class UpstreamHealth {
  readonly #context: CoreContext;

  readonly #options: HealthOptions;

  readonly #detector: StartDetector;

  #pool: PoolRecord;

  #state: HealthState;

  /**
   * @param context - the time of the step
   * @param pool - the pool of the upstream
   * @param options - how it is judged; what is left out takes its default
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

  /** Where the upstream stands. */
  get state(): HealthState {
    return this.#state;
  }

  /**
   * @param pool - the pool's record, after a change of the configuration
   */
  setPool(pool: PoolRecord): void {
    this.#pool = pool;
  }

  /**
   * @returns whether it may get new work now
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
   * @returns whether new work needs a slot that its steward has granted
   */
  needsGrant(): boolean {
    return this.#state.kind === 'cold' || this.#state.kind === 'warming';
  }

  /**
   * @param report - a load report
   */
  recordReport(report: StartReport): void {
    const event = this.#detector.recordReport(report, this.#context.getNowMs());
    if (event !== null) {
      this.#apply(event);
    }
  }

  /**
   * @param outcome - how an attempt ended
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
   * @param isDrained - whether operators have taken the upstream out of service
   * @param runningCount - attempts of this host that run there
   */
  setDrained(isDrained: boolean, runningCount: number): void {
    this.#apply({ kind: isDrained ? 'drainSet' : 'drainCleared' });
    if (isDrained && runningCount === 0) {
      this.recordLastAttemptEnded();
    }
  }

  /** Notes that the last attempt of this host at the upstream has ended. */
  recordLastAttemptEnded(): void {
    this.#apply({ kind: 'emptied' });
  }

  /** Lets time take effect. */
  tick(): void {
    this.#apply({ kind: 'ticked' });
  }

  /**
   * @returns when time alone changes what the upstream takes; Infinity for never
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
