import { STAY, type BreakerState, type BreakerTransition } from './BreakerState.ts';

/** Breaker state in which no call is sent except one probe after the backoff. */
export class OpenState implements BreakerState {
  readonly isClosed = false;

  readonly retryAtMs: number;

  readonly #failedProbeCount: number;

  #isProbing = false;

  /**
   * @param retryAtMs - when the probe may be sent
   * @param failedProbeCount - probes that failed since the breaker opened
   */
  constructor(retryAtMs: number, failedProbeCount: number) {
    this.retryAtMs = retryAtMs;
    this.#failedProbeCount = failedProbeCount;
  }

  /** @inheritdoc */
  tryStart(nowMs: number): boolean {
    if (this.#isProbing || nowMs < this.retryAtMs) {
      return false;
    }
    this.#isProbing = true;
    return true;
  }

  /** @inheritdoc */
  recordSuccess(): BreakerTransition {
    return { kind: 'close' };
  }

  /** @inheritdoc */
  recordFailure(): BreakerTransition {
    // Calls sent before the breaker opened also report here; only a failed probe counts.
    return this.#isProbing
      ? { kind: 'open', failedProbeCount: this.#failedProbeCount + 1 }
      : STAY;
  }
}
