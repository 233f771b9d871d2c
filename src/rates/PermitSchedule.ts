import type { Clock } from '../time/Clock.ts';
import type { RateBound } from './RateBound.ts';

const MS_PER_SECOND = 1_000;
/** Longest wait for the first slot, however seldom they come. */
const MAX_FIRST_WAIT_MS = 4_000;

/**
 * Hands out times at which one upstream may be sent to, evenly spaced (the generic cell rate
 * algorithm). Whoever asks later gets a later slot, or none within the time that it can wait.
 */
export class PermitSchedule {
  readonly #clock: Clock;

  #bound: RateBound;

  /** When the next slot is due if nobody had paused before. */
  #nextAtMs: number;

  /** Slots until then are promised to callers that were sent away. */
  #retriesAssignedUntilMs = 0;

  /**
   * @param clock - the time
   * @param bound - how often; its first slot is due an interval from now
   */
  constructor(clock: Clock, bound: RateBound) {
    this.#clock = clock;
    this.#bound = bound;
    this.#nextAtMs = clock.getMonotonicMs() + Math.min(MAX_FIRST_WAIT_MS, this.#intervalMs);
  }

  /** @param bound - how often from now on */
  setBound(bound: RateBound): void {
    if (bound.perSecond !== this.#bound.perSecond) {
      this.#bound = bound;
      const nowMs = this.#clock.getMonotonicMs();
      const firstWaitMs = Math.min(MAX_FIRST_WAIT_MS, this.#intervalMs);
      this.#nextAtMs = Math.max(nowMs, Math.min(this.#nextAtMs, nowMs + firstWaitMs));
      this.#retriesAssignedUntilMs = 0;
    }
  }

  /** Time until the next slot; 0 when one may be had now, infinite when there is none. */
  get waitMs(): number {
    return this.#bound.perSecond === 0
      ? Infinity
      : Math.max(0, this.#nextAtMs - this.#clock.getMonotonicMs());
  }

  /**
   * @param maxWaitMs - how far ahead the slot may lie
   * @returns the time until the slot that was taken; null when there is none in that time
   */
  tryTake(maxWaitMs: number): number | null {
    const { waitMs } = this;
    if (waitMs > maxWaitMs || waitMs === Infinity) {
      return null;
    }
    this.#advance(1);
    return waitMs;
  }

  /** @param count - sends that were made without leave; they count against the slots to come */
  recordReserveSends(count: number): void {
    if (this.#bound.perSecond > 0 && count > 0) {
      this.#advance(Math.min(count, this.#bound.reserveCount));
    }
  }

  /** @returns when a caller that is sent away may find a slot, behind those sent away before */
  assignRetryAfterMs(): number {
    const nowMs = this.#clock.getMonotonicMs();
    const fromMs = Math.max(this.#retriesAssignedUntilMs, this.#nextAtMs, nowMs);
    this.#retriesAssignedUntilMs = fromMs + this.#intervalMs;
    return fromMs - nowMs;
  }

  get #intervalMs(): number {
    return MS_PER_SECOND / this.#bound.perSecond;
  }

  #advance(count: number): void {
    const burstMs = (this.#bound.burst - 1) * this.#intervalMs;
    const floorMs = this.#clock.getMonotonicMs() - burstMs;
    this.#nextAtMs = Math.max(this.#nextAtMs, floorMs) + count * this.#intervalMs;
  }
}
