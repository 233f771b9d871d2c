import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import type { RandomSource } from '../../lib/RandomSource.ts';
import { getBackoffMs, type BreakerOptions } from './BreakerOptions.ts';
import type { BreakerState, BreakerTransition } from './BreakerState.ts';
import { ClosedState } from './ClosedState.ts';
import { OpenState } from './OpenState.ts';

/** Circuit breaker: a service that does not answer gets one probe at a time and no other calls. */
export class CallBreaker {
  readonly #random: RandomSource;

  readonly #options: BreakerOptions;

  #state: BreakerState;

  /**
   * @param random - source of the jitter of the probes
   * @param options - threshold and backoff
   */
  constructor(random: RandomSource, options: BreakerOptions) {
    this.#random = random;
    this.#options = options;
    this.#state = new ClosedState(options.failureThreshold);
  }

  /** Whether calls are sent without restriction. */
  get isClosed(): boolean {
    return this.#state.isClosed;
  }

  /** When a call may be sent again; 0 for now. */
  get retryAtMs(): number {
    return this.#state.retryAtMs;
  }

  /**
   * Starts a call if the breaker allows one.
   *
   * @param nowMs - the monotonic time
   * @returns whether the call may be sent
   */
  tryStart(nowMs: number): boolean {
    return this.#state.tryStart(nowMs);
  }

  /**
   * Records a call that the service answered.
   *
   * @param nowMs - the monotonic time
   */
  recordSuccess(nowMs: number): void {
    this.#enter(this.#state.recordSuccess(), nowMs);
  }

  /**
   * Records a call that the service did not answer.
   *
   * @param nowMs - the monotonic time
   */
  recordFailure(nowMs: number): void {
    this.#enter(this.#state.recordFailure(), nowMs);
  }

  #enter(transition: BreakerTransition, nowMs: number): void {
    switch (transition.kind) {
      case 'stay':
        break;
      case 'close':
        this.#state = new ClosedState(this.#options.failureThreshold);
        break;
      case 'open': {
        const { failedProbeCount } = transition;
        const backoffMs = getBackoffMs(this.#options, this.#random, failedProbeCount);
        this.#state = new OpenState(nowMs + backoffMs, failedProbeCount);
        break;
      }
      default:
        throw exhaustiveSwitchError(transition);
    }
  }
}
