import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import type { RandomSource } from '../../lib/RandomSource.ts';
import { getBackoffMs, type BreakerOptions } from './BreakerOptions.ts';
import type { BreakerState, BreakerTransition } from './BreakerState.ts';
import { ClosedState } from './ClosedState.ts';
import { OpenState } from './OpenState.ts';

/** Keeps calls from a service that does not answer, but for one probe at a time. */
export class CallBreaker {
  readonly #random: RandomSource;

  readonly #options: BreakerOptions;

  #state: BreakerState;

  /**
   * @param random - where the jitter of the probes comes from
   * @param options - threshold and backoff
   */
  constructor(random: RandomSource, options: BreakerOptions) {
    this.#random = random;
    this.#options = options;
    this.#state = new ClosedState(options.failureThreshold);
  }

  /** Whether calls go out freely. */
  get isClosed(): boolean {
    return this.#state.isClosed;
  }

  /** When a call may go out again; 0 for now. */
  get retryAtMs(): number {
    return this.#state.retryAtMs;
  }

  /**
   * @param nowMs - the monotonic time
   * @returns whether a call may go out; true also starts it
   */
  tryStart(nowMs: number): boolean {
    return this.#state.tryStart(nowMs);
  }

  /**
   * The service answered a call.
   *
   * @param nowMs - the monotonic time
   */
  recordSuccess(nowMs: number): void {
    this.#enter(this.#state.recordSuccess(), nowMs);
  }

  /**
   * The service did not answer a call.
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
