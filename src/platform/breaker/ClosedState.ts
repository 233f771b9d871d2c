import { STAY, type BreakerState, type BreakerTransition } from './BreakerState.ts';

/** Calls go out freely; failures in a row are counted. */
export class ClosedState implements BreakerState {
  readonly isClosed = true;

  readonly retryAtMs = 0;

  readonly #failureThreshold: number;

  #failureCount = 0;

  /**
   * @param failureThreshold - failures in a row that open the breaker
   */
  constructor(failureThreshold: number) {
    this.#failureThreshold = failureThreshold;
  }

  /** @inheritdoc */
  tryStart(): boolean {
    return true;
  }

  /** @inheritdoc */
  recordSuccess(): BreakerTransition {
    this.#failureCount = 0;
    return STAY;
  }

  /** @inheritdoc */
  recordFailure(): BreakerTransition {
    this.#failureCount += 1;
    return this.#failureCount < this.#failureThreshold
      ? STAY
      : { kind: 'open', failedProbeCount: 0 };
  }
}
