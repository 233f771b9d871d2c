import { STAY, type BreakerState, type BreakerTransition } from './BreakerState.ts';

/** No call goes out but one probe after the backoff. */
export class OpenState implements BreakerState {
  readonly isClosed = false;

  readonly retryAtMs: number;

  readonly #failedProbeCount: number;

  #isProbing = false;

  /**
   * @param retryAtMs - when the probe may go out
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
    // Calls from before the breaker opened still end here; only the probe's end counts.
    return this.#isProbing
      ? { kind: 'open', failedProbeCount: this.#failedProbeCount + 1 }
      : STAY;
  }
}
