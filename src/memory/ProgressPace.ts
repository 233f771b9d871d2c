import type { Clock } from '../time/Clock.ts';

/** Window in which progress is measured. */
const WINDOW_MS = 1_000;
/** Progress in a window below which a body or a reader is slow. */
const MIN_WINDOW_BYTES = 32_768;

/** Measures whether a body or a reader keeps a pace. */
export class ProgressPace {
  readonly #clock: Clock;

  #windowStartMs: number;

  #windowStartBytes = 0;

  /** @param clock - the time */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#windowStartMs = clock.getMonotonicMs();
  }

  /** @param totalBytes - bytes of progress so far */
  record(totalBytes: number): void {
    if (totalBytes - this.#windowStartBytes >= MIN_WINDOW_BYTES) {
      this.#windowStartMs = this.#clock.getMonotonicMs();
      this.#windowStartBytes = totalBytes;
    }
  }

  /** @returns whether too little progress was made in the last window */
  isSlow(): boolean {
    return this.#clock.getMonotonicMs() - this.#windowStartMs > WINDOW_MS;
  }
}
