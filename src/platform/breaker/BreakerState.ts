/** The state that follows. */
export type BreakerTransition =
  | { readonly kind: 'stay' }
  | { readonly kind: 'close' }
  | { readonly kind: 'open'; readonly failedProbeCount: number };

/** The breaker stays in its state. */
export const STAY: BreakerTransition = { kind: 'stay' };

/** A state of the breaker. */
export interface BreakerState {
  /** Whether calls go out freely. */
  readonly isClosed: boolean;
  /** When a call may go out again; 0 for now. */
  readonly retryAtMs: number;
  /**
   * @param nowMs - the monotonic time
   * @returns whether a call may go out; true also starts it
   */
  tryStart(nowMs: number): boolean;
  /**
   * @returns what follows a call that the service answered
   */
  recordSuccess(): BreakerTransition;
  /**
   * @returns what follows a call that the service did not answer
   */
  recordFailure(): BreakerTransition;
}
