import type { Clock } from '../time/Clock.ts';

interface CountEntry {
  readonly atMs: number;
  readonly count: number;
}

/** Counts events within a sliding window that ends now. */
export class SlidingCount {
  readonly #clock: Clock;

  readonly #spanMs: number;

  readonly #entries: CountEntry[] = [];

  #total = 0;

  /**
   * @param clock - monotonic time of the events
   * @param spanMs - length of the window
   */
  constructor(clock: Clock, spanMs: number) {
    this.#clock = clock;
    this.#spanMs = spanMs;
  }

  /** Events within the window. */
  get total(): number {
    const fromMs = this.#clock.getMonotonicMs() - this.#spanMs;
    while ((this.#entries[0]?.atMs ?? Infinity) <= fromMs) {
      this.#total -= this.#entries.shift()?.count ?? 0;
    }
    return this.#total;
  }

  /** @param count - events that happen now */
  add(count: number): void {
    this.#entries.push({ atMs: this.#clock.getMonotonicMs(), count });
    this.#total += count;
  }
}
