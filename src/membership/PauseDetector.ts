import type { MembershipOptions } from './MembershipOptions.ts';

/** Detects pauses of the process by late ticks, and when its view is current again. */
export class PauseDetector {
  readonly #options: MembershipOptions;

  #staleSinceMs: number | null = null;

  /**
   * @param options - see `DEFAULT_MEMBERSHIP_OPTIONS`
   */
  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /**
   * Checks whether a tick is so late that the process must have been paused.
   *
   * @param nowMs - monotonic time
   * @param dueMs - when the next round was due
   * @returns whether it is later than the threshold
   */
  isLate(nowMs: number, dueMs: number): boolean {
    return nowMs - dueMs > this.#options.pauseThresholdMs;
  }

  /**
   * Checks whether the view of the peers is current.
   *
   * @param nowMs - monotonic time
   * @param dueMs - when the next round was due
   * @returns false from a pause until a message from a peer arrives or the wait for one ends
   */
  isFresh(nowMs: number, dueMs: number): boolean {
    return this.#staleSinceMs === null && !this.isLate(nowMs, dueMs);
  }

  /**
   * Records a pause, which makes the view stale.
   *
   * @param nowMs - when the pause was detected
   */
  recordPause(nowMs: number): void {
    this.#staleSinceMs = nowMs;
  }

  /**
   * Records a message from a peer, which ends the stale state.
   *
   * @returns whether the view was stale until now
   */
  recordContact(): boolean {
    const wasStale = this.#staleSinceMs !== null;
    this.#staleSinceMs = null;
    return wasStale;
  }

  /**
   * Ends the stale state after a timeout: a host that receives no message is partitioned or alone,
   * and its view can't improve.
   *
   * @param nowMs - monotonic time
   * @param isAlone - whether no peer is known
   * @returns whether the stale state ends now
   */
  endStaleWait(nowMs: number, isAlone: boolean): boolean {
    const { answerTimeoutMs, suspicionMs } = this.#options;
    const waitMs = isAlone ? answerTimeoutMs : suspicionMs;
    return this.#staleSinceMs !== null && nowMs - this.#staleSinceMs > waitMs
      && this.recordContact();
  }
}
