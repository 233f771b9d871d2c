import type { Clock } from '../time/Clock.ts';
import type { RateBound } from './RateBound.ts';

const MS_PER_SECOND = 1_000;
/** Longest wait for the first permit, however low the rate. */
const MAX_FIRST_WAIT_MS = 4_000;

/**
 * Issues evenly spaced shared permits for one upstream by the generic cell rate algorithm. Each
 * permit is due after those issued before, or is denied when its wait is too long.
 */
export class PermitSchedule {
  readonly #clock: Clock;

  #bound: RateBound;

  /** When the next permit is due, without credit for idle time. */
  #nextAtMs: number;

  /** Permits until then are assigned as retry times to denied requests. */
  #retriesAssignedUntilMs = 0;

  /**
   * @param clock - the monotonic time
   * @param bound - the rate and burst; the first permit is due one interval from now
   */
  constructor(clock: Clock, bound: RateBound) {
    this.#clock = clock;
    this.#bound = bound;
    this.#nextAtMs = clock.getMonotonicMs() + Math.min(MAX_FIRST_WAIT_MS, this.#intervalMs);
  }

  /** @param bound - the rate and burst from now on */
  setBound(bound: RateBound): void {
    if (bound.perSecond !== this.#bound.perSecond) {
      this.#bound = bound;
      const nowMs = this.#clock.getMonotonicMs();
      const firstWaitMs = Math.min(MAX_FIRST_WAIT_MS, this.#intervalMs);
      this.#nextAtMs = Math.max(nowMs, Math.min(this.#nextAtMs, nowMs + firstWaitMs));
      this.#retriesAssignedUntilMs = 0;
    }
  }

  /** Time until the next permit; 0 when one is available now, infinite at rate 0. */
  get waitMs(): number {
    return this.#bound.perSecond === 0
      ? Infinity
      : Math.max(0, this.#nextAtMs - this.#clock.getMonotonicMs());
  }

  /**
   * @param maxWaitMs - longest wait for the permit
   * @returns the time until the permit that was taken; null when none is due in that time
   */
  tryTake(maxWaitMs: number): number | null {
    const { waitMs } = this;
    if (waitMs > maxWaitMs || waitMs === Infinity) {
      return null;
    }
    this.#advance(1);
    return waitMs;
  }

  /** @param count - sends made from reserves, which delay the permits to come */
  recordReserveSends(count: number): void {
    if (this.#bound.perSecond > 0 && count > 0) {
      this.#advance(Math.min(count, this.#bound.reserveCount));
    }
  }

  /** @returns when a denied request may be retried, after those denied before it */
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
