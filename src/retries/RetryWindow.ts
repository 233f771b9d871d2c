import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { SlidingCount } from './SlidingCount.ts';

/** How many repeats one host may send to one pool. */
export interface RetryWindowOptions {
  readonly clock: Clock;
  /** Span for which the bound holds where the repeats arrive. */
  readonly windowMs: number;
  /** Repeats as a fraction of what is sent for the first time. */
  readonly ratio: number;
  /** @returns repeats that are allowed within a window now, at any load */
  readonly getFixedAllowance: () => number;
}

/** Leave to send something once more, which counts from when it is asked for. */
export interface RetryReservation {
  /**
   * Counts the repeat as sent now.
   *
   * @param upstreamId - where it is sent
   * @returns whether it may still be sent; the allowance may have shrunk while it waited
   */
  trySend(upstreamId: UpstreamId): boolean;
  /** Gives the leave back unused; without effect once it was used. */
  release(): void;
}

/** Windows after which a repeat that no answer has followed can't arrive any more. */
const LAPSE_WINDOWS = 3;

/**
 * Bounds the repeats of one pool in every window by the time at which they arrive. One that is
 * decided on counts while it waits for an upstream, however long; one that is sent counts until a
 * window after its upstream has answered something, since a process that stands still reads all
 * that waits for it when it goes on.
 *
 * Load pattern: an upstream that refuses, fails or stands still for seconds while requests keep
 * coming. Each of them asks for several repeats, which would be a multiple of the traffic; those
 * that waited, here or before the upstream, would arrive together, beside new ones.
 */
export class RetryWindow {
  readonly #options: RetryWindowOptions;

  readonly #firsts: SlidingCount;

  /** Repeats that have arrived, by when that was known. */
  readonly #arrived: SlidingCount;

  /** Repeats that were sent to upstreams which have not answered anything since. */
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

  /** Repeats that may be asked for now. */
  get remaining(): number {
    return Math.max(0, Math.floor(this.#getAllowance() - this.#sentCount - this.#reservedCount));
  }

  /** @param count - what is sent for the first time now */
  recordFirstSends(count = 1): void {
    this.#firsts.add(count);
  }

  /** @param upstreamId - an upstream that has answered; what was sent to it has arrived */
  recordAnswer(upstreamId: UpstreamId): void {
    const count = this.#unanswered.get(upstreamId)?.total ?? 0;
    this.#unanswered.delete(upstreamId);
    if (count > 0) {
      this.#arrived.add(count);
    }
  }

  /**
   * @param count - repeats that belong together
   * @returns leave to send them; null when they are too many
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

  /** Repeats that have arrived within the window, or may still arrive. */
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
      ?? new SlidingCount(clock, windowMs * LAPSE_WINDOWS);
    sent.add(count);
    this.#unanswered.set(upstreamId, sent);
    return true;
  }

  #getAllowance(): number {
    const { ratio, getFixedAllowance } = this.#options;
    return ratio * this.#firsts.total + getFixedAllowance();
  }
}
