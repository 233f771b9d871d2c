import type { Logger } from 'pino';
import type { Clock } from '../time/Clock.ts';
import type { BufferPart } from './BUFFER_PART.ts';

/** Interval between two lines; what happens between them is counted. */
const LINE_INTERVAL_MS = 1_000;

/** Logs that buffers found no room, with a bounded rate. */
export class ScarcityLog {
  readonly #clock: Clock;

  readonly #logger: Logger;

  #lastLineAtMs = -Infinity;

  #counts: Partial<Record<BufferPart, number>> = {};

  /**
   * @param clock - the time
   * @param logger - receives the lines
   */
  constructor(clock: Clock, logger: Logger) {
    this.#clock = clock;
    this.#logger = logger;
  }

  /** @param part - part of the memory that had no room */
  record(part: BufferPart): void {
    this.#counts[part] = (this.#counts[part] ?? 0) + 1;
    const nowMs = this.#clock.getMonotonicMs();
    if (nowMs - this.#lastLineAtMs >= LINE_INTERVAL_MS) {
      this.#logger.warn(
        { event: 'bufferMemoryScarce', counts: this.#counts },
        'buffers found no room; clients are refused or cut off',
      );
      this.#lastLineAtMs = nowMs;
      this.#counts = {};
    }
  }
}
