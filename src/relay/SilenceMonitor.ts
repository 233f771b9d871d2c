/** Reports when an upstream has been silent for too long. */
export class SilenceMonitor {
  readonly #onSilent: (silenceMs: number) => void;

  #timer: NodeJS.Timeout | null = null;

  /**
   * @param onSilent - called on timeout with the silence that was allowed
   */
  constructor(onSilent: (silenceMs: number) => void) {
    this.#onSilent = onSilent;
  }

  /** @param silenceMs - longest allowed silence from now on */
  start(silenceMs: number): void {
    this.stop();
    this.#timer = setTimeout(() => this.#onSilent(silenceMs), silenceMs);
  }

  /** Stops monitoring. */
  stop(): void {
    clearTimeout(this.#timer ?? undefined);
    this.#timer = null;
  }
}
