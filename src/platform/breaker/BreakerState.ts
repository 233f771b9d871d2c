/** The state that the breaker changes to. */
export type BreakerTransition =
  | { readonly kind: 'stay' }
  | { readonly kind: 'close' }
  | { readonly kind: 'open'; readonly failedProbeCount: number };

/** Transition that keeps the state. */
export const STAY: BreakerTransition = { kind: 'stay' };

/** A state of the breaker. */
export interface BreakerState {
  /** Whether calls are sent without restriction. */
  readonly isClosed: boolean;
  /** When a call may be sent again; 0 for now. */
  readonly retryAtMs: number;
  /**
   * Starts a call if the state allows one.
   *
   * @param nowMs - the monotonic time
   * @returns whether the call may be sent
   */
  tryStart(nowMs: number): boolean;
  /**
   * Records a call that the service answered.
   *
   * @returns the transition
   */
  recordSuccess(): BreakerTransition;
  /**
   * Records a call that the service did not answer.
   *
   * @returns the transition
   */
  recordFailure(): BreakerTransition;
}
