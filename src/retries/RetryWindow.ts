import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { SlidingCount } from './SlidingCount.ts';

/** Options of a {@link RetryWindow}. */
export interface RetryWindowOptions {
  readonly clock: Clock;
  /** Length of the window in which the bound holds, by arrival at the upstreams. */
  readonly windowMs: number;
  /** Retries as a fraction of first sends. */
  readonly ratio: number;
  /** @returns retries that are now allowed within a window, at any load */
  readonly getFixedAllowance: () => number;
}

/** Reservation of a retry, which counts against the bound from the reservation on. */
export interface RetryReservation {
  /**
   * Counts the retry as sent now.
   *
   * @param upstreamId - the upstream that it is sent to
   * @returns whether it may still be sent; the allowance may have shrunk while it waited
   */
  trySend(upstreamId: UpstreamId): boolean;
  /** Releases the reservation unused; without effect once it was used. */
  release(): void;
}

/** Number of windows after which an unanswered retry no longer counts. */
const EXPIRY_WINDOWS = 3;

/**
 * Bounds the retries of one pool in every window, by arrival time. A reserved retry counts while
 * it waits for an upstream, however long. A sent retry counts until one window after its upstream
 * answers anything, since a paused process reads all waiting requests when it resumes.
 *
 * Load pattern: an upstream refuses, fails or is paused for seconds while requests keep arriving.
 * Each request asks for several retries, which would multiply the traffic. Retries that waited, in
 * this host or before the upstream, would arrive together with new ones.
 */
export class RetryWindow {
  readonly #options: RetryWindowOptions;

  readonly #firsts: SlidingCount;

  /** Retries that have arrived, by the time at which that became known. */
  readonly #arrived: SlidingCount;

  /** Retries sent to upstreams that have not answered anything since. */
  readonly #unanswered = new Map<UpstreamId, SlidingCount>();

  #reservedCount = 0;

  /**
   * @param options - see {@link RetryWindowOptions}
   */
  constructor(options: RetryWindowOptions) {
    this.#options = options;
    this.#firsts = new SlidingCount(options.clock, options.windowMs);
    this.#arrived = new SlidingCount(options.clock, options.windowMs);
  }

  /** Retries that may be reserved now. */
  get remaining(): number {
    return Math.max(0, Math.floor(this.#getAllowance() - this.#sentCount - this.#reservedCount));
  }

  /** @param count - first sends that are made now */
  recordFirstSends(count = 1): void {
    this.#firsts.add(count);
  }

  /** @param upstreamId - an upstream that answered, so that the retries sent to it have arrived */
  recordAnswer(upstreamId: UpstreamId): void {
    const count = this.#unanswered.get(upstreamId)?.total ?? 0;
    this.#unanswered.delete(upstreamId);
    if (count > 0) {
      this.#arrived.add(count);
    }
  }

  /**
   * @param count - retries that are sent together
   * @returns a reservation for all of them; null when they exceed the bound
   */
  tryReserve(count = 1): RetryReservation | null {
    if (count > this.remaining) {
      return null;
    }
    this.#reservedCount += count;
    let isOpen = true;
    const close = (): boolean => {
      const wasOpen = isOpen;
      isOpen = false;
      this.#reservedCount -= wasOpen ? count : 0;
      return wasOpen;
    };
    return {
      trySend: (upstreamId) => close() && this.#trySend(upstreamId, count),
      release: () => {
        close();
      },
    };
  }

  /** Retries that arrived within the window, or may still arrive. */
  get #sentCount(): number {
    let count = this.#arrived.total;
    this.#unanswered.forEach((sent, upstreamId) => {
      if (sent.total === 0) {
        this.#unanswered.delete(upstreamId);
      }
      count += sent.total;
    });
    return count;
  }

  #trySend(upstreamId: UpstreamId, count: number): boolean {
    if (this.#sentCount + count > this.#getAllowance()) {
      return false;
    }
    const { clock, windowMs } = this.#options;
    const sent = this.#unanswered.get(upstreamId)
      ?? new SlidingCount(clock, windowMs * EXPIRY_WINDOWS);
    sent.add(count);
    this.#unanswered.set(upstreamId, sent);
    return true;
  }

  #getAllowance(): number {
    const { ratio, getFixedAllowance } = this.#options;
    return ratio * this.#firsts.total + getFixedAllowance();
  }
}
