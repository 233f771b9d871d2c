import type { Clock } from '../time/Clock.ts';
import { SlidingCount } from './SlidingCount.ts';

/** How many repeats one host may send to one pool. */
export interface RepeatWindowOptions {
  readonly clock: Clock;
  /** Span for which the bound holds where the repeats arrive. */
  readonly windowMs: number;
  /** Repeats as a fraction of what is sent for the first time. */
  readonly ratio: number;
  /** @returns repeats that are allowed within a window now, at any load */
  readonly getFixedAllowance: () => number;
}

/** Leave to send something once more, which counts from when it is asked for until it is sent. */
export interface RepeatPermit {
  /**
   * Counts the repeat as sent now.
   *
   * @returns whether it may still be sent; the allowance may have shrunk while it waited
   */
  trySend(): boolean;
  /** Gives the leave back unused; without effect once it was used. */
  release(): void;
}

/**
 * Repeats count for this multiple of the window, so that those of two windows which arrive
 * together, because some were held up on the way, are still within the bound.
 */
const SPAN_FACTOR = 1.2;

/**
 * Bounds the repeats of one pool in every window by the time at which they are sent. Those that are
 * decided on and still wait for an upstream count as well, however long they wait.
 *
 * Load pattern: an upstream that refuses or fails for seconds while requests keep coming. Each of
 * them asks for several repeats, which would be a multiple of the traffic; those that waited for an
 * upstream to come back would be sent together, beside new ones.
 */
export class RepeatWindow {
  readonly #options: RepeatWindowOptions;

  readonly #firsts: SlidingCount;

  readonly #sent: SlidingCount;

  #reservedCount = 0;

  /**
   * @param options - see {@link RepeatWindowOptions}
   */
  constructor(options: RepeatWindowOptions) {
    this.#options = options;
    this.#firsts = new SlidingCount(options.clock, options.windowMs);
    this.#sent = new SlidingCount(options.clock, options.windowMs * SPAN_FACTOR);
  }

  /** Repeats that may be asked for now. */
  get left(): number {
    return Math.max(0, Math.floor(this.#getAllowance() - this.#sent.total - this.#reservedCount));
  }

  /** @param count - what is sent for the first time now */
  noteFirsts(count = 1): void {
    this.#firsts.add(count);
  }

  /**
   * @param count - repeats that belong together
   * @returns leave to send them; null when they are too many
   */
  tryReserve(count = 1): RepeatPermit | null {
    if (count > this.left) {
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
      trySend: () => close() && this.#trySend(count),
      release: () => {
        close();
      },
    };
  }

  #trySend(count: number): boolean {
    if (this.#sent.total + count > this.#getAllowance()) {
      return false;
    }
    this.#sent.add(count);
    return true;
  }

  #getAllowance(): number {
    const { ratio, getFixedAllowance } = this.#options;
    return ratio * this.#firsts.total + getFixedAllowance();
  }
}
