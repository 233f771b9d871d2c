/** Tells when an upstream has been silent for too long. */
export class SilenceMonitor {
  readonly #onSilent: (silenceMs: number) => void;

  #timer: NodeJS.Timeout | null = null;

  /**
   * @param onSilent - hears of the silence, with the time that was allowed
   */
  constructor(onSilent: (silenceMs: number) => void) {
    this.#onSilent = onSilent;
  }

  /** @param silenceMs - how long the upstream may be silent from now on */
  start(silenceMs: number): void {
    this.stop();
    this.#timer = setTimeout(() => this.#onSilent(silenceMs), silenceMs);
  }

  /** Ends the watch. */
  stop(): void {
    clearTimeout(this.#timer ?? undefined);
    this.#timer = null;
  }
}
