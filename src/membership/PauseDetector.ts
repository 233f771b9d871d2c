import type { MembershipOptions } from './MembershipOptions.ts';

/** Notices by a late tick that the process was paused, and when its view can be trusted again. */
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
   * @param nowMs - the time of the step
   * @param dueMs - when the next round was due
   * @returns whether the tick is so late that the process must have been paused
   */
  isLate(nowMs: number, dueMs: number): boolean {
    return nowMs - dueMs > this.#options.pauseThresholdMs;
  }

  /**
   * @param nowMs - the time of the step
   * @param dueMs - when the next round was due
   * @returns whether what is known of the peers is recent
   */
  isFresh(nowMs: number, dueMs: number): boolean {
    return this.#staleSinceMs === null && !this.isLate(nowMs, dueMs);
  }

  /**
   * @param nowMs - when a pause was noticed
   */
  recordPause(nowMs: number): void {
    this.#staleSinceMs = nowMs;
  }

  /**
   * @returns whether the view was stale until a peer was heard just now
   */
  recordContact(): boolean {
    const wasStale = this.#staleSinceMs !== null;
    this.#staleSinceMs = null;
    return wasStale;
  }

  /**
   * A host that hears of nobody is cut off or alone; its view is as good as it gets.
   *
   * @param nowMs - the time of the step
   * @param isAlone - whether no peer is known
   * @returns whether the wait for the peers ends now
   */
  endStaleWait(nowMs: number, isAlone: boolean): boolean {
    const { answerTimeoutMs, suspicionMs } = this.#options;
    const waitMs = isAlone ? answerTimeoutMs : suspicionMs;
    return this.#staleSinceMs !== null && nowMs - this.#staleSinceMs > waitMs && this.recordContact();
  }
}
