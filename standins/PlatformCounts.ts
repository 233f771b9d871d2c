const WINDOW_MS = 1000;

/** Counts of the platform stand-in, as `GET /counts` returns them. */
export interface PlatformCountsReport {
  readonly readCount: number;
  readonly writeCount: number;
  readonly peakReadsPerSecond: number;
  readonly peakWritesPerSecond: number;
  readonly waitingWatchCount: number;
}

/** Counts calls in total and in the busiest second. */
export class PlatformCounts {
  #readCount = 0;

  #writeCount = 0;

  #windowStartMs = 0;

  #windowReadCount = 0;

  #windowWriteCount = 0;

  #peakReadCount = 0;

  #peakWriteCount = 0;

  waitingWatchCount = 0;

  /**
   * @param nowMs - the time of the call
   * @returns reads in the current second, including this one
   */
  addRead(nowMs: number): number {
    this.#rollWindow(nowMs);
    this.#readCount += 1;
    this.#windowReadCount += 1;
    this.#peakReadCount = Math.max(this.#peakReadCount, this.#windowReadCount);
    return this.#windowReadCount;
  }

  /**
   * @param nowMs - the time of the call
   * @returns writes in the current second, including this one
   */
  addWrite(nowMs: number): number {
    this.#rollWindow(nowMs);
    this.#writeCount += 1;
    this.#windowWriteCount += 1;
    this.#peakWriteCount = Math.max(this.#peakWriteCount, this.#windowWriteCount);
    return this.#windowWriteCount;
  }

  /**
   * @returns all counts as plain data
   */
  getReport(): PlatformCountsReport {
    return {
      readCount: this.#readCount,
      writeCount: this.#writeCount,
      peakReadsPerSecond: this.#peakReadCount,
      peakWritesPerSecond: this.#peakWriteCount,
      waitingWatchCount: this.waitingWatchCount,
    };
  }

  #rollWindow(nowMs: number): void {
    if (nowMs - this.#windowStartMs >= WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#windowReadCount = 0;
      this.#windowWriteCount = 0;
    }
  }
}
